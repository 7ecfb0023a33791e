"""Packing of member records, and of ages of hosts, into bytes."""

import functools
import ipaddress
import math
import struct

from trefoilpin.gateway.fleet.messages import MemberRecord

__all__ = ["pack_ages", "pack_members", "unpack_ages", "unpack_members"]

MAX_CACHED_ADDRESSES = 4096
# IPv4 address, index of the zone, flags, incarnation, age and configuration age in
# hundredths of a second, capacity and load in requests per second.
MEMBER_LAYOUT = struct.Struct("!4sBBQHHHH")
AGE_UNITS_PER_SECOND = 100
# Ages in a zone view are bytes; the highest one means that the age is not known.
VIEW_AGE_UNITS_PER_SECOND = 25
UNKNOWN_VIEW_AGE = 0xFF
MAX_UINT16 = 0xFFFF
STOPPING_FLAG, SERVING_FLAG, SUSPECTED_FLAG = 1, 2, 4
ZONE_SEPARATOR = b"\0"
# Length in bytes of the zone names that follow.
NAMES_LENGTH = struct.Struct("!H")


def to_uint16(number, scale=1):
    """Return a scaled number as an integer, limited to the range of 16 bits."""
    return int(min(max(number, 0.0) * scale, MAX_UINT16))


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def pack_address(address):
    """Return an IPv4 address as four bytes."""
    return ipaddress.IPv4Address(address).packed


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def unpack_address(packed):
    """Return the text of an IPv4 address of four bytes."""
    return ".".join(map(str, packed))


@functools.lru_cache(maxsize=8)
def pack_members(members):
    """Return records of fixed length, preceded by the names of their zones.

    Cached because a relay sends the same records to all hosts of its zone.
    """
    zones = sorted({member.zone for member in members})
    zone_names = ZONE_SEPARATOR.join(zone.encode() for zone in zones)
    parts = [NAMES_LENGTH.pack(len(zone_names)), zone_names]
    for member in members:
        flags = STOPPING_FLAG * member.is_stopping | SERVING_FLAG * member.is_serving
        flags |= SUSPECTED_FLAG * member.is_suspected
        parts.append(
            MEMBER_LAYOUT.pack(
                pack_address(member.address),
                zones.index(member.zone),
                flags,
                member.incarnation,
                to_uint16(member.age, AGE_UNITS_PER_SECOND),
                to_uint16(member.configuration_age, AGE_UNITS_PER_SECOND),
                to_uint16(member.capacity),
                to_uint16(member.load),
            )
        )
    return b"".join(parts)


def pack_ages(ages):
    """Return ages as bytes, rounded up as they are upper bounds."""
    units = (math.ceil(age * VIEW_AGE_UNITS_PER_SECOND) for age in ages)
    return bytes(min(max(unit, 0), UNKNOWN_VIEW_AGE) for unit in units)


def unpack_ages(data):
    """Return the ages that ``pack_ages`` encoded; infinity for unknown ones."""
    ages = []
    for unit in data:
        is_known = unit != UNKNOWN_VIEW_AGE
        ages.append(unit / VIEW_AGE_UNITS_PER_SECOND if is_known else math.inf)
    return tuple(ages)


def unpack_members(data):
    """Return the member records that ``pack_members`` encoded."""
    if not data:
        return ()
    (size,) = NAMES_LENGTH.unpack_from(data)
    start = NAMES_LENGTH.size + size
    zones = [
        part.decode() for part in data[NAMES_LENGTH.size : start].split(ZONE_SEPARATOR)
    ]
    members = []
    for values in MEMBER_LAYOUT.iter_unpack(data[start:]):
        packed, zone, flags, incarnation, age, configuration_age, capacity, load = (
            values
        )
        members.append(
            MemberRecord(
                unpack_address(packed),
                zones[zone],
                incarnation,
                age / AGE_UNITS_PER_SECOND,
                float(capacity),
                float(load),
                bool(flags & STOPPING_FLAG),
                bool(flags & SERVING_FLAG),
                configuration_age / AGE_UNITS_PER_SECOND,
                bool(flags & SUSPECTED_FLAG),
            )
        )
    return tuple(members)

"""Gossip messages and documents in thrift's binary protocol."""

import functools
import ipaddress
import struct

from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer

from trefoilpin.gateway.document_cache import DocumentVersion
from trefoilpin.gateway.failure_models import Outcome
from trefoilpin.gateway.messages import (
    Document,
    GossipMessage,
    MemberRecord,
    UpstreamOutcome,
)
from trefoilpin.thrift_gen.bulletins.ttypes import (
    BulletinStruct,
    DocumentStruct,
    StampStruct,
)

__all__ = ["decode", "decode_document", "encode", "encode_document"]

MAX_STRING_BYTES = 65_536
MAX_DOCUMENT_BYTES = 4_194_304
MAX_ITEMS = 10_000
# Address, number of the zone, flags, incarnation, age and configuration's age in
# hundredths of a second, capacity and load in requests a second.
MEMBER = struct.Struct("!4sBBQHHHH")
HUNDREDTHS = 100
LARGEST = 0xFFFF
STOPPING, SERVING, SUSPECTED = 1, 2, 4
ZONE_SEPARATOR = b"\0"
HEAD = struct.Struct("!H")
MALFORMED = (
    TProtocolException,
    EOFError,
    ValueError,
    TypeError,
    IndexError,
    OverflowError,
    struct.error,
)


def bounded(number, scale=1):
    """Return a number as 16 bits."""
    return int(min(max(number, 0.0) * scale, LARGEST))


@functools.lru_cache(maxsize=2)
def pack_members(members):
    """Return members as fixed rows after the names of their zones.

    A relay tells the same rows to all hosts of its zone, so the last ones are kept.
    """
    zones = sorted({member.zone for member in members})
    names = ZONE_SEPARATOR.join(zone.encode() for zone in zones)
    parts = [HEAD.pack(len(names)), names]
    for member in members:
        flags = STOPPING * member.is_stopping | SERVING * member.is_serving
        flags |= SUSPECTED * member.is_suspected
        parts.append(
            MEMBER.pack(
                ipaddress.IPv4Address(member.address).packed,
                zones.index(member.zone),
                flags,
                member.incarnation,
                bounded(member.age, HUNDREDTHS),
                bounded(member.configuration_age, HUNDREDTHS),
                bounded(member.capacity),
                bounded(member.load),
            )
        )
    return b"".join(parts)


def unpack_members(data):
    """Return the members that ``pack_members`` wrote."""
    if not data:
        return ()
    (size,) = HEAD.unpack_from(data)
    start = HEAD.size + size
    zones = [part.decode() for part in data[HEAD.size : start].split(ZONE_SEPARATOR)]
    members = []
    for row in MEMBER.iter_unpack(data[start:]):
        packed, zone, flags, incarnation, age, knowledge_age, capacity, load = row
        members.append(
            MemberRecord(
                ".".join(map(str, packed)),
                zones[zone],
                incarnation,
                age / HUNDREDTHS,
                float(capacity),
                float(load),
                bool(flags & STOPPING),
                bool(flags & SERVING),
                knowledge_age / HUNDREDTHS,
                bool(flags & SUSPECTED),
            )
        )
    return tuple(members)


def encode(gossip_message):
    """Return a gossip message as bytes."""
    outcomes = gossip_message.outcomes
    message = BulletinStruct(
        incarnation=gossip_message.incarnation,
        sequence=gossip_message.sequence,
        zone=gossip_message.zone,
        region=gossip_message.region,
        capacity=gossip_message.capacity,
        load=gossip_message.load,
        stopping=gossip_message.is_stopping,
        serving=gossip_message.is_serving,
        wants_reply=gossip_message.wants_reply,
        tells_on=gossip_message.sends_regularly,
        knowledge_age=gossip_message.configuration_age,
        stamps=[StampStruct(*version) for version in gossip_message.versions],
        members=pack_members(gossip_message.members),
        outcome_upstreams=[note.upstream for note in outcomes],
        outcome_kinds=[note.outcome.value for note in outcomes],
        outcome_numbers=[note.number for note in outcomes],
        flight_upstreams=list(gossip_message.in_flight_by_upstream),
        flight_counts=list(gossip_message.in_flight_by_upstream.values()),
        admitted_accounts=list(gossip_message.admitted_by_account),
        admitted_counts=list(gossip_message.admitted_by_account.values()),
        documents=[DocumentStruct(*document) for document in gossip_message.documents],
        broken_fingerprints=[
            fingerprint for fingerprint, _ in gossip_message.broken_requests
        ],
        broken_upstreams=[upstream for _, upstream in gossip_message.broken_requests],
    )
    return write(message)


def encode_document(document):
    """Return a document as bytes."""
    return write(DocumentStruct(*document))


def write(message):
    """Return a generated struct as bytes."""
    transport = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(transport, fallback=False))
    return transport.getvalue()


def read(message, data, max_bytes):
    """Fill a generated struct from bytes; raises one of ``MALFORMED``."""
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(data),
        fallback=False,
        string_length_limit=max_bytes,
        container_length_limit=MAX_ITEMS,
    )
    message.read(protocol)
    return message


def decode(data) -> Result[GossipMessage, str]:
    """Return the gossip message that bytes hold, or what is wrong with them."""
    try:
        return Success(from_struct(read(BulletinStruct(), data, MAX_STRING_BYTES)))
    except MALFORMED as error:
        return Failure(f"{type(error).__name__}: {error}")


def decode_document(data) -> Result[Document, str]:
    """Return the document that bytes hold, or what is wrong with them."""
    try:
        return Success(to_document(read(DocumentStruct(), data, MAX_DOCUMENT_BYTES)))
    except MALFORMED as error:
        return Failure(f"{type(error).__name__}: {error}")


def to_document(found):
    """Return the document that a struct holds."""
    document = bytes(found.document)
    return Document(found.kind, found.revision, found.age, document, found.base)


def from_struct(message):
    """Return the gossip message that a struct holds."""
    outcomes = []
    for number, upstream, kind in zip(
        message.outcome_numbers, message.outcome_upstreams, message.outcome_kinds
    ):
        outcomes.append(UpstreamOutcome(number, upstream, Outcome(kind)))
    versions = []
    for version in message.stamps:
        versions.append(
            DocumentVersion(version.kind, version.revision, version.digest, version.age)
        )
    return GossipMessage(
        message.incarnation,
        message.sequence,
        message.zone,
        message.region,
        message.capacity,
        message.load,
        message.stopping,
        message.serving,
        message.wants_reply,
        message.tells_on,
        message.knowledge_age,
        tuple(versions),
        unpack_members(message.members),
        tuple(outcomes),
        dict(zip(message.flight_upstreams, message.flight_counts)),
        dict(zip(message.admitted_accounts, message.admitted_counts)),
        tuple(to_document(found) for found in message.documents),
        tuple(zip(message.broken_fingerprints, message.broken_upstreams)),
    )

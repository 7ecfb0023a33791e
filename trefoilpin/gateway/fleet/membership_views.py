"""The live hosts at one instant, in the orders that roles and gossip need."""

import functools
import zlib

from trefoilpin.gateway.fleet.messages import MemberRecord

__all__ = ["MembershipView", "rank_key"]

MAX_CACHED_HASHES = 4096


def rank_key(member):
    """Return the sort key of hosts in their zone: by capacity, then by address hash.

    Gossip messages carry capacities as integers, so all hosts must rank by these.
    """
    return -int(member.capacity), address_hash(member.address), member.address


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def address_hash(address):
    """Return a hash of an address, the same on every host."""
    return zlib.crc32(address.encode())


class MembershipView:
    """The live hosts at one instant, and what was derived from them since.

    Attributes
    ----------
    computed_at : float
    live : tuple of MemberRecord
    live_by_zone : dict
        In the order of ``rank_key``.
    ordered_by_zone : dict
        In the order of the addresses.
    digest_by_zone : dict
        As in ``ZoneView``.
    callers_by_zone : dict
        Hosts that callers of a zone should use.
    is_store_unreachable : bool or None
        None until it is needed.
    """

    def __init__(self, computed_at, live):
        self.computed_at = computed_at
        self.live = tuple(live)
        self.live_by_zone: dict[str, list[MemberRecord]] = {}
        for host in sorted(live, key=rank_key):
            self.live_by_zone.setdefault(host.zone, []).append(host)
        self.ordered_by_zone: dict[str, list[MemberRecord]] = {}
        self.digest_by_zone: dict[str, int] = {}
        self.callers_by_zone: dict[str, list[MemberRecord]] = {}
        self.is_store_unreachable: bool | None = None

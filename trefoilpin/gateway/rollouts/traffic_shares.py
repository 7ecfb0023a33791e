"""Which requests of a host go to the version under trial, and to which upstreams.

Every host sends the same share of its requests there, without asking others. It counts
in fractions: each request adds the share, and one goes to the new version whenever the
sum reaches 1. Each host and route starts at another fraction, so that the fleet as a
whole keeps to the share also when every host has a few requests only.
"""

import hashlib
from typing import NamedTuple

from trefoilpin import hashes
from trefoilpin.gateway.rollouts.records import (
    COMPLETE,
    ROLLED_BACK,
    RUNNING,
    WITHDRAWN,
)

__all__ = [
    "MAX_STAGE_AGE_SECONDS",
    "NO_TRAFFIC",
    "Traffic",
    "advance",
    "first_fraction",
    "is_due",
    "list_canaries",
    "traffic_of",
]

# A host that has not heard a current stage for this time sends nothing to the version.
MAX_STAGE_AGE_SECONDS = 2.0
# Requests that the version missed, as its upstreams had no room, are not made up for
# beyond this sum.
MAX_FRACTION = 1.5
FRACTION_BYTES = 8


class Traffic(NamedTuple):
    """How the requests of a pool are divided now.

    Attributes
    ----------
    share : float
        Share that goes to the target version.
    canaries : int
        Number of its upstreams that get them; 0 for all.
    only_target : bool
        True when no other version is used, even without upstreams of the target.
    """

    share: float
    canaries: int
    only_target: bool


NO_TRAFFIC = Traffic(0.0, 0, False)
ONLY_TARGET = Traffic(1.0, 0, True)


def traffic_of(order, record, record_age):
    """Return the ``Traffic`` of a pool with an order, or after one.

    Parameters
    ----------
    order : RolloutOrder or None
    record : StageRecord or None
        The newest stage that this host has heard of.
    record_age : float
        Upper bound on the seconds since it was issued.
    """
    if order is not None and order.state == COMPLETE:
        return ONLY_TARGET
    if record is None or (order is not None and order.state == ROLLED_BACK):
        return NO_TRAFFIC
    if record.state in (ROLLED_BACK, WITHDRAWN) or order is None:
        return NO_TRAFFIC
    if record.state == COMPLETE:
        return ONLY_TARGET
    if record.state != RUNNING or record_age > MAX_STAGE_AGE_SECONDS:
        return NO_TRAFFIC
    return Traffic(record.share, record.canaries, False)


def first_fraction(host, route):
    """Return the fraction at which a host starts to count a route's requests."""
    # A checksum of similar texts is not uniform, and the fleet would miss its share.
    text = f"{host}/{route}".encode()
    digest = hashlib.blake2b(text, digest_size=FRACTION_BYTES).digest()
    return int.from_bytes(digest) / (1 << 8 * FRACTION_BYTES)


def is_due(fraction, share):
    """Tell whether the next request goes to the target version."""
    return share > 0.0 and fraction + share >= 1.0


def advance(fraction, share, is_target):
    """Return the fraction after a request."""
    return min(fraction + share, MAX_FRACTION) - is_target


def list_canaries(upstreams, count):
    """Return the ids of the upstreams that get the first requests of a version.

    They are the same on every host with the same list, and spread over the zones.

    Parameters
    ----------
    upstreams : iterable of Upstream
        Upstreams of the version that may be used.
    count : int
    """
    zone_by_id = {upstream.id: upstream.zone for upstream in upstreams}
    position_by_zone: dict[str, int] = {}
    placed = []
    for upstream_id in hashes.rank("canaries", zone_by_id):
        zone = zone_by_id[upstream_id]
        position = position_by_zone.get(zone, 0)
        position_by_zone[zone] = position + 1
        placed.append((position, zone, upstream_id))
    return frozenset(upstream_id for _, _, upstream_id in sorted(placed)[:count])

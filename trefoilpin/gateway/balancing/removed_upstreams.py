"""Memory of upstreams that are no longer listed, as their entries may return.

The store may forget entries in an outage. What an upstream said of itself, such as that
it leaves, still holds when its entry returns.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.balancing.upstream_health import UpstreamHealth

__all__ = ["RemovedUpstreams", "create"]

# Longer than the store may forget entries in an outage.
MAX_REMOVED_SECONDS = 600.0


class RemovedUpstreams(NamedTuple):
    """Health of removed upstreams.

    ``find(upstream)`` returns the health of a removed upstream's id, or None;
    ``update(before, after)`` takes the health by id before and after a change of the
    list.
    """

    find: Callable[[str], UpstreamHealth | None]
    update: Callable[[dict, dict], None]


def create(now):
    """Create the functions of the memory.

    Parameters
    ----------
    now : callable
        Seconds of the kernel's clock.

    Returns
    -------
    RemovedUpstreams
    """
    removed_by_id: dict[str, tuple[float, UpstreamHealth]] = {}

    def find(upstream_id):
        if upstream_id not in removed_by_id:
            return None
        health = removed_by_id[upstream_id][1]
        # Reports of other hosts were not counted while it was not listed.
        health.other_in_flight = 0
        health.is_unsure = False
        return health

    def update(before, after):
        for upstream_id, (removed_at, _) in list(removed_by_id.items()):
            if upstream_id in after or now() - removed_at > MAX_REMOVED_SECONDS:
                del removed_by_id[upstream_id]
        for upstream_id, health in before.items():
            if upstream_id not in after:
                removed_by_id[upstream_id] = (now(), health)

    return RemovedUpstreams(find, update)

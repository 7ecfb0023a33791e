"""Versions of a pool that may be used, and those that wait for the orders.

The upstreams of a version that is new to a pool are started after the order. An order
is known to a host once it has a list of orders that was read after the entry arrived;
until then the version gets nothing.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.store.document_cache import ROLLOUTS, UPSTREAMS

__all__ = ["VersionGates", "create"]

MAX_POOLS = 1000


class VersionGates(NamedTuple):
    """``waiting(pool)`` returns the versions of a pool that have to wait."""

    waiting: Callable[[str], frozenset[str]]


def create(kernel):
    """Create the function that tells which versions wait for the orders.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    VersionGates
    """
    now = kernel.clock.now
    document_cache = kernel.find("document_cache")
    # When the versions of each pool were first listed; those with which a pool began
    # wait until any orders were read.
    seen_at_by_version_by_pool: dict[str, dict[str, float]] = {}
    waiting_by_pool: dict[str, frozenset[str]] = {}

    def update(upstream_by_id):
        listed: dict[str, set[str]] = {}
        for upstream in upstream_by_id.values():
            listed.setdefault(upstream.pool, set()).add(upstream.version)
        for pool, versions in listed.items():
            known = seen_at_by_version_by_pool.get(pool)
            if known is None and len(versions) == 1:
                known = dict.fromkeys(versions, float("-inf"))
            seen_at = {}
            for version in versions:
                seen_at[version] = (known or {}).get(version, now())
            seen_at_by_version_by_pool[pool] = seen_at
            waiting_by_pool[pool] = frozenset(versions)
        for pool in set(seen_at_by_version_by_pool) - set(listed):
            # An empty list keeps what is known, as entries may return after an outage.
            waiting_by_pool.pop(pool, None)
            if len(seen_at_by_version_by_pool) > MAX_POOLS:
                del seen_at_by_version_by_pool[pool]

    def waiting(pool):
        candidates = waiting_by_pool.get(pool)
        if not candidates:
            return frozenset()
        read_at = now() - document_cache.age(ROLLOUTS)
        seen_at = seen_at_by_version_by_pool[pool]
        still = frozenset(
            version
            for version in candidates
            if seen_at.get(version, float("-inf")) > read_at
        )
        waiting_by_pool[pool] = still
        return still

    document_cache.subscribe(UPSTREAMS, update)
    return VersionGates(waiting)

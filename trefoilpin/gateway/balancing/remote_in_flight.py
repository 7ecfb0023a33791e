"""Requests in flight at the upstreams from other hosts, as these report them."""

from typing import Callable, NamedTuple

__all__ = ["IN_FLIGHT_EXPIRY_SECONDS", "RemoteInFlight", "create", "own_counts"]

# Counts of a host that no longer reports expire after this time.
IN_FLIGHT_EXPIRY_SECONDS = 1.5


class RemoteInFlight(NamedTuple):
    """Counts in ``UpstreamHealth.other_in_flight``, with the times of their reports.

    ``merge(host, count_by_upstream)`` replaces the counts of a host, and ``expire()``
    drops those of hosts that no longer report.
    """

    merge: Callable[[str, dict], None]
    expire: Callable[[], None]


def own_counts(in_flights, health_by_id, zone):
    """Return this host's requests in flight by upstream, of one zone or all (None)."""
    count_by_upstream = {}
    for in_flight in in_flights:
        health = in_flight.health
        upstream = health.upstream
        is_current = health_by_id.get(upstream.id) is health
        if is_current and zone in (None, upstream.zone):
            count_by_upstream[upstream.id] = health.own_in_flight
    return count_by_upstream


def create(now, find_health, mark_used):
    """Create the functions that keep the counts.

    Parameters
    ----------
    now : callable
        Seconds of the kernel's clock.
    find_health : callable
        Returns the ``UpstreamHealth`` of an upstream's id, or None.
    mark_used : callable
        ``mark_used(health)`` is called for each upstream that is in use.

    Returns
    -------
    RemoteInFlight
    """
    counts_by_host: dict[str, tuple[float, dict[str, int]]] = {}

    def merge(host, count_by_upstream):
        drop(host)
        for upstream, count in count_by_upstream.items():
            health = find_health(upstream)
            if health is not None:
                health.other_in_flight += count
                health.other_reported_sum += count * now()
                mark_used(health)
        counts_by_host[host] = (now(), count_by_upstream)

    def drop(host):
        reported_at, counts = counts_by_host.pop(host, (0.0, {}))
        for upstream, count in counts.items():
            health = find_health(upstream)
            if health is not None:
                health.other_in_flight = max(health.other_in_flight - count, 0)
                health.other_reported_sum -= count * reported_at
                if not health.other_in_flight:
                    # Rounding errors and counts of an earlier incarnation end here.
                    health.other_reported_sum = 0.0

    def expire():
        for host, (reported_at, _) in list(counts_by_host.items()):
            if now() - reported_at > IN_FLIGHT_EXPIRY_SECONDS:
                drop(host)

    return RemoteInFlight(merge, expire)

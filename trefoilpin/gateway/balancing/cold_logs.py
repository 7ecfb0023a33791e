"""Log of the cold upstreams of a host: from when, until when, and what it sent them.

The lines of all hosts together tell who sent a cold upstream too much, and why: a host
without a line did not know that it is cold, and hosts that disagree on the number of
senders have lines with different numbers.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS

__all__ = ["ColdLogs", "create"]

# Requests to one upstream are logged at most once in this time.
SENDS_PERIOD_SECONDS = 1.0


class ColdLogs(NamedTuple):
    """``cold_logs``: what a host knows of cold upstreams, in its log.

    ``update(healths)`` is called with the ``UpstreamHealth`` of all upstreams when
    their document changed, ``record_send(health)`` when a request is sent to a cold
    one, and ``step()`` from time to time.
    """

    update: Callable
    record_send: Callable
    step: Callable[[], None]


class HeldUpstream:
    """A cold upstream: since when it is held for cold, and requests sent to it."""

    def __init__(self, health, now):
        self.health = health
        self.cold_until = health.cold_until
        self.held_at = now
        self.sent = 0
        self.reported_sent = 0
        self.reported_at = now


def create(kernel, sender_count):
    """Create the service ``cold_logs``.

    Parameters
    ----------
    kernel : Kernel
    sender_count : callable
        Returns the number of hosts that send requests to upstreams.

    Returns
    -------
    ColdLogs
    """
    held_by_key: dict[tuple[str, int], HeldUpstream] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")

    def cold_rate(pool_id):
        pool = document_cache.value(CONFIGURATION).pool_by_id.get(pool_id)
        return pool.cold_rate if pool is not None else 0.0

    def update(healths):
        health_by_key = {}
        for health in healths:
            health_by_key[health.upstream.id, health.upstream.born] = health
        for key in list(held_by_key):
            if key not in health_by_key:
                end(key, "removed")
        for key, health in health_by_key.items():
            held = held_by_key.get(key)
            is_known = held is not None and held.cold_until == health.cold_until
            if now() < health.cold_until and not is_known:
                begin(key, health)

    def begin(key, health):
        """Log that an upstream is cold, or cold for longer than was known."""
        held = held_by_key.get(key)
        seconds_before = 0.0
        if held is None:
            held = held_by_key[key] = HeldUpstream(health, now())
        else:
            seconds_before = held.cold_until - now()
        held.health, held.cold_until = health, health.cold_until
        version = document_cache.version(UPSTREAMS)
        emit(
            events.COLD_HELD,
            **name(health.upstream),
            seconds=round(health.cold_until - now(), 3),
            before=round(seconds_before, 3),
            revision=version.revision,
            age=round(version.age, 3),
            rate=round(cold_rate(health.upstream.pool), 3),
            senders=sender_count(),
        )

    def end(key, reason):
        held = held_by_key.pop(key)
        report_sends(held)
        emit(
            events.COLD_ENDED,
            **name(held.health.upstream),
            seconds=round(now() - held.held_at, 3),
            sent=held.sent,
            reason=reason,
        )

    def record_send(health):
        metrics.count("cold_requests_sent")
        held = held_by_key.get((health.upstream.id, health.upstream.born))
        if held is not None:
            held.sent += 1

    def report_sends(held):
        sent = held.sent - held.reported_sent
        seconds = now() - held.reported_at
        held.reported_sent, held.reported_at = held.sent, now()
        if not sent:
            return
        emit(
            events.COLD_SENDS,
            **name(held.health.upstream),
            sent=sent,
            seconds=round(seconds, 3),
            rate=round(cold_rate(held.health.upstream.pool), 3),
            senders=sender_count(),
        )

    def step():
        for key, held in list(held_by_key.items()):
            if now() >= held.health.cold_until:
                end(key, "elapsed")
            elif now() - held.reported_at >= SENDS_PERIOD_SECONDS:
                report_sends(held)

    metrics.gauge("cold_upstreams", lambda: len(held_by_key))
    service = ColdLogs(update, record_send, step)
    kernel.register("cold_logs", service)
    return service


def name(upstream):
    """Return the fields of an event that name an upstream."""
    return {"pool": upstream.pool, "upstream": upstream.id, "born": upstream.born}

"""Self-monitoring of a host: stale documents and late scheduling.

Either impairs all other work of a host, so check them first in an incident.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.loops import repeat

__all__ = ["Monitors", "create"]

STEP_INTERVAL_SECONDS = 0.2
# Zones are listed every 1.4 s, the other kinds more often, and gossip takes 0.5 s.
STALE_AGE_SECONDS = 2.0
# A quarter of the time after which hosts suspect one that sends regularly.
MAX_STEP_DELAY_SECONDS = 0.45


class Monitors(NamedTuple):
    """``monitors``: ``step()`` checks once and logs changes."""

    step: Callable[[], None]


class MonitorState:
    """Time of the last check, and since when each document is stale."""

    def __init__(self, now):
        self.checked_at = now
        self.stale_at_by_kind: dict[str, float] = {}


def create(kernel):
    """Create the service ``monitors``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Monitors
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    gossip = kernel.find("gossip")
    state = MonitorState(now())

    def check_scheduling():
        delay = now() - state.checked_at - STEP_INTERVAL_SECONDS
        state.checked_at = now()
        metrics.time("step_late_seconds", max(delay, 0.0))
        if delay > MAX_STEP_DELAY_SECONDS:
            emit(events.HOST_LATE, seconds=round(delay, 3))

    def check_age(kind):
        version = document_cache.version(kind)
        stale_at = state.stale_at_by_kind.get(kind)
        if version.age > STALE_AGE_SECONDS and stale_at is None:
            state.stale_at_by_kind[kind] = now()
            emit(
                events.KNOWLEDGE_STALE,
                kind=kind,
                age=round(version.age, 3),
                revision=version.revision,
                place=gossip.reader_rank(),
            )
        if version.age <= STALE_AGE_SECONDS and stale_at is not None:
            del state.stale_at_by_kind[kind]
            emit(
                events.KNOWLEDGE_FRESH,
                kind=kind,
                seconds=round(now() - stale_at, 3),
                revision=version.revision,
            )

    def step():
        check_scheduling()
        for kind in document_cache.kinds:
            check_age(kind)

    def start():
        state.checked_at = now()
        kernel.spawn(repeat, kernel.clock.sleep, lambda: STEP_INTERVAL_SECONDS, step)

    service = Monitors(step)
    kernel.register("monitors", service, start)
    return service

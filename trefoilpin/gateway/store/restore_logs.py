"""Log events and metrics of a restore of the store, and of rows that are retained."""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.store.store_outages import REREGISTRATION_SECONDS
from trefoilpin.gateway.store.store_restores import NO_OVERLAY

__all__ = ["RestoreLogs", "create"]


class RestoreLogs(NamedTuple):
    """Functions that log, given a ``CachedDocument``.

    ``restored(document, version)`` logs the first document of a new era,
    ``overlay_changed(kind, document, restored, before)`` what is retained and withheld
    where it was ``before``, and ``learned(kind, document, source)`` that it came from
    another host. ``add_gauges(kind, overlay)`` has the rows that ``overlay()`` retains
    and withholds measured.
    """

    restored: Callable
    overlay_changed: Callable
    learned: Callable
    add_gauges: Callable


def create(kernel):
    """Create the functions that log.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    RestoreLogs
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")

    def restored(document, version):
        metrics.count("store_restores")
        emit(
            events.STORE_RESTORED,
            kind=version.kind,
            era=version.era,
            revision=version.revision,
            era_before=document.era,
            revision_before=document.revision,
        )

    def overlay_changed(kind, document, overlay_state, before):
        overlay = overlay_state.overlay()
        if overlay_state.shared() != NO_OVERLAY:
            emit(
                events.STATE_KEPT,
                kind=kind,
                era=document.era,
                retained=len(overlay.retained),
                withheld=len(overlay.withheld),
            )
        elif overlay.retained and not before.retained:
            until = document.read_span.started_at + REREGISTRATION_SECONDS
            emit(
                events.ROWS_RETAINED,
                kind=kind,
                revision=document.revision,
                rows=len(overlay.retained),
                seconds=round(until - now(), 3),
            )
        if overlay == NO_OVERLAY:
            emit(events.RETENTION_ENDED, kind=kind, revision=document.revision)

    def learned(kind, document, source):
        metrics.count("store_restores_learned")
        emit(events.STATE_LEARNED, kind=kind, era=document.era, source=source)

    def add_gauges(kind, overlay):
        metrics.gauge(f"{kind}_retained_rows", lambda: len(overlay().retained))
        metrics.gauge(f"{kind}_withheld_rows", lambda: len(overlay().withheld))

    return RestoreLogs(restored, overlay_changed, learned, add_gauges)

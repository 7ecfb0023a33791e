"""Waiting for the first documents after a start.

When a whole fleet starts, hosts accept callers some tenths of a second before they have
a configuration. A request that arrives meanwhile is served sooner if it waits than if
its caller is refused and returns. A host that has been without documents for longer
can't tell when it gets them, and refuses at once.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS

__all__ = ["FirstDocuments", "create", "wait_seconds"]

# Hosts of a fleet start within 0.3 s of each other, and a seed sends its documents
# within as much again.
MAX_WAIT_SECONDS = 0.6
# A host without documents for this long after its start is cut off or the store is
# away.
MAX_START_SECONDS = 2.0
# A caller abandons a host that has done nothing for this share of the time it has left.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
NEEDED_KINDS = (CONFIGURATION, UPSTREAMS)


class FirstDocuments(NamedTuple):
    """``first_documents``: the documents without which no request can be served.

    ``wait(seconds_left)`` returns True once they are there, or False when the request
    should be refused; ``seconds_left`` is what the caller still waits, or None.
    """

    wait: Callable[[float | None], bool]


class FirstDocumentState:
    """When the host started, and whether it has all documents."""

    def __init__(self, now, event):
        self.started_at = now
        self.event = event
        self.is_complete = False


def wait_seconds(uptime, seconds_left):
    """Return how long a request may wait for the first documents.

    Parameters
    ----------
    uptime : float
        Seconds since the start of the host.
    seconds_left : float or None
        How long the caller still waits; None when it did not say.
    """
    seconds = min(MAX_WAIT_SECONDS, MAX_START_SECONDS - uptime)
    if seconds_left is not None:
        seconds = min(seconds, seconds_left * MAX_SHARE_OF_TIME_LEFT)
    return max(seconds, 0.0)


def create(kernel, create_event):
    """Create the service ``first_documents``.

    Parameters
    ----------
    kernel : Kernel
    create_event : callable
        Creates an event with ``wait(seconds)``, ``send()`` and ``ready()``.

    Returns
    -------
    FirstDocuments
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    state = FirstDocumentState(now(), create_event())

    def on_document(value):
        if state.is_complete:
            return
        for kind in NEEDED_KINDS:
            if not document_cache.version(kind).revision:
                return
        state.is_complete = True
        uptime = now() - state.started_at
        metrics.time("first_documents_seconds", uptime)
        emit(events.DOCUMENTS_COMPLETE, seconds=round(uptime, 3))
        state.event.send()

    def wait(seconds_left):
        if state.is_complete:
            return True
        seconds = wait_seconds(now() - state.started_at, seconds_left)
        if seconds > 0:
            metrics.count("requests_waiting_for_documents")
            state.event.wait(seconds)
        return bool(document_cache.version(CONFIGURATION).revision)

    for kind in NEEDED_KINDS:
        document_cache.subscribe(kind, on_document)
    service = FirstDocuments(wait)
    kernel.register("first_documents", service)
    return service

"""Limit on the request bodies that a host holds in memory at a time.

Bodies are read whole before they are forwarded. Some large ones that arrive together
would otherwise fill the memory of a small host, and all its requests would end with it.
"""

from typing import Callable, NamedTuple

from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = [
    "NO_ROOM",
    "SMALL_BODY_BYTES",
    "BodyMemory",
    "BodyReservation",
    "create",
]

# Smaller bodies are not counted, so that large ones don't keep them out.
SMALL_BODY_BYTES = 16_384
# Time in which a body of some megabytes is forwarded.
RETRY_SECONDS = 0.3

NO_ROOM = Refusal(
    Reason.OVERLOADED,
    Verdict.NOT_RUN,
    "this host holds too many large requests",
    RETRY_SECONDS,
)


class BodyMemory(NamedTuple):
    """``body_memory``: room for request bodies.

    ``reserve(reservation, size)`` adds bytes to a ``BodyReservation`` and returns None,
    or a ``Refusal`` when there is no room; ``release(reservation)`` frees all of them.
    ``held()`` is the number of bytes that count toward the limit of the whole host; of
    a larger body that was admitted alone only as many as all bodies may have.
    """

    reserve: Callable[["BodyReservation", int], Refusal | None]
    release: Callable[["BodyReservation"], None]
    held: Callable[[], int]


class BodyReservation:
    """Bytes of one request's body, and how many of them are counted."""

    def __init__(self):
        self.size = 0
        self.counted = 0


class BodyMemoryState:
    """Bytes that are reserved for all requests."""

    def __init__(self):
        self.reserved = 0


def create(kernel, capacity):
    """Create the service ``body_memory``.

    Parameters
    ----------
    kernel : Kernel
    capacity : int
        Bytes for all bodies. A request that is alone is admitted with any size.

    Returns
    -------
    BodyMemory
    """
    state = BodyMemoryState()
    metrics = kernel.find("metrics")

    def reserve(reservation, size):
        reservation.size += size
        if reservation.size <= SMALL_BODY_BYTES:
            return None
        added = reservation.size - reservation.counted
        is_alone = state.reserved == reservation.counted
        if not is_alone and state.reserved + added > capacity:
            metrics.count("bodies_without_room")
            return NO_ROOM
        reservation.counted += added
        state.reserved += added
        return None

    def release(reservation):
        state.reserved -= reservation.counted
        reservation.size = reservation.counted = 0

    metrics.gauge("body_bytes_reserved", lambda: state.reserved)
    service = BodyMemory(reserve, release, lambda: min(state.reserved, capacity))
    kernel.register("body_memory", service)
    return service

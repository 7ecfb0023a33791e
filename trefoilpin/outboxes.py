"""Messages that must arrive: kept and sent again, one task for each destination."""

from collections import deque
from typing import Any, Callable, NamedTuple

__all__ = ["Outbox", "create_outbox"]

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0
KEPT_SECONDS = 900.0


class Outbox(NamedTuple):
    """Messages that wait, and what is done with them.

    ``put(destination, message)`` keeps a message until it was taken, or for
    ``KEPT_SECONDS``. ``deliver_once(destination)`` tries the oldest one and tells
    whether it is done with. ``size()`` counts the messages that wait;
    ``destinations()`` lists where to.
    """

    put: Callable[[str, Any], None]
    deliver_once: Callable[[str], bool]
    size: Callable[[], int]
    destinations: Callable[[], tuple[str, ...]]


class OutboxState:
    """Messages that wait, by destination."""

    def __init__(self):
        self.messages_by_destination: dict[str, deque] = {}


def create_outbox(kernel, send):
    """Create an outbox.

    Parameters
    ----------
    kernel : Kernel
    send : callable
        ``send(destination, message)`` tells whether the message was taken.

    Returns
    -------
    Outbox
    """
    state = OutboxState()

    def put(destination, message):
        waiting = state.messages_by_destination.get(destination)
        entry = (message, kernel.clock.now() + KEPT_SECONDS)
        if waiting is not None:
            waiting.append(entry)
            return
        state.messages_by_destination[destination] = deque((entry,))
        kernel.spawn(deliver, destination)

    def deliver(destination):
        delay = FIRST_DELAY_SECONDS
        while destination in state.messages_by_destination:
            if deliver_once(destination):
                delay = FIRST_DELAY_SECONDS
                continue
            kernel.clock.sleep(delay * kernel.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, MAX_DELAY_SECONDS)

    def deliver_once(destination):
        waiting = state.messages_by_destination.get(destination)
        if not waiting:
            return False
        entry = waiting[0]
        message, give_up_at = entry
        if not send(destination, message) and kernel.clock.now() < give_up_at:
            return False
        if waiting and waiting[0] is entry:
            waiting.popleft()
        if not waiting:
            state.messages_by_destination.pop(destination, None)
        return True

    def size():
        return sum(map(len, state.messages_by_destination.values()))

    def destinations():
        return tuple(state.messages_by_destination)

    return Outbox(put, deliver_once, size, destinations)

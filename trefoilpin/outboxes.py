"""Reliable delivery: messages are resent until taken, by one task per destination."""

from collections import deque
from typing import Any, Callable, NamedTuple

__all__ = ["Outbox", "create_outbox"]

INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 2.0
MAX_MESSAGE_AGE_SECONDS = 900.0


class Outbox(NamedTuple):
    """Pending messages by destination.

    ``put(destination, message)`` queues a message until it is taken, at most for
    ``MAX_MESSAGE_AGE_SECONDS``. ``deliver_once(destination)`` tries the oldest message
    and returns True when it was taken or has expired. ``size()`` is the number of
    pending messages; ``destinations()`` are those with pending messages.
    """

    put: Callable[[str, Any], None]
    deliver_once: Callable[[str], bool]
    size: Callable[[], int]
    destinations: Callable[[], tuple[str, ...]]


class OutboxState:
    """Pending messages with their expiry times, by destination."""

    def __init__(self):
        self.messages_by_destination: dict[str, deque] = {}


def create_outbox(kernel, send):
    """Create an outbox.

    Parameters
    ----------
    kernel : Kernel
    send : callable
        ``send(destination, message)`` returns True when the message was taken.

    Returns
    -------
    Outbox
    """
    state = OutboxState()

    def put(destination, message):
        pending = state.messages_by_destination.get(destination)
        entry = (message, kernel.clock.now() + MAX_MESSAGE_AGE_SECONDS)
        if pending is not None:
            pending.append(entry)
            return
        state.messages_by_destination[destination] = deque((entry,))
        kernel.spawn(deliver, destination)

    def deliver(destination):
        delay = INITIAL_RETRY_DELAY_SECONDS
        while destination in state.messages_by_destination:
            if deliver_once(destination):
                delay = INITIAL_RETRY_DELAY_SECONDS
                continue
            kernel.clock.sleep(delay * kernel.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)

    def deliver_once(destination):
        pending = state.messages_by_destination.get(destination)
        if not pending:
            return False
        entry = pending[0]
        message, expires_at = entry
        if not send(destination, message) and kernel.clock.now() < expires_at:
            return False
        if pending and pending[0] is entry:
            pending.popleft()
        if not pending:
            state.messages_by_destination.pop(destination, None)
        return True

    def size():
        return sum(map(len, state.messages_by_destination.values()))

    def destinations():
        return tuple(state.messages_by_destination)

    return Outbox(put, deliver_once, size, destinations)

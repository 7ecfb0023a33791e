"""Paced send queue for gossip messages.

A relay that sends to all hosts of its zone at once would fill the queue of a small link
within milliseconds, and later datagrams would be lost. Messages are therefore sent one
by one, no faster than the link carries them, and each is built when its turn comes.

Source: the leaky bucket as a queue; Turner, "New directions in communications", IEEE
Communications Magazine 24(10), 1986.
"""

from typing import Callable, NamedTuple

from trefoilpin.gateway.loops import repeat

__all__ = ["SendQueues", "create"]

# Share of the link rate; the rest is for callers, upstreams and documents.
MAX_LINK_SHARE = 0.8
# Bytes that may be sent without a pause: a quarter of the queue of a small link.
BURST_BYTES = 8_000


class SendQueues(NamedTuple):
    """``send_queues``: paced sending of gossip messages.

    ``enqueue(address, purpose, build)`` queues a message that ``build()`` creates when
    its turn comes; while it waits, another one for the same host and purpose is not
    queued. ``waiting()`` is the number of queued messages, and ``send_next()`` sends
    the next one; a task calls it.
    """

    enqueue: Callable[[str, str, Callable], None]
    waiting: Callable[[], int]
    send_next: Callable[[], None]


class SendQueueState:
    """Queued messages in order, and when the link is free again."""

    def __init__(self, create_event):
        self.build_by_target: dict[tuple[str, str], Callable] = {}
        self.has_work = create_event()
        self.free_at = float("-inf")


def create(kernel, link_rate, create_event, send):
    """Create the service ``send_queues``.

    Parameters
    ----------
    kernel : Kernel
    link_rate : float
        Bandwidth of the host's link in bytes per second.
    create_event : callable
        Creates an event with ``wait()``, ``send()`` and ``ready()``.
    send : callable
        ``send(address, message)`` sends a datagram and returns its size in bytes.

    Returns
    -------
    SendQueues
    """
    state = SendQueueState(create_event)
    now, sleep = kernel.clock.now, kernel.clock.sleep
    rate = link_rate * MAX_LINK_SHARE
    burst_seconds = BURST_BYTES / rate

    def enqueue(address, purpose, build):
        state.build_by_target.setdefault((address, purpose), build)
        if not state.has_work.ready():
            state.has_work.send()

    def send_next():
        if not state.build_by_target:
            state.has_work.wait()
        state.has_work = create_event()
        target = next(iter(state.build_by_target), None)
        if target is None:
            return
        build = state.build_by_target.pop(target)
        size = send(target[0], build())
        state.free_at = max(state.free_at, now() - burst_seconds) + size / rate

    def waiting():
        return len(state.build_by_target)

    def pause():
        return max(state.free_at - now(), 0.0)

    service = SendQueues(enqueue, waiting, send_next)
    kernel.find("metrics").gauge("bulletins_waiting", waiting)
    kernel.register(
        "send_queues", service, lambda: kernel.spawn(repeat, sleep, pause, send_next)
    )
    return service

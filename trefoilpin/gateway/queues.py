"""Queues for saturated pools: priority order with admission control by deadline.

The load pattern it answers: bursts, and pools that lost much of their capacity. A
request waits only while the pool's service rate lets it be served before its deadline;
one that can't be, on arrival or later, is refused at once, with the time after which
the queue should have drained. Among requests of one priority, those that can still
meet their target time go first, so that a pool under twice its load still answers on
time.
"""

import heapq
from typing import Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["Queues", "QueueRequest", "create", "expected_wait"]

RETRY_SECONDS = 0.1
# Until some requests were served the pool is taken to serve this many a second here.
INITIAL_PACE = 20.0
PACE_WEIGHT = 0.05
LEAST_RETRY_AFTER = 0.1
MOST_RETRY_AFTER = 2.0


class QueueRequest(NamedTuple):
    """A request for a place in a queue.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    deadline : float
        Clock time in seconds by which it must be answered.
    target : float
        Clock time in seconds until which an answer is on time.
    typical_seconds : float
        Typical duration of such requests.
    """

    priority: int
    deadline: float
    target: float
    typical_seconds: float


class Queues(NamedTuple):
    """``queues``: admission to saturated pools.

    ``enter(pool, wait, choose, is_gone)`` waits until ``choose()`` no longer reports
    saturation and returns its result, or a ``Refusal``; ``wait`` is a ``QueueRequest``.
    ``notify_release(pool)`` is called when a request ended. ``wake()`` lets the head of
    each queue try again. ``waiting()`` is the number of waiting requests.
    """

    enter: Callable
    notify_release: Callable
    wake: Callable
    waiting: Callable


class Waiter:
    """A waiting request.

    Attributes
    ----------
    behind : int
        Number of turns at this pool after which its own turn should come.
    """

    def __init__(self, event, wait, behind):
        self.event = event
        self.wait = wait
        self.behind = behind
        self.is_waiting = True
        self.is_late = False


class PoolQueue:
    """Requests that wait for one pool, and its service rate at this host."""

    def __init__(self, now):
        self.heap = []
        self.waiting = 0
        self.count_by_priority: dict[int, int] = {}
        self.turns = 0
        self.gap = 1 / INITIAL_PACE
        self.released_at = now
        self.waiting_since = now


def expected_wait(ahead, gap):
    """Return the seconds until a request behind ``ahead`` others has its turn."""
    return (ahead + 1) * gap


def is_saturated(outcome):
    """Tell whether a choice failed only because every upstream is at its limit."""
    if not isinstance(outcome, Failure):
        return False
    return outcome.failure().reason is Reason.OVERLOADED


def refuse(detail, seconds):
    """Return the refusal of a request that gets no turn in time."""
    wait = min(max(seconds, LEAST_RETRY_AFTER), MOST_RETRY_AFTER)
    return Failure(Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, detail, wait))


def create(kernel, create_event):
    """Create the service ``queues``.

    Parameters
    ----------
    kernel : Kernel
    create_event : callable
        Makes an event with ``wait(timeout)`` and ``send()``.

    Returns
    -------
    Queues
    """
    queue_by_pool: dict[str, PoolQueue] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    sequence = iter(range(1 << 62))

    def enter(pool, wait, choose, is_gone):
        queue = queue_by_pool.get(pool)
        if queue is None:
            queue = queue_by_pool[pool] = PoolQueue(now())
        if not queue.waiting:
            outcome = choose()
            if not is_saturated(outcome):
                return outcome
        if not queue.waiting:
            queue.waiting_since = now()
        ahead = count_ahead(queue, wait.priority)
        seconds = expected_wait(ahead, gap(queue))
        if now() + seconds + wait.typical_seconds > wait.deadline:
            return refuse("the pool is full for longer than the request has", seconds)
        emit(
            events.REQUEST_WAITS,
            pool=pool,
            priority=wait.priority,
            ahead=ahead,
            expected=round(seconds, 3),
        )
        return wait_for_turn(queue, wait, ahead, choose, is_gone)

    def gap(queue):
        """Return the seconds between turns, as the pool serves or stands still now."""
        still = now() - max(queue.released_at, queue.waiting_since)
        return max(queue.gap, still)

    def is_hopeless(queue, waiter):
        """Tell whether a request's turn should come too late."""
        ahead = max(waiter.behind - queue.turns, 0)
        seconds = ahead * gap(queue)
        return now() + seconds + waiter.wait.typical_seconds > waiter.wait.deadline

    def count_ahead(queue, priority):
        ahead = 0
        for rank, count in queue.count_by_priority.items():
            if rank <= priority:
                ahead += count
        return ahead

    def wait_for_turn(queue, wait, ahead, choose, is_gone):
        waiter = join(queue, wait, ahead)
        latest = wait.deadline - wait.typical_seconds
        try:
            while now() < latest:
                waiter.event.wait(min(RETRY_SECONDS, max(latest - now(), 0.001)))
                if is_gone():
                    return refuse("the caller left while waiting", 0.0)
                if waiter.event.ready():
                    waiter.event = create_event()
                if first(queue) is not waiter:
                    if is_hopeless(queue, waiter):
                        break
                    continue
                outcome = choose()
                if not is_saturated(outcome):
                    queue.turns += 1
                    return outcome
            return refuse("no upstream came free in time", gap(queue) * queue.waiting)
        finally:
            leave(queue, wait, waiter)
            wake_first(queue)

    def join(queue, wait, ahead):
        waiter = Waiter(create_event(), wait, queue.turns + ahead)
        push(queue, waiter)
        queue.waiting += 1
        count = queue.count_by_priority.get(wait.priority, 0)
        queue.count_by_priority[wait.priority] = count + 1
        return waiter

    def leave(queue, wait, waiter):
        waiter.is_waiting = False
        queue.waiting -= 1
        queue.count_by_priority[wait.priority] -= 1

    def push(queue, waiter):
        waiter.is_late = now() + waiter.wait.typical_seconds > waiter.wait.target
        key = (waiter.wait.priority, waiter.is_late, next(sequence))
        heapq.heappush(queue.heap, (key, waiter))

    def first(queue):
        """Return the request whose turn is next, or None.

        One that has become late goes behind those of its rank that have not.
        """
        while queue.heap:
            waiter = queue.heap[0][1]
            if not waiter.is_waiting:
                heapq.heappop(queue.heap)
                continue
            if (
                waiter.is_late
                or now() + waiter.wait.typical_seconds <= waiter.wait.target
            ):
                return waiter
            heapq.heappop(queue.heap)
            push(queue, waiter)
            waiter.behind = queue.turns + queue.count_by_priority[waiter.wait.priority]
        return None

    def wake_first(queue):
        waiter = first(queue)
        if waiter is not None and not waiter.event.ready():
            waiter.event.send()

    def notify_release(pool):
        queue = queue_by_pool.get(pool)
        if queue is None:
            return
        if queue.waiting:
            gap = min(now() - queue.released_at, 1.0)
            queue.gap += (gap - queue.gap) * PACE_WEIGHT
        queue.released_at = now()
        wake_first(queue)

    def wake():
        for queue in queue_by_pool.values():
            wake_first(queue)

    def waiting():
        return sum(queue.waiting for queue in queue_by_pool.values())

    service = Queues(enter, notify_release, wake, waiting)
    kernel.register("queues", service)
    return service

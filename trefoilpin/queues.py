"""Scheduling of requests in a saturated pool: weighted deficit round robin by account.

Source: Shreedhar and Varghese, "Efficient fair queuing using deficit round robin",
IEEE/ACM Transactions on Networking 4(3), 1996.

A request waits in its account's queue and chooses an upstream itself once it is
scheduled, so a request that ends while it waits holds no slot. One request is scheduled
for each released slot, and for each arrival, since concurrency limits can also rise
without a release.
"""

from collections import deque

from returns.result import Failure

from trefoilpin import events
from trefoilpin.services import Queues
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

RETRY_INTERVAL_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0
NO_ACCOUNT = ""


def overload_failure(detail):
    """Return the failure of a request that found no slot."""
    reason = Reason.OVERLOADED
    return Failure(Refusal(reason, Verdict.NOT_RUN, detail, RETRY_AFTER_SECONDS))


DEADLINE_PASSED = overload_failure("no upstream came free before the deadline")
SHED = overload_failure("the pool is overloaded and the account is over its share")


class Waiter:
    """A queued request."""

    __slots__ = ("event", "is_scheduled", "is_shed")

    def __init__(self, event):
        self.event = event
        self.is_scheduled = False
        self.is_shed = False


class AccountQueue:
    """Queued requests of one account for one pool.

    Attributes
    ----------
    account : str
    weight, deficit : float
    has_quantum : bool
        True once the quantum of this round was added to ``deficit``.
    waiters : deque of Waiter
    """

    __slots__ = ("account", "weight", "deficit", "has_quantum", "waiters")

    def __init__(self, account, weight):
        self.account = account
        self.weight = weight
        self.deficit = 0.0
        self.has_quantum = False
        self.waiters: deque[Waiter] = deque()


class PoolQueue:
    """Queues of one pool that are not empty, in round-robin order."""

    def __init__(self):
        self.account_queues: deque[AccountQueue] = deque()
        self.queue_by_account: dict[str, AccountQueue] = {}
        self.waiting = 0
        self.scheduled = 0


def enqueue(queue, account, waiter):
    """Append a request to its account's queue."""
    account_id = account.id if account is not None else NO_ACCOUNT
    account_queue = queue.queue_by_account.get(account_id)
    if account_queue is None:
        weight = account.weight if account is not None else 1.0
        account_queue = queue.queue_by_account[account_id] = AccountQueue(
            account_id, weight
        )
        queue.account_queues.append(account_queue)
    account_queue.waiters.append(waiter)
    queue.waiting += 1
    return account_queue


def dequeue(queue, account_queue, waiter):
    """Remove a request from its account's queue; drop the queue if it is empty."""
    account_queue.waiters.remove(waiter)
    queue.waiting -= 1
    if not account_queue.waiters:
        queue.account_queues.remove(account_queue)
        del queue.queue_by_account[account_queue.account]


def next_account_queue(queue):
    """Return the account queue to serve next, and charge it for one request."""
    lowest_weight = min(account_queue.weight for account_queue in queue.account_queues)
    while True:
        account_queue = queue.account_queues[0]
        if account_queue.deficit >= 1:
            account_queue.deficit -= 1
            return account_queue
        if account_queue.has_quantum:
            account_queue.has_quantum = False
            queue.account_queues.rotate(-1)
            continue
        account_queue.has_quantum = True
        account_queue.deficit += account_queue.weight / lowest_weight


def find_most_over_share(queue):
    """Return the account queue with the most waiting requests for its weight."""
    return max(
        queue.account_queues,
        key=lambda account_queue: len(account_queue.waiters) / account_queue.weight,
    )


def is_overloaded(outcome):
    """Return whether a choice failed because all upstreams are at their limit."""
    if not isinstance(outcome, Failure):
        return False
    return outcome.failure().reason is Reason.OVERLOADED


def create(kernel, create_event, max_waiting):
    """Create the service ``queues``.

    Parameters
    ----------
    kernel : Kernel
    create_event : callable
        Creates an event with ``wait(timeout)`` and ``send()``.
    max_waiting : int
        Maximum number of requests queued for one pool.

    Returns
    -------
    Queues
    """
    queue_by_pool: dict[str, PoolQueue] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit

    def enter(pool, account, deadline, choose):
        queue = queue_by_pool.get(pool.id)
        if queue is None:
            queue = queue_by_pool[pool.id] = PoolQueue()
        if not queue.waiting and not queue.scheduled:
            outcome = choose()
            if not is_overloaded(outcome):
                return outcome
        waiter = Waiter(create_event())
        account_queue = enqueue(queue, account, waiter)
        emit_queue_event(events.REQUEST_QUEUED, pool, account_queue, queue)
        if queue.waiting + queue.scheduled > max_waiting:
            shed(pool, queue)
        if not queue.scheduled:
            schedule_next(queue)
        return wait(queue, account_queue, waiter, deadline, choose)

    def emit_queue_event(event, pool, account_queue, queue):
        account = account_queue.account or None
        emit(event, pool=pool.id, account=account, waiting=queue.waiting)

    def shed(pool, queue):
        """Refuse the newest request of the account that is most over its share."""
        account_queue = find_most_over_share(queue)
        waiter = account_queue.waiters[-1]
        emit_queue_event(events.REQUEST_SHED, pool, account_queue, queue)
        dequeue(queue, account_queue, waiter)
        waiter.is_shed = True
        waiter.event.send()

    def schedule_next(queue):
        """Remove the next request from its queue and wake it."""
        if not queue.waiting:
            return
        account_queue = next_account_queue(queue)
        waiter = account_queue.waiters[0]
        dequeue(queue, account_queue, waiter)
        queue.scheduled += 1
        waiter.is_scheduled = True
        waiter.event.send()

    def wait(queue, account_queue, waiter, deadline, choose):
        is_chosen = False
        try:
            while True:
                if waiter.is_shed:
                    return SHED
                if waiter.is_scheduled and now() < deadline:
                    outcome = choose()
                    if not is_overloaded(outcome):
                        is_chosen = True
                        return outcome
                    account_queue = requeue(queue, account_queue, waiter)
                seconds = deadline - now()
                if seconds <= 0:
                    return DEADLINE_PASSED
                waiter.event.wait(min(seconds, RETRY_INTERVAL_SECONDS))
                if not queue.scheduled:
                    schedule_next(queue)
        finally:
            if waiter.is_scheduled:
                queue.scheduled -= 1
                if not is_chosen:
                    schedule_next(queue)
            elif not waiter.is_shed:
                dequeue(queue, account_queue, waiter)

    def requeue(queue, account_queue, waiter):
        """Put a request that found no slot back at the head of its queue."""
        queue.scheduled -= 1
        waiter.is_scheduled = False
        waiter.event = create_event()
        current = queue.queue_by_account.get(account_queue.account)
        if current is None:
            queue.queue_by_account[account_queue.account] = current = account_queue
            queue.account_queues.appendleft(account_queue)
        current.deficit += 1
        current.waiters.appendleft(waiter)
        queue.waiting += 1
        return current

    def notify_release(pool):
        queue = queue_by_pool.get(pool)
        if queue is not None:
            schedule_next(queue)

    service = Queues(enter, notify_release)
    kernel.register("queues", service)
    return service

"""Queues for saturated pools: fair order with admission control by deadline.

The queues absorb bursts and the loss of much of a pool's capacity. A request waits only
while the pool's service rate lets it be served before its deadline. One that can't be,
on arrival or later, is refused at once, with the time after which the queue should have
drained. ``fair_shares`` decides whose turn it is, by priority and by the service that
each account received. Among requests of one account and priority, those that can still
meet their target time go first, so that a pool under twice its capacity still answers
on time.
"""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway.admission import fair_shares, waiting_requests
from trefoilpin.gateway.admission.queue_refusals import (
    YIELDED,
    is_saturated,
    refuse,
    refuse_full,
)
from trefoilpin.gateway.admission.waiting_requests import PoolQueue, Waiter

__all__ = ["Queues", "QueueRequest", "Release", "create"]

# Interval at which waiting requests check their state without a notification.
RETRY_INTERVAL_SECONDS = 0.1
# Interval at which levels are decayed and reported while requests wait.
REFRESH_INTERVAL_SECONDS = 0.05
# Interval at which a waiting request estimates anew how many are served before it.
ESTIMATE_INTERVAL_SECONDS = 0.5
# Interval between adjustments of the limit on requests in flight; hosts of other zones
# hear of freed slots within it.
LIMIT_INTERVAL_SECONDS = 0.25
# Other hosts leave capacity to requests that have waited for this long: a share of a
# service time, so that the usual wait for a turn frees no slots.
LONG_WAIT_SECONDS = 0.15
# What a lower priority owes when it begins to wait, in requests. It is drawn, as hosts
# must not all serve a long request of it at the same time, nor at once.
INITIAL_DEBTS = (0.4, 1.0)
# Waiting requests of one pool at this host; some hundred bytes and a task each.
MAX_WAITING = 1000
# Weight of a new sample in the moving average of the intervals between releases.
INTERVAL_WEIGHT = 0.05


class QueueRequest(NamedTuple):
    """Priority, time limits and account of a request that enters a queue.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    deadline : float
        Clock time in seconds by which the request must be answered.
    target : float
        Clock time in seconds by which the request should be answered.
    typical_seconds : float
        Typical duration of such requests.
    account : str
        Id of the client account, empty for open routes, which share as one account.
    route : str
    """

    priority: int
    deadline: float
    target: float
    typical_seconds: float
    account: str = ""
    route: str = ""


class Release(NamedTuple):
    """A request of this host that ended at an upstream.

    Attributes
    ----------
    account : str
    seconds : float
        Time for which it held a slot.
    charged : float
        Part of that time that was counted when ``enter`` returned; 0 for an attempt
        that did not pass through ``enter``.
    """

    account: str
    seconds: float
    charged: float


class Queues(NamedTuple):
    """``queues``: admission to saturated pools.

    ``enter(pool, request, choose, is_gone)`` waits until ``choose()`` no longer reports
    saturation and returns its result, or a ``Refusal``; ``request`` is a
    ``QueueRequest``, and ``is_gone()`` tells whether the caller disconnected.
    ``notify_release(pool, release=None)`` is called when a request ended; without a
    ``Release`` it took as long as was counted. ``wake()`` lets the head of each queue
    try again. ``waiting()`` is the number of waiting requests.
    """

    enter: Callable
    notify_release: Callable
    wake: Callable
    waiting: Callable


def create(kernel, create_event):
    """Create the service ``queues``.

    Parameters
    ----------
    kernel : Kernel
    create_event : callable
        Creates an event with ``wait(seconds)``, ``send()`` and ``ready()``.

    Returns
    -------
    Queues
    """
    queue_by_pool: dict[str, PoolQueue] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    account_usage = kernel.find("account_usage")
    pressure = kernel.find("pool_pressure")

    def enter(pool, request, choose, is_gone):
        queue = queue_by_pool.get(pool)
        if queue is None:
            queue = queue_by_pool[pool] = PoolQueue(pool, now())
        if not queue.waiting:
            outcome = choose_within_limit(queue, request, choose)
            if not is_saturated(outcome):
                return record_start(queue, request, outcome)
            start_waiting(queue)
        ahead = count_ahead(queue, request)
        seconds = pressure.expected_wait(pool, ahead, expected_interval(queue))
        is_too_late = now() + seconds + request.typical_seconds > request.deadline
        if is_too_late or not make_room(queue, request):
            wait = max(seconds, wait_for_urgent(queue, request.priority))
            return state_return(pool, request, refuse_full(wait))
        emit(
            events.REQUEST_WAITS,
            pool=pool,
            priority=request.priority,
            ahead=ahead,
            expected=round(seconds, 3),
        )
        pressure.enter(pool, request.priority)
        try:
            outcome = wait_for_turn(queue, request, ahead, choose, is_gone)
        finally:
            pressure.leave(pool, request.priority)
        return outcome if is_gone() else state_return(pool, request, outcome)

    def wait_for_urgent(queue, priority):
        """Return in how many seconds the requests of a priority and above are served.

        A guaranteed share may serve a lower priority sooner, but its callers return
        after more urgent ones.
        """
        ahead = 0
        for other, count in queue.count_by_priority.items():
            ahead += count if other <= priority else 0
        return pressure.expected_wait(queue.pool, ahead, expected_interval(queue))

    def state_return(pool, request, outcome):
        """State in a refusal by a full pool when its caller should return."""
        if not is_saturated(outcome):
            return outcome
        refusal = outcome.failure()
        retry_after = pressure.return_seconds(
            pool,
            request.priority,
            request.deadline - now(),
            request.typical_seconds,
            refusal.retry_after,
        )
        return Failure(refusal._replace(retry_after=retry_after))

    def start_waiting(queue):
        queue.waiting_since = now()
        waiting_requests.decay(queue, now())
        if not account_usage.is_under_pressure(queue.pool):
            waiting_requests.reset(queue)

    def record_start(queue, request, outcome):
        """Count a request that got an upstream; return the outcome."""
        if isinstance(outcome, Success):
            queue.in_flight += 1
            account_usage.charge(queue.pool, request.account, request.typical_seconds)
        return outcome

    def service(queue):
        return account_usage.service(queue.pool)

    def expected_interval(queue):
        """Return the expected seconds between releases; grows while there are none."""
        stalled = now() - max(queue.released_at, queue.waiting_since)
        return max(queue.release_interval, stalled)

    def count_ahead(queue, request):
        return waiting_requests.count_ahead(queue, request, service(queue))

    def will_miss_deadline(queue, waiter):
        """Tell whether a waiting request is expected to be served too late."""
        is_late = waiting_requests.is_late(waiter, now())
        # A request that became late is behind those of its account that are not.
        has_become_late = is_late and not waiter.was_estimated_late
        is_due = now() - waiter.estimated_at >= ESTIMATE_INTERVAL_SECONDS
        if has_become_late or is_due:
            waiter.was_estimated_late = is_late
            estimate_turn(queue, waiter)
        ahead = max(waiter.expected_turn - queue.served_count, 0)
        seconds = ahead * expected_interval(queue)
        return (
            now() + seconds + waiter.request.typical_seconds > waiter.request.deadline
        )

    def estimate_turn(queue, waiter):
        waiter.estimated_at = now()
        ahead = waiting_requests.count_ahead_of(queue, waiter, service(queue), now())
        waiter.expected_turn = queue.served_count + ahead

    def wait_for_turn(queue, request, ahead, choose, is_gone):
        waiter = join(queue, request, ahead)
        latest_start = request.deadline - request.typical_seconds
        try:
            while now() < latest_start:
                waiter.event.wait(
                    min(RETRY_INTERVAL_SECONDS, max(latest_start - now(), 0.001))
                )
                if is_gone():
                    return refuse("the caller left while waiting", 0.0)
                if waiter.is_displaced:
                    break
                was_woken = waiter.event.ready()
                if was_woken:
                    waiter.event = create_event()
                if head(queue) is not waiter:
                    if was_woken:
                        # Its turn has passed to another one since then.
                        wake_head(queue)
                    if will_miss_deadline(queue, waiter):
                        break
                    continue
                outcome = choose_for_waiter(queue, waiter, choose)
                if not is_saturated(outcome):
                    return outcome
            return refuse(
                "no upstream came free in time",
                expected_interval(queue) * queue.waiting,
            )
        finally:
            waiting_requests.leave(queue, waiter)
            if not queue.waiting:
                account_usage.mark_idle(queue.pool)
            wake_head(queue)

    def join(queue, request, ahead):
        waiter = Waiter(create_event(), request, queue.arrivals, now())
        waiter.is_late = now() + request.typical_seconds > request.target
        waiter.expected_turn = queue.served_count + ahead
        initial_credit = -kernel.rng.uniform(*INITIAL_DEBTS) * request.typical_seconds
        waiting_requests.join(queue, waiter, service(queue), initial_credit)
        if queue.waiting == 1:
            refresh(queue)
        if head(queue) is waiter:
            waiter.event.send()
        return waiter

    def make_room(queue, request):
        """Make room in a full queue; return False if the request itself must go."""
        if queue.waiting < MAX_WAITING:
            return True
        displaced = waiting_requests.displace(queue, request, service(queue))
        if displaced is None:
            return False
        if not displaced.event.ready():
            displaced.event.send()
        metrics.count("requests_displaced")
        emit(
            events.REQUEST_DISPLACED,
            pool=queue.pool,
            account=displaced.request.account,
            route=displaced.request.route,
            priority=displaced.request.priority,
            waiting=queue.waiting,
        )
        return True

    def choose_for_waiter(queue, waiter, choose):
        """Choose an upstream for the request whose turn it is."""
        request = waiter.request
        outcome = choose_within_limit(queue, request, choose)
        if isinstance(outcome, Success):
            if waiting_requests.record_grant(queue, waiter, service(queue)):
                metrics.count("guaranteed_served")
                emit(
                    events.GUARANTEED_SERVED,
                    pool=queue.pool,
                    account=request.account,
                    route=request.route,
                    priority=request.priority,
                )
            metrics.count("queued_requests_served")
        return record_start(queue, request, outcome)

    def choose_within_limit(queue, request, choose):
        """Choose an upstream unless requests at other hosts should go first."""
        if not account_usage.is_under_pressure(queue.pool):
            queue.limit = None
            return choose()
        elsewhere = account_usage.waiting_elsewhere(queue.pool)
        level = service(queue).get(request.account, 0.0)
        # A request served from the guaranteed share of its priority has its turn.
        is_due = queue.credit_by_priority.get(request.priority, 0.0) > 0.0
        yields = not is_due and fair_shares.must_yield(
            request.priority, level, elsewhere
        )
        queue.has_yielded = queue.has_yielded or yields
        if now() - queue.limited_at >= LIMIT_INTERVAL_SECONDS:
            update_limit(queue, request)
        if yields and queue.limit is not None and queue.in_flight >= queue.limit:
            metrics.count("slots_yielded")
            return YIELDED
        return choose()

    def update_limit(queue, request):
        previous = queue.limit
        if previous is None:
            queue.limit_floor = queue.in_flight * fair_shares.LIMIT_FLOOR_SHARE
        queue.limit = fair_shares.adjust_limit(
            previous, queue.in_flight, queue.has_yielded, queue.limit_floor
        )
        queue.limited_at = now()
        queue.has_yielded = False
        if previous is None and queue.limit is not None:
            emit(
                events.POOL_LIMITED,
                pool=queue.pool,
                limit=round(queue.limit, 1),
                in_flight=queue.in_flight,
                account=request.account,
            )
        elif previous is not None and queue.limit is None:
            emit(events.POOL_UNLIMITED, pool=queue.pool, in_flight=queue.in_flight)

    def refresh(queue):
        """Decay the levels, and report the lowest ones."""
        waiting_requests.decay(queue, now())
        lowest = waiting_requests.lowest_levels(
            queue, service(queue), now() - LONG_WAIT_SECONDS
        )
        account_usage.mark_waiting(queue.pool, lowest)

    def head(queue):
        """Return the request to be served next, or None."""
        if not queue.waiting:
            return None
        if now() - queue.decayed_at >= REFRESH_INTERVAL_SECONDS:
            refresh(queue)
        return waiting_requests.select(queue, service(queue), now())

    def wake_head(queue):
        waiter = head(queue)
        if waiter is not None and not waiter.event.ready():
            waiter.event.send()

    def notify_release(pool, release=None):
        queue = queue_by_pool.get(pool)
        if queue is None:
            return
        if release is None or release.charged > 0.0:
            queue.in_flight = max(queue.in_flight - 1, 0)
        if release is not None:
            account_usage.charge(
                pool, release.account, release.seconds - release.charged
            )
        if queue.waiting:
            interval = min(now() - queue.released_at, 1.0)
            queue.release_interval += (
                interval - queue.release_interval
            ) * INTERVAL_WEIGHT
        queue.released_at = now()
        wake_head(queue)

    def wake():
        for queue in queue_by_pool.values():
            wake_head(queue)

    def waiting():
        return sum(queue.waiting for queue in queue_by_pool.values())

    functions = Queues(enter, notify_release, wake, waiting)
    kernel.register("queues", functions)
    return functions

"""Order of service in a saturated pool: weighted deficit round robin by account.

Source: Shreedhar and Varghese, "Efficient fair queuing using deficit round robin",
IEEE/ACM Transactions on Networking 4(3), 1996.

A request waits in its account's lane for a turn and chooses an upstream itself when
it gets one, so a request that ends meanwhile holds nothing. Each released slot gives
one turn; so does each arrival, since caps also rise by themselves.
"""

from collections import deque

from returns.result import Failure

from trefoilpin import events
from trefoilpin.services import Queues
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

RETRY_SECONDS = 0.25
RETRY_AFTER_SECONDS = 1.0
OPEN_LANE = ""


def refusal(detail):
    """Return the failure of a request that got no turn."""
    reason = Reason.OVERLOADED
    return Failure(Refusal(reason, Verdict.NOT_RUN, detail, RETRY_AFTER_SECONDS))


TIMED_OUT = refusal("no upstream came free before the deadline")
SHED = refusal("the pool is overloaded and the account is over its share")


class Waiter:
    """A request that waits for its turn."""

    __slots__ = ("event", "has_turn", "is_shed")

    def __init__(self, event):
        self.event = event
        self.has_turn = False
        self.is_shed = False


class Lane:
    """Requests of one account that wait for one pool.

    Attributes
    ----------
    account : str
    weight, deficit : float
    topped_up : bool
        True once this visit of the round added to the deficit.
    waiters : deque of Waiter
    """

    __slots__ = ("account", "weight", "deficit", "topped_up", "waiters")

    def __init__(self, account, weight):
        self.account = account
        self.weight = weight
        self.deficit = 0.0
        self.topped_up = False
        self.waiters: deque[Waiter] = deque()


class PoolQueue:
    """Lanes that are not empty, in the order of the round."""

    def __init__(self):
        self.lanes: deque[Lane] = deque()
        self.lane_by_account: dict[str, Lane] = {}
        self.waiting = 0
        self.turns = 0


def join(queue, account, waiter):
    """Put a request at the end of its account's lane."""
    name = account.id if account is not None else OPEN_LANE
    lane = queue.lane_by_account.get(name)
    if lane is None:
        weight = account.weight if account is not None else 1.0
        lane = queue.lane_by_account[name] = Lane(name, weight)
        queue.lanes.append(lane)
    lane.waiters.append(waiter)
    queue.waiting += 1
    return lane


def leave(queue, lane, waiter):
    """Take a request out of its lane; an empty lane leaves the round."""
    lane.waiters.remove(waiter)
    queue.waiting -= 1
    if not lane.waiters:
        queue.lanes.remove(lane)
        del queue.lane_by_account[lane.account]


def next_lane(queue):
    """Return the lane whose turn it is, and charge it for one request."""
    least = min(lane.weight for lane in queue.lanes)
    while True:
        lane = queue.lanes[0]
        if lane.deficit >= 1:
            lane.deficit -= 1
            return lane
        if lane.topped_up:
            lane.topped_up = False
            queue.lanes.rotate(-1)
            continue
        lane.topped_up = True
        lane.deficit += lane.weight / least


def find_furthest(queue):
    """Return the lane furthest over its share."""
    return max(queue.lanes, key=lambda lane: len(lane.waiters) / lane.weight)


def is_overloaded(outcome):
    """Tell whether a choice failed because every upstream is at its cap."""
    if not isinstance(outcome, Failure):
        return False
    return outcome.failure().reason is Reason.OVERLOADED


def create(kernel, create_event, max_waiting):
    """Create the service ``queues``.

    Parameters
    ----------
    kernel : Kernel
    create_event : callable
        Makes an event with ``wait(timeout)`` and ``send()``.
    max_waiting : int
        Requests that may wait for one pool.

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
        if not queue.waiting and not queue.turns:
            outcome = choose()
            if not is_overloaded(outcome):
                return outcome
        waiter = Waiter(create_event())
        lane = join(queue, account, waiter)
        emit_line(events.REQUEST_QUEUED, pool, lane, queue)
        if queue.waiting + queue.turns > max_waiting:
            shed(pool, queue)
        if not queue.turns:
            give_turn(queue)
        return wait(queue, lane, waiter, deadline, choose)

    def emit_line(event, pool, lane, queue):
        account = lane.account or None
        emit(event, pool=pool.id, account=account, waiting=queue.waiting)

    def shed(pool, queue):
        """Refuse the newest request of the account furthest over its share."""
        lane = find_furthest(queue)
        waiter = lane.waiters[-1]
        emit_line(events.REQUEST_SHED, pool, lane, queue)
        leave(queue, lane, waiter)
        waiter.is_shed = True
        waiter.event.send()

    def give_turn(queue):
        """Wake the request whose turn it is; it is out of its lane then."""
        if not queue.waiting:
            return
        lane = next_lane(queue)
        waiter = lane.waiters[0]
        leave(queue, lane, waiter)
        queue.turns += 1
        waiter.has_turn = True
        waiter.event.send()

    def wait(queue, lane, waiter, deadline, choose):
        chosen = False
        try:
            while True:
                if waiter.is_shed:
                    return SHED
                if waiter.has_turn and now() < deadline:
                    outcome = choose()
                    if not is_overloaded(outcome):
                        chosen = True
                        return outcome
                    lane = rejoin(queue, lane, waiter)
                seconds = deadline - now()
                if seconds <= 0:
                    return TIMED_OUT
                waiter.event.wait(min(seconds, RETRY_SECONDS))
                if not queue.turns:
                    give_turn(queue)
        finally:
            if waiter.has_turn:
                queue.turns -= 1
                if not chosen:
                    give_turn(queue)
            elif not waiter.is_shed:
                leave(queue, lane, waiter)

    def rejoin(queue, lane, waiter):
        """Put a request whose turn brought no slot back at the head of its lane."""
        queue.turns -= 1
        waiter.has_turn = False
        waiter.event = create_event()
        current = queue.lane_by_account.get(lane.account)
        if current is None:
            queue.lane_by_account[lane.account] = current = lane
            queue.lanes.appendleft(lane)
        current.deficit += 1
        current.waiters.appendleft(waiter)
        queue.waiting += 1
        return current

    def notify_release(pool):
        queue = queue_by_pool.get(pool)
        if queue is not None:
            give_turn(queue)

    service = Queues(enter, notify_release)
    kernel.register("queues", service)
    return service

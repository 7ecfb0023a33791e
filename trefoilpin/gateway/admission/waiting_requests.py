"""Requests of one host that wait for a pool, grouped by priority and account."""

import heapq
import math

from trefoilpin.gateway.admission import fair_shares

__all__ = [
    "PoolQueue",
    "Waiter",
    "count_ahead",
    "count_ahead_of",
    "create_item",
    "decay",
    "displace",
    "is_late",
    "join",
    "leave",
    "lowest_levels",
    "record_grant",
    "reset",
    "select",
]

# Assumed service rate of a pool at this host, in requests a second, until requests end.
INITIAL_RATE = 20.0
# Entries of requests that left are removed once a heap has this many more than twice
# its waiting requests.
MIN_COMPACTED_ENTRIES = 16
# Forfeited service below this many slots times seconds is dropped.
MIN_FORFEITED = 0.01


class Waiter:
    """A waiting request.

    Attributes
    ----------
    number : int
        Arrival number at its pool.
    joined_at : float
        Clock time in seconds.
    expected_turn : int
        Value of the queue's ``served_count`` at which this request should be served.
    estimated_at : float
        Clock time in seconds at which that was estimated.
    was_estimated_late : bool
        True when the request was late then.
    is_late : bool
        True when its target time can no longer be met.
    is_displaced : bool
        True when it gave up its place in a full queue.
    """

    def __init__(self, event, request, number, now):
        self.event = event
        self.request = request
        self.number = number
        self.joined_at = now
        self.expected_turn = 0
        self.estimated_at = now
        self.was_estimated_late = False
        self.is_waiting = True
        self.is_late = False
        self.is_displaced = False


class AccountQueue:
    """Waiting requests of one account and priority.

    Attributes
    ----------
    heap : list of ((bool, int), Waiter)
        Ordered by lateness and arrival.
    item : fair_shares.Waiting
    """

    def __init__(self, item):
        self.heap: list = []
        self.item = item


class PoolQueue:
    """Requests that wait for one pool, and its service rate at this host.

    Attributes
    ----------
    account_queue_by_key : dict
        By priority and account; only those with waiting requests.
    forfeited_by_key : dict
        Decayed slots times seconds of accounts that began to wait.
    start_by_priority : dict
        Decayed level of the account that was served last.
    credit_by_priority : dict
        Guaranteed service that is due to lower priorities that wait.
    count_by_priority : dict
        Waiting requests.
    served_count : int
        Requests that left the queue with an upstream.
    in_flight : int
        Requests of this host at the pool's upstreams.
    limit : float or None
        Limit on ``in_flight`` while other hosts should be served first.
    release_interval : float
        Moving average of the seconds between two ended requests.
    selected : Waiter or None
        The request to be served next, unless ``is_changed``.
    """

    def __init__(self, pool, now):
        self.pool = pool
        self.account_queue_by_key: dict[tuple[int, str], AccountQueue] = {}
        self.forfeited_by_key: dict[tuple[int, str], float] = {}
        self.start_by_priority: dict[int, float] = {}
        self.credit_by_priority: dict[int, float] = {}
        self.count_by_priority: dict[int, int] = {}
        self.waiting = 0
        self.arrivals = 0
        self.served_count = 0
        self.in_flight = 0
        self.limit: float | None = None
        self.limit_floor = 0.0
        self.limited_at = now
        self.has_yielded = False
        self.release_interval = 1 / INITIAL_RATE
        self.released_at = now
        self.waiting_since = now
        self.selected: Waiter | None = None
        self.is_changed = False
        self.decayed_at = now


def reset(queue):
    """Forget the levels of accounts, when the pool was not under pressure."""
    queue.forfeited_by_key.clear()
    queue.start_by_priority.clear()
    queue.credit_by_priority.clear()


def items(queue):
    """Return the ``Waiting`` of each account and priority."""
    return [found.item for found in queue.account_queue_by_key.values()]


def create_item(queue, request, service_by_account):
    """Return the ``Waiting`` of a request's account, including what it forfeits.

    An account without waiting requests begins at the level at which the pool serves.
    """
    key = (request.priority, request.account)
    account_queue = queue.account_queue_by_key.get(key)
    if account_queue is not None:
        return account_queue.item
    start = queue.start_by_priority.get(request.priority, 0.0)
    forfeited = max(
        queue.forfeited_by_key.get(key, 0.0),
        start - service_by_account.get(request.account, 0.0),
    )
    return fair_shares.Waiting(
        request.priority,
        request.account,
        queue.arrivals,
        0,
        request.typical_seconds,
        forfeited,
    )


def count_ahead(queue, request, service_by_account):
    """Return how many waiting requests would be served before a new one."""
    item = create_item(queue, request, service_by_account)
    return fair_shares.count_ahead(item, items(queue), service_by_account)


def is_late(waiter, now):
    """Tell whether a request can no longer meet its target time."""
    end = now + waiter.request.typical_seconds
    return waiter.is_late or end > waiter.request.target


def count_ahead_of(queue, waiter, service_by_account, now):
    """Return how many waiting requests would be served before a waiting one."""
    key = (waiter.request.priority, waiter.request.account)
    account_queue = queue.account_queue_by_key[key]
    position = 0
    own_key = (is_late(waiter, now), waiter.number)
    for _, other in account_queue.heap:
        is_earlier = (is_late(other, now), other.number) < own_key
        position += other.is_waiting and is_earlier
    item = account_queue.item._replace(count=position)
    return fair_shares.count_ahead(item, items(queue), service_by_account)


def join(queue, waiter, service_by_account, initial_credit):
    """Add a request.

    Parameters
    ----------
    queue : PoolQueue
    waiter : Waiter
    service_by_account : dict
    initial_credit : float
        Credit of a priority that waits for the first time under this pressure. It is
        kept while none of its requests wait, so that none is gained by leaving.
    """
    request = waiter.request
    key = (request.priority, request.account)
    queue.credit_by_priority.setdefault(request.priority, initial_credit)
    account_queue = queue.account_queue_by_key.get(key)
    if account_queue is None:
        item = create_item(queue, request, service_by_account)
        account_queue = queue.account_queue_by_key[key] = AccountQueue(item)
        queue.forfeited_by_key[key] = item.forfeited
    count = account_queue.item.count + 1
    account_queue.item = account_queue.item._replace(count=count)
    waiting = queue.count_by_priority.get(request.priority, 0)
    queue.count_by_priority[request.priority] = waiting + 1
    queue.waiting += 1
    queue.arrivals += 1
    queue.is_changed = True
    push(account_queue, waiter)


def leave(queue, waiter):
    """Remove a request."""
    if not waiter.is_waiting:
        return
    waiter.is_waiting = False
    queue.waiting -= 1
    queue.is_changed = True
    priority = waiter.request.priority
    queue.count_by_priority[priority] -= 1
    if not queue.count_by_priority[priority]:
        del queue.count_by_priority[priority]
    key = (priority, waiter.request.account)
    account_queue = queue.account_queue_by_key[key]
    count = account_queue.item.count - 1
    if count == 0:
        del queue.account_queue_by_key[key]
        return
    account_queue.item = account_queue.item._replace(count=count)
    if len(account_queue.heap) > 2 * count + MIN_COMPACTED_ENTRIES:
        entries = [entry for entry in account_queue.heap if entry[1].is_waiting]
        heapq.heapify(entries)
        account_queue.heap = entries
    discard_left(account_queue)


def push(account_queue, waiter):
    entry = ((waiter.is_late, waiter.number), waiter)
    heapq.heappush(account_queue.heap, entry)


def discard_left(account_queue):
    """Remove requests that left from the front, and describe the new first one."""
    heap = account_queue.heap
    while heap and not heap[0][1].is_waiting:
        heapq.heappop(heap)
    if heap:
        first = heap[0][1]
        account_queue.item = account_queue.item._replace(
            number=first.number, cost=first.request.typical_seconds
        )


def first_waiter(account_queue, now):
    """Return the request of an account to be served first.

    A request that has become late is moved behind those that are not late.
    """
    heap = account_queue.heap
    discard_left(account_queue)
    while True:
        waiter = heap[0][1]
        if waiter.is_late or not is_late(waiter, now):
            return waiter
        heapq.heappop(heap)
        waiter.is_late = True
        push(account_queue, waiter)
        discard_left(account_queue)


def select(queue, service_by_account, now):
    """Return the request to be served next, or None."""
    if not queue.is_changed:
        return queue.selected
    queue.is_changed = False
    item = fair_shares.choose_next(
        items(queue), service_by_account, queue.credit_by_priority
    )
    queue.selected = None
    if item is not None:
        key = (item.priority, item.account)
        queue.selected = first_waiter(queue.account_queue_by_key[key], now)
    return queue.selected


def record_grant(queue, waiter, service_by_account):
    """Update levels and credits when a waiting request got an upstream.

    Returns
    -------
    bool
        True when a more urgent priority waits.
    """
    request = waiter.request
    key = (request.priority, request.account)
    item = queue.account_queue_by_key[key].item
    level = fair_shares.find_level(item, service_by_account)
    start = queue.start_by_priority.get(request.priority, 0.0)
    queue.start_by_priority[request.priority] = max(start, level)
    queue.credit_by_priority.update(
        fair_shares.update_credits(
            queue.credit_by_priority,
            queue.count_by_priority,
            request.priority,
            request.typical_seconds,
        )
    )
    queue.served_count += 1
    queue.is_changed = True
    return request.priority != min(queue.count_by_priority)


def displace(queue, request, service_by_account):
    """Remove and return the newest request of the account furthest over its share.

    Returns
    -------
    Waiter or None
        None when that is the new ``request``.
    """
    new = create_item(queue, request, service_by_account)
    item = fair_shares.choose_displaced((*items(queue), new), service_by_account)
    if (item.priority, item.account) == (request.priority, request.account):
        return None
    account_queue = queue.account_queue_by_key[item.priority, item.account]
    waiters = [waiter for _, waiter in account_queue.heap if waiter.is_waiting]
    newest = max(waiters, key=lambda waiter: waiter.number)
    newest.is_displaced = True
    leave(queue, newest)
    return newest


def lowest_levels(queue, service_by_account, before):
    """Return the lowest level by priority of accounts that have waited for long.

    Parameters
    ----------
    queue : PoolQueue
    service_by_account : dict
    before : float
        Clock time in seconds before which their first request arrived.
    """
    lowest: dict[int, float] = {}
    for account_queue in queue.account_queue_by_key.values():
        if account_queue.heap[0][1].joined_at > before:
            continue
        item = account_queue.item
        value = service_by_account.get(item.account, 0.0)
        lowest[item.priority] = min(value, lowest.get(item.priority, math.inf))
    return lowest


def decay(queue, now):
    """Decay the levels like the service of the accounts."""
    factor = math.exp(-(now - queue.decayed_at) / fair_shares.DECAY_SECONDS)
    queue.decayed_at = now
    queue.is_changed = True
    for priority in queue.start_by_priority:
        queue.start_by_priority[priority] *= factor
    for key, forfeited in list(queue.forfeited_by_key.items()):
        forfeited *= factor
        if forfeited < MIN_FORFEITED:
            del queue.forfeited_by_key[key]
            forfeited = 0.0
        else:
            queue.forfeited_by_key[key] = forfeited
        account_queue = queue.account_queue_by_key.get(key)
        if account_queue is not None:
            account_queue.item = account_queue.item._replace(forfeited=forfeited)

"""Decisions on the order in which a saturated pool serves waiting requests.

Start-time fair queueing (Goyal, Vin and Cheng, IEEE/ACM Transactions on Networking
5(5), 1997) over client accounts within a priority: the account with the lowest level
is served next. Its level is the service that it received from the pool, on all hosts,
in slots times seconds; an account that starts to wait begins at the level at which the
pool serves, so that idle time earns no credit. Priorities are strict except for a
guaranteed share of the freed capacity for each lower one that waits.
"""

from typing import Mapping, NamedTuple

__all__ = [
    "DECAY_SECONDS",
    "GUARANTEED_SHARE",
    "LIMIT_FLOOR_SHARE",
    "Waiting",
    "adjust_limit",
    "choose_next",
    "choose_displaced",
    "count_ahead",
    "find_level",
    "must_yield",
    "update_credits",
]

# Time constant of the decay of received service. Several times the age of reports from
# other zones (0.4 s), and of the order of the time for which callers wait.
DECAY_SECONDS = 2.0
# Share of the freed capacity that each lower priority gets while it waits. More would
# cost urgent requests; with less, a request of 2 s would wait longer than callers do.
GUARANTEED_SHARE = 0.1
# A host leaves capacity to others only for accounts whose level is lower than its own
# by more than these, as levels are some tenths of a second old.
LEVEL_MARGIN_SHARE = 0.25
LEVEL_MARGIN_SLOT_SECONDS = 0.5
# Change of the limit on a host's requests in flight with each adjustment. The freed
# slots are idle until other hosts hear of them, so a step is small.
LIMIT_STEP_SHARE = 0.1
MIN_LIMIT = 1.0
# The limit does not shrink below this share of the requests in flight when it began.
# Another host may wait for a reason for which it can't use the slots that are freed.
LIMIT_FLOOR_SHARE = 0.5
# Duration assumed of requests without a typical one.
MIN_COST_SECONDS = 0.001


class Waiting(NamedTuple):
    """Waiting requests of one account and priority.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    account : str
        Empty for open routes.
    number : int
        Arrival number of the oldest of these requests.
    count : int
    cost : float
        Typical seconds for which a request of these holds a slot.
    forfeited : float
        Slots times seconds added to the account's service, as it did not wait before.
    """

    priority: int
    account: str
    number: int
    count: int
    cost: float
    forfeited: float


def find_level(waiting, service_by_account):
    """Return the level of an account in slots times seconds."""
    return service_by_account.get(waiting.account, 0.0) + waiting.forfeited


def choose_next(waiting, service_by_account, credit_by_priority):
    """Return the ``Waiting`` whose first request is served next, or None.

    Parameters
    ----------
    waiting : iterable of Waiting
        One for each account and priority with waiting requests.
    service_by_account : dict
        Decayed service of each account in slots times seconds.
    credit_by_priority : dict
        As returned by ``update_credits``.
    """
    best_by_priority: dict[int, tuple] = {}
    for item in waiting:
        priority, account, number, _, _, forfeited = item
        level = service_by_account.get(account, 0.0) + forfeited
        best = best_by_priority.get(priority)
        if best is None or level < best[0] or (level == best[0] and number < best[1]):
            best_by_priority[priority] = (level, number, item)
    if not best_by_priority:
        return None
    return best_by_priority[choose_priority(best_by_priority, credit_by_priority)][2]


def choose_priority(priorities, credit_by_priority):
    """Return the most urgent priority, or a lower one to which its share is due."""
    chosen = min(priorities)
    credit = 0.0
    for priority in sorted(priorities):
        if credit_by_priority.get(priority, -1.0) > credit:
            chosen, credit = priority, credit_by_priority[priority]
    return chosen


def update_credits(credit_by_priority, waiting_priorities, granted, cost):
    """Return the credits of the waiting priorities after a request was served.

    A credit is what a priority still gets of its guaranteed share, in slots times
    seconds. Only service while a more urgent priority waits is counted.

    Parameters
    ----------
    credit_by_priority : dict
    waiting_priorities : collection of int
        Priorities that waited when the request was chosen.
    granted : int
        Priority of the request.
    cost : float
        Slots times seconds that it takes.
    """
    updated = {}
    most_urgent = min(waiting_priorities)
    for priority in waiting_priorities:
        if priority == most_urgent:
            continue
        credit = credit_by_priority.get(priority, 0.0) + cost * GUARANTEED_SHARE
        updated[priority] = credit - cost if priority == granted else credit
    return updated


def count_ahead(item, waiting, service_by_account):
    """Return how many waiting requests are served before a new one.

    Parameters
    ----------
    item : Waiting
        The account and priority of the new request; its count is that of the account's
        requests that wait already.
    waiting : iterable of Waiting
        Of all accounts and priorities, with or without ``item``.
    service_by_account : dict
    """
    start = find_level(item, service_by_account) + item.count * item.cost
    urgent, same, lower, urgent_cost = 0, item.count, 0, 0.0
    for other in waiting:
        if other.priority < item.priority:
            urgent += other.count
            urgent_cost += other.count * other.cost
        elif other.priority > item.priority:
            lower += other.count
        elif other.account != item.account:
            difference = start - find_level(other, service_by_account)
            earlier = difference / max(other.cost, MIN_COST_SECONDS)
            # A tie goes to the request that arrived first.
            same += min(max(int(earlier) + 1, 0), other.count) if earlier >= 0 else 0
    ahead = urgent + same
    # Lower priorities get their share of the slots freed meanwhile.
    ahead += min(lower, int(ahead * GUARANTEED_SHARE))
    if not urgent:
        return ahead
    # Its own share serves the request even if more urgent ones go on arriving.
    mean_cost = max(urgent_cost / urgent, MIN_COST_SECONDS)
    guaranteed = (same + 1) * item.cost / GUARANTEED_SHARE / mean_cost
    return min(ahead, int(guaranteed))


def choose_displaced(waiting, service_by_account):
    """Return the ``Waiting`` that gives up its newest request when the queue is full.

    It is the account that would be furthest over its share if all were served, among
    those of the least urgent priority.
    """
    displaced, highest = None, None
    for item in waiting:
        end = find_level(item, service_by_account) + item.count * item.cost
        key = (item.priority, end, item.number)
        if highest is None or key > highest:
            displaced, highest = item, key
    return displaced


def must_yield(priority, own_level, lowest_by_priority: Mapping[int, float]):
    """Tell whether other hosts have waiting requests that should be served first.

    Parameters
    ----------
    priority : int
        Of the request that this host would serve next.
    own_level : float
        Level of its account in slots times seconds.
    lowest_by_priority : dict
        Lowest level of an account that waits at another host.
    """
    for other_priority, other_level in lowest_by_priority.items():
        if other_priority < priority:
            return True
        if other_priority > priority:
            continue
        margin = LEVEL_MARGIN_SLOT_SECONDS + LEVEL_MARGIN_SHARE * other_level
        if own_level > other_level + margin:
            return True
    return False


def adjust_limit(limit, in_flight, is_yielding, floor=MIN_LIMIT):
    """Return the new limit on this host's requests in flight, or None for no limit.

    While this host yields, the limit shrinks by a tenth each time, down to ``floor``;
    afterwards it grows as slowly until it no longer limits.
    """
    if is_yielding:
        current = in_flight if limit is None else min(limit, in_flight)
        return max(current * (1.0 - LIMIT_STEP_SHARE), floor, MIN_LIMIT)
    if limit is None:
        return None
    limit = max(limit * (1.0 + LIMIT_STEP_SHARE), limit + 1.0)
    return limit if limit <= in_flight + 2.0 else None

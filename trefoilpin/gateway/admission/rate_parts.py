"""This host's parts of the rates of accounts, as dealt out by the holder of the lease.

Counts that hosts exchange tell each what the others admitted, so that all use the whole
rate together. They come late, or not at all beyond a cut. So each host keeps to its
part besides, which bounds what all admit, whatever they know of each other.

A part is a share of what the account may have in a window and of half the tolerance;
the other half is for hosts without a part, which may have started beyond a cut.
"""

import math
from collections import deque
from typing import Callable, NamedTuple

from trefoilpin.gateway.admission import rate_pools
from trefoilpin.gateway.admission.rate_pools import (
    MAX_AMOUNT,
    MAX_WANTS,
    PART_SECONDS,
    WHOLE,
    RateAsk,
    RateWant,
)
from trefoilpin.gateway.store import lease_asks

__all__ = ["RateBounds", "RateParts", "create"]

# Share of the tolerance that parts include.
PARTS_TOLERANCE_SHARE = 0.5
# Requests are counted in parts of a second.
SLOT_SECONDS = 0.1
ASK_PERIOD_SECONDS = 0.1
# Hosts that use an account ask so often while others lack some of it, and otherwise.
SCARCE_PERIOD_SECONDS, PERIOD_SECONDS = 0.3, 2.0
STEP_SECONDS = 0.3
# While no host reaches the store nobody deals out parts, and all keep theirs: each so
# long at a time.
AWAY_SECONDS = 1.0
# Above this share of its part, a host asks for more.
LOW_SHARE = 0.7
# A part that wasn't used for this time is given back.
IDLE_SECONDS = 10.0
# Time in which refused requests count as wanted.
REFUSED_SECONDS = 1.0
# A request waits this long for a part at most; asks take milliseconds.
MAX_WAIT_SECONDS = 0.25


class RateBounds(NamedTuple):
    """Bound on the requests of an account in any window, over all hosts.

    It is ``limit * (1 + overshoot) + slack`` for a limit of ``rate * window + burst``.

    Attributes
    ----------
    overshoot, slack : float
    window : float
        Seconds.
    planned_hosts : int
        Hosts among which the tolerance for hosts without a part is divided at least.
    """

    overshoot: float
    slack: float
    window: float
    planned_hosts: int


class RateParts(NamedTuple):
    """``rate_parts``: what this host may admit of each account.

    ``has_room(account, limit)`` tells whether one more request fits into the part of
    this host. ``take(account, limit)`` counts a request, ``give_back(account)`` takes
    one back, and ``refuse(account)`` counts one that was refused. ``await_part(account,
    limit, seconds)`` waits for a part with room and returns ``has_room``, and
    ``seconds_until_room(account)`` is about when there is some. ``on_ask``, ``receive``
    and ``answer`` are as in ``RetryBudgets``.
    """

    has_room: Callable[[str, float], bool]
    take: Callable[[str, float], None]
    give_back: Callable[[str], None]
    refuse: Callable[[str], None]
    await_part: Callable[[str, float, float], bool]
    seconds_until_room: Callable[[str], float]
    on_ask: Callable
    receive: Callable
    answer: Callable


class AccountPart:
    """This host's part of an account's rate.

    Attributes
    ----------
    part : int
        Of ``WHOLE``, up to ``until``.
    told : int
        The part of which the last ask told the holder.
    slots : deque of [float, int]
        Start of a part of a second, and the requests admitted in it.
    own : int
        Requests in all slots.
    refusals : deque of float
        Times of refused requests.
    """

    def __init__(self):
        self.part = 0
        self.told = 0
        self.until = float("-inf")
        self.is_scarce = False
        self.asked_at = float("-inf")
        self.answered_at = float("-inf")
        self.used_at = float("-inf")
        self.limit = 0.0
        self.slots: deque[list] = deque()
        self.own = 0
        self.refusals: deque[float] = deque()


class PartState:
    """Parts by account, and the accounts for which an ask is due, in order.

    Attributes
    ----------
    hosts : int
        Most hosts that were known at once.
    """

    def __init__(self, news, hosts):
        self.hosts = hosts
        self.part_by_account: dict[str, AccountPart] = {}
        self.due: dict[str, None] = {}
        self.is_stepping = False
        self.news = news


def create(
    kernel,
    bounds,
    incarnation,
    create_event,
    count_hosts,
    is_store_away=lambda: False,
):
    """Create the service ``rate_parts``.

    Parameters
    ----------
    kernel : Kernel
    bounds : RateBounds
    incarnation : int
        Start of this daemon, Unix milliseconds.
    create_event : callable
        Creates an event with ``wait(seconds)``, ``send()`` and ``ready()``.
    count_hosts : callable
        Returns the number of live hosts, this one included.
    is_store_away : callable, optional
        Tells whether no host reaches the store.

    Returns
    -------
    RateParts
    """
    state = PartState(create_event(), bounds.planned_hosts)
    now = kernel.clock.now
    metrics = kernel.find("metrics")
    pools = rate_pools.create(kernel, bounds.window)

    def find(account):
        return state.part_by_account.setdefault(account, AccountPart())

    def tolerance(limit):
        return limit * bounds.overshoot + bounds.slack

    def whole(limit):
        """Return the requests that all parts together stand for."""
        return limit + tolerance(limit) * PARTS_TOLERANCE_SHARE

    def allowed(item):
        """Return the requests that this host may admit in a window."""
        part = item.part if now() < item.until else 0
        if part:
            return part / WHOLE * whole(item.limit)
        # Beyond a cut, hosts are forgotten that go on.
        state.hosts = max(state.hosts, count_hosts())
        rest = tolerance(item.limit) * (1.0 - PARTS_TOLERANCE_SHARE)
        return rest / state.hosts

    def expire(item):
        # A slot's last request may be as late as its end.
        before = now() - bounds.window - SLOT_SECONDS
        while item.slots and item.slots[0][0] < before:
            item.own -= item.slots.popleft()[1]
        while item.refusals and now() - item.refusals[0] > REFUSED_SECONDS:
            item.refusals.popleft()

    def has_room(account, limit):
        item = find(account)
        item.limit = limit
        expire(item)
        return item.own + 1 <= allowed(item)

    def take(account, limit):
        item = find(account)
        item.limit, item.used_at = limit, now()
        if not item.slots or now() - item.slots[-1][0] >= SLOT_SECONDS:
            item.slots.append([now(), 0])
        item.slots[-1][1] += 1
        item.own += 1
        ask_if_due(account, item)

    def give_back(account):
        item = find(account)
        for slot in item.slots:
            # Any later slot may be that of the request; none is emptied too late so.
            if slot[1] > 0:
                slot[1] -= 1
                item.own -= 1
                return

    def refuse(account):
        item = find(account)
        item.used_at = now()
        # Beyond this many refusals a host wants no more of the part.
        if len(item.refusals) <= item.own + 10:
            item.refusals.append(now())
        ask_if_due(account, item)

    def is_due(item):
        elapsed = now() - item.asked_at
        if item.part < item.told:
            # Others may have the rest once the holder knows that this host has less.
            return True
        if item.is_scarce and now() - item.answered_at < PERIOD_SECONDS:
            return elapsed >= SCARCE_PERIOD_SECONDS
        return item.own >= LOW_SHARE * allowed(item) or elapsed >= PERIOD_SECONDS

    def ask_if_due(account, item):
        if is_due(item):
            state.due[account] = None
            asks.schedule()
        if not state.is_stepping:
            state.is_stepping = True
            kernel.spawn(step_while_used)

    def step_while_used():
        """Ask for what is due until this host has no part any more."""
        try:
            while state.part_by_account:
                kernel.clock.sleep(STEP_SECONDS)
                step()
        finally:
            state.is_stepping = False

    def step():
        is_away = is_store_away()
        for account, item in list(state.part_by_account.items()):
            expire(item)
            if is_away and now() < item.until:
                item.until = max(item.until, now() + AWAY_SECONDS)
            if not (item.part or item.told or item.own):
                if now() - item.used_at > IDLE_SECONDS:
                    del state.part_by_account[account]
                continue
            ask_if_due(account, item)

    def take_wants():
        wants = []
        for account in list(state.due):
            if len(wants) == MAX_WANTS:
                asks.schedule()
                break
            del state.due[account]
            item = find(account)
            expire(item)
            item.asked_at = now()
            wants.append(create_want(account, item))
        return tuple(wants)

    def create_want(account, item):
        if now() >= item.until:
            item.part = 0
        scale = WHOLE / max(whole(item.limit), 1.0)
        used = min(math.ceil(item.own * scale), MAX_AMOUNT)
        is_idle = now() - item.used_at > IDLE_SECONDS
        # One request more than now is wanted by a host that has the account at all.
        wanted = (item.own + len(item.refusals) + 1) * scale
        wanted = 0 if is_idle else min(math.ceil(wanted), MAX_AMOUNT)
        item.told = item.part
        return RateWant(account, item.part, used, wanted)

    def on_ask(function):
        asks.on_ask(lambda number, wants: function(RateAsk(number, incarnation, wants)))

    def receive(grant):
        sent = asks.receive(grant.number, grant.is_holder)
        if sent is None:
            return
        asked = {want.account for want in sent.wants}
        for granted in grant.granted:
            item = state.part_by_account.get(granted.account)
            is_asked = granted.account in asked and item is not None
            # A later ask told the holder that this host has another part.
            if is_asked and item.asked_at <= sent.sent_at:
                item.part, item.until = granted.part, sent.sent_at + PART_SECONDS
                item.is_scarce, item.answered_at = granted.is_scarce, now()
        news, state.news = state.news, create_event()
        news.send()

    def await_part(account, limit, seconds):
        item = find(account)
        until = now() + min(seconds, MAX_WAIT_SECONDS)
        while not has_room(account, limit):
            is_told = item.is_scarce and now() - item.answered_at < PERIOD_SECONDS
            if is_told or asks.is_holder_away() or now() >= until:
                return False
            state.due[account] = None
            asks.schedule()
            state.news.wait(until - now())
        return True

    def seconds_until_room(account):
        item = find(account)
        if has_room(account, item.limit):
            return 0.0
        if not item.slots:
            return SCARCE_PERIOD_SECONDS
        oldest = item.slots[0][0] + SLOT_SECONDS + bounds.window - now()
        # Others may leave some of their parts by then.
        return min(max(oldest, ASK_PERIOD_SECONDS), PERIOD_SECONDS)

    def answer(address, ask, time, held_since):
        """Deal out parts; hosts kept theirs while the store was away."""
        resumed_at = kernel.find("leases").resumed_at()
        return pools.answer(address, ask, time, max(held_since, resumed_at))

    # Later starts have larger numbers: a host asks less than once a millisecond.
    asks = lease_asks.create(
        kernel, "rate", ASK_PERIOD_SECONDS, PART_SECONDS, take_wants, incarnation << 10
    )
    metrics.gauge("rate_parts", lambda: len(state.part_by_account))
    service = RateParts(
        has_room,
        take,
        give_back,
        refuse,
        await_part,
        seconds_until_room,
        on_ask,
        receive,
        answer,
    )
    kernel.register("rate_parts", service)
    return service

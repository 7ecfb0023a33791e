"""Pacing of sends to a pool that sheds as a whole, and the order of its retries.

While most upstreams of a pool shed, the host sends no more than the pool accepts: the
rate is lowered by a factor while too many sends are shed, and raised in steps
otherwise. A pool that sheds the same share at a lower rate does not shed because of
its load; pacing then ends, as it would only delay requests.
"""

from typing import Callable, NamedTuple

from trefoilpin import events

__all__ = [
    "RESERVED_RETRIES_BY_PRIORITY",
    "Pace",
    "SendPacing",
    "create",
    "is_pool_shedding",
    "next_pace",
    "reserved_retries",
]

# A pool sheds as a whole when this share of at least so many sends in a second was
# shed, by at least so many upstreams and half of those that were sent to. The sends
# must have taken some time, as the rate would be unknown otherwise.
MIN_EVIDENCE_SECONDS = 0.4
MIN_SHED_SHARE = 0.25
MIN_SENDS = 12
MIN_SHEDDING_UPSTREAMS = 3
# Share of sheds that is kept: some show that the pool accepts no more.
TARGET_SHARE = 0.25
# Bounds of the factor by which a rate is lowered, which otherwise is what the pool
# accepted and some more. A smaller factor delays requests that the pool would accept if
# it does not shed because of its load.
MIN_DECREASE_FACTOR = 0.65
MAX_DECREASE_FACTOR = 0.9
ACCEPTED_FACTOR = 1.25
# Step in requests a second by which a rate is raised.
INCREASE_STEP = 3.0
# A rate is kept for so many sends, or for this time with fewer.
DECISION_SENDS = 40
MAX_DECISION_SECONDS = 1.0
# Whether a lower rate makes a difference is judged when it should lower the share of
# sheds by this much, which 40 sends show more often than chance. It made none when more
# than the other share of that is missing: holding back sends to a pool that sheds by
# chance loses requests, and ending early only costs sheds.
MIN_SHARE_DIFFERENCE = 0.2
MAX_MISSED_SHARE = 0.33
# After pacing that made no difference, the pool is not paced for this time.
HOLD_OFF_SECONDS = 10.0
# Decisions without a shed after which pacing ends.
QUIET_DECISIONS = 3
# Sends that may follow at once after a pause: those of the interval at which waiting
# requests try again, and a little.
BURST_SECONDS = 0.15
# A request with less time than this multiple of its typical duration is not held back.
URGENT_FACTOR = 2.0
# Retries in the budget that requests of each priority leave for more urgent ones. While
# many upstreams shed, the budget allows one retry for every third failed attempt, so
# small reserves suffice. Lower priorities and hedges use the last entry.
RESERVED_RETRIES_BY_PRIORITY = (0.0, 2.0, 4.0)
# Requests with more time than this multiple of the typical duration leave another
# retry; with less than the lower one, a retry would hardly end in time.
AMPLE_FACTOR = 3.0
MIN_RETRY_FACTOR = 0.5
AMPLE_RESERVE = 1.0


class Pace(NamedTuple):
    """Rate at which a pool is sent to.

    Attributes
    ----------
    rate : float
        Requests a second.
    base_rate, base_share : float or None
        Rate and share of sheds before the rate was first lowered; None when it was
        raised since.
    quiet_decisions : int
        Consecutive decisions without a shed.
    """

    rate: float
    base_rate: float | None = None
    base_share: float = 0.0
    quiet_decisions: int = 0


class SendPacing(NamedTuple):
    """``send_pacing``: pacing of sends by pool.

    ``may_send(pool, seconds_left, typical_seconds)`` tells whether a request may be
    sent now, where it has ``seconds_left`` to be on time, or to be answered at all when
    it will be late. ``record_send(pool)`` and ``record_shed(pool, sent_at)`` are called
    for each one. ``is_paced(pool)`` tells whether the pool is paced.
    """

    may_send: Callable[[str, float, float], bool]
    record_send: Callable[[str], None]
    record_shed: Callable[[str, float], None]
    is_paced: Callable[[str], bool]


class PoolPace:
    """Pace of one pool, and the sends since it was decided."""

    def __init__(self, pace, now):
        self.pace = pace
        self.decided_at = now
        self.sends = 0
        self.sheds = 0
        self.tokens = 1.0
        self.filled_at = now


def is_pool_shedding(counts):
    """Tell whether a pool sheds as a whole, by ``SendCounts`` of the last second."""
    if counts.sends < MIN_SENDS or counts.seconds < MIN_EVIDENCE_SECONDS:
        return False
    if counts.shed_share < MIN_SHED_SHARE:
        return False
    least = max(MIN_SHEDDING_UPSTREAMS, counts.upstreams / 2)
    return counts.shedding_upstreams >= least


def lower(pace, share):
    """Return a pace that is lowered as this share of the sends was shed."""
    factor = max((1.0 - share) * ACCEPTED_FACTOR, MIN_DECREASE_FACTOR)
    rate = pace.rate * min(factor, MAX_DECREASE_FACTOR)
    if pace.base_rate is None:
        return Pace(rate, pace.rate, share)
    return Pace(rate, pace.base_rate, pace.base_share)


def made_no_difference(pace, share):
    """Tell whether a pool sheds as much as before the rate was lowered.

    A pool that accepts a constant rate would shed only what exceeds it.
    """
    if pace.base_rate is None:
        return False
    accepted_rate = pace.base_rate * (1.0 - pace.base_share)
    expected_share = max(1.0 - accepted_rate / pace.rate, 0.0)
    difference = pace.base_share - expected_share
    if difference < MIN_SHARE_DIFFERENCE:
        return False
    return share > expected_share + difference * MAX_MISSED_SHARE


def next_pace(pace, sends, sheds):
    """Return the pace that follows, or None when pacing should end.

    Parameters
    ----------
    pace : Pace
    sends, sheds : int
        Requests sent at this pace, and those of them that were shed.
    """
    share = sheds / sends if sends else 0.0
    if made_no_difference(pace, share):
        return None
    if share > TARGET_SHARE:
        return lower(pace, share)
    quiet_decisions = 0 if sheds else pace.quiet_decisions + 1
    if quiet_decisions >= QUIET_DECISIONS:
        return None
    return Pace(pace.rate + INCREASE_STEP, quiet_decisions=quiet_decisions)


def reserved_retries(priority, seconds_left, typical_seconds):
    """Return the retries in the budget that a request leaves for others.

    Parameters
    ----------
    priority : int
    seconds_left, typical_seconds : float
        Time until the request's deadline, and the typical duration of such requests.
    """
    if seconds_left < typical_seconds * MIN_RETRY_FACTOR:
        return float("inf")
    last = len(RESERVED_RETRIES_BY_PRIORITY) - 1
    reserved = RESERVED_RETRIES_BY_PRIORITY[min(priority, last)]
    if seconds_left > typical_seconds * AMPLE_FACTOR:
        reserved += AMPLE_RESERVE
    return reserved


def create(kernel, is_enabled):
    """Create the service ``send_pacing``.

    Parameters
    ----------
    kernel : Kernel
    is_enabled : bool
        False when sends are never held back.

    Returns
    -------
    SendPacing
    """
    pace_by_pool: dict[str, PoolPace] = {}
    held_off_until_by_pool: dict[str, float] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    pool_pressure = kernel.find("pool_pressure")

    def start(pool):
        """Start to pace a pool that sheds as a whole."""
        if not is_enabled or now() < held_off_until_by_pool.get(pool, float("-inf")):
            return
        counts = pool_pressure.send_counts(pool)
        if not is_pool_shedding(counts):
            return
        rate = counts.sends / counts.seconds
        # The last second may have begun before the pool shed, so the rate is kept until
        # the share of sheds is known.
        pace = Pace(rate)
        pace_by_pool[pool] = PoolPace(pace, now())
        pool_pressure.limit_rate(pool, pace.rate)
        emit(
            events.PACING_STARTED,
            pool=pool,
            rate=round(pace.rate, 1),
            shed_share=round(counts.shed_share, 2),
            upstreams=counts.shedding_upstreams,
        )

    def update(pool):
        """Decide on the pace when there is enough evidence."""
        paced = pace_by_pool[pool]
        elapsed = now() - paced.decided_at
        if paced.sends < DECISION_SENDS and elapsed < MAX_DECISION_SECONDS:
            return
        pace = next_pace(paced.pace, paced.sends, paced.sheds)
        if pace is not None:
            following = PoolPace(pace, now())
            following.tokens = min(paced.tokens, 1.0)
            pace_by_pool[pool] = following
            pool_pressure.limit_rate(pool, pace.rate)
            return
        del pace_by_pool[pool]
        pool_pressure.limit_rate(pool, None)
        was_useless = paced.sheds > 0
        if was_useless:
            held_off_until_by_pool[pool] = now() + HOLD_OFF_SECONDS
        emit(
            events.PACING_ENDED,
            pool=pool,
            rate=round(paced.pace.rate, 1),
            made_no_difference=was_useless,
        )

    def may_send(pool, seconds_left, typical_seconds):
        paced = pace_by_pool.get(pool)
        if paced is None:
            return True
        rate = paced.pace.rate
        filled = paced.tokens + (now() - paced.filled_at) * rate
        paced.tokens = min(filled, max(rate * BURST_SECONDS, 1.0))
        paced.filled_at = now()
        if paced.tokens >= 1.0 or seconds_left < typical_seconds * URGENT_FACTOR:
            return True
        metrics.count("sends_held_back")
        return False

    def record_send(pool):
        paced = pace_by_pool.get(pool)
        if paced is None:
            start(pool)
            return
        # Urgent requests leave no debt, which would hold back the others for longer.
        paced.tokens = max(paced.tokens - 1.0, 0.0)
        paced.sends += 1
        update(pool)

    def record_shed(pool, sent_at):
        paced = pace_by_pool.get(pool)
        if paced is not None and sent_at >= paced.decided_at:
            paced.sheds += 1

    metrics.gauge("paced_pools", lambda: len(pace_by_pool))
    service = SendPacing(
        may_send, record_send, record_shed, lambda pool: pool in pace_by_pool
    )
    kernel.register("send_pacing", service)
    return service

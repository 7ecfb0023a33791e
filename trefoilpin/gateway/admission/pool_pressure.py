"""Pressure on the pools of upstreams, as seen by this host and by the others.

A pool is under pressure at a host while requests wait for it there, and for a second
after one was rejected or shed. Hosts report only such pools to each other.
"""

from collections import deque
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.admission import pressure_estimates
from trefoilpin.gateway.admission.pressure_estimates import (
    PRIORITIES,
    REPORT_EXPIRY_SECONDS,
    LocalPressure,
    PressureReport,
)
from trefoilpin.gateway.admission.return_times import round_up, will_return

__all__ = ["MAX_REPORTED_POOLS", "PoolPressure", "SendCounts", "create"]

# Period over which ended requests are counted, and after which pressure has ended.
COUNT_SECONDS = 1.0
# Bound on the ends kept for one pool.
MAX_ENDS = 2_000
# Without a new rejection for this time, the host counts as having room.
FULL_SECONDS = 0.2
# Bounds on reports: pools of one host, and hosts.
MAX_REPORTED_POOLS = 16
MAX_HOSTS = 1_024
# Callers that were asked to return and are counted, for each pool.
MAX_RETURNS = 512
MIN_INTERVAL_SECONDS = 0.001
LOG_INTERVAL_SECONDS = 1.0


class SendCounts(NamedTuple):
    """Sends to a pool in the last second.

    Attributes
    ----------
    sends, sheds : int
    upstreams, shedding_upstreams : int
        Different upstreams that were sent to, and those that shed.
    seconds : float
        Time since the first of these sends ended.
    """

    sends: int
    sheds: int
    upstreams: int
    shedding_upstreams: int
    seconds: float

    @property
    def shed_share(self):
        """Share of the sends that were shed."""
        return self.sheds / self.sends if self.sends else 0.0


class PoolPressure(NamedTuple):
    """``pool_pressure``: pressure on the pools.

    ``enter(pool, priority)`` and ``leave(pool, priority)`` enclose the wait of a
    request. ``record_end(pool, upstream, is_shed)`` is called for each request that an
    upstream ended. ``expected_wait(pool, ahead, interval)`` is the wait in seconds
    behind some requests, where ``interval`` is this host's estimate of the seconds
    between two ends. ``return_seconds(pool, priority, seconds_left, typical_seconds,
    least)`` is when a rejected caller that gives up after ``seconds_left`` should
    return, not before ``least``, where such requests take ``typical_seconds``.
    ``send_counts(pool)`` returns ``SendCounts``. ``reports()`` is what to report to
    other hosts, and ``merge_reports(host, reports)`` takes theirs, of which
    ``others(pool)`` returns the current ones. ``limit_rate(pool, rate)`` says that this
    host sends at most so many requests a second; None ends that.
    """

    enter: Callable[[str, int], None]
    leave: Callable[[str, int], None]
    record_end: Callable[[str, str, bool], None]
    expected_wait: Callable[[str, float, float], float]
    return_seconds: Callable[..., float]
    send_counts: Callable[[str], SendCounts]
    reports: Callable[[], tuple]
    merge_reports: Callable[[str, tuple], None]
    others: Callable[[str], tuple]
    limit_rate: Callable[[str, float | None], None]


class PoolCounts:
    """Counts of one pool at this host.

    Attributes
    ----------
    waiting : list of int
        Waiting requests by priority.
    ends : deque of (float, str, bool)
        Time, upstream, and whether it was shed, of the requests that ended recently.
    returns : deque of (float, int)
        Time and priority of callers that were asked to return.
    pressed_at, full_at : float
        When the pool was last under pressure, and when a request had to wait or was
        rejected.
    """

    def __init__(self):
        self.waiting = [0] * PRIORITIES
        self.ends: deque[tuple[float, str, bool]] = deque(maxlen=MAX_ENDS)
        self.returns: deque[tuple[float, int]] = deque(maxlen=MAX_RETURNS)
        self.pressed_at = float("-inf")
        self.full_at = float("-inf")
        self.logged_at = float("-inf")
        self.max_rate = float("inf")

    def expire(self, now):
        """Drop old ends, and returns whose time has passed."""
        while self.ends and self.ends[0][0] < now - COUNT_SECONDS:
            self.ends.popleft()
        if any(due < now for due, _ in self.returns):
            remaining = [entry for entry in self.returns if entry[0] >= now]
            self.returns = deque(remaining, maxlen=MAX_RETURNS)

    def ahead(self, priority):
        """Return the requests that wait or will return before one of a priority."""
        returning = sum(1 for _, other in self.returns if other <= priority)
        return sum(self.waiting[: priority + 1]) + returning


def create(kernel):
    """Create the service ``pool_pressure``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    PoolPressure
    """
    counts_by_pool: dict[str, PoolCounts] = {}
    reports_by_host: dict[str, tuple[float, tuple[PressureReport, ...]]] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")

    def find_counts(pool):
        counts = counts_by_pool.get(pool)
        if counts is None:
            counts = counts_by_pool[pool] = PoolCounts()
        counts.expire(now())
        return counts

    def enter(pool, priority):
        counts = find_counts(pool)
        counts.waiting[min(priority, PRIORITIES - 1)] += 1
        counts.full_at = counts.pressed_at = now()

    def leave(pool, priority):
        counts = find_counts(pool)
        counts.waiting[min(priority, PRIORITIES - 1)] -= 1
        counts.pressed_at = now()

    def record_end(pool, upstream, is_shed):
        counts = find_counts(pool)
        counts.ends.append((now(), upstream, is_shed))
        if is_shed:
            counts.pressed_at = now()

    def send_counts(pool):
        ends = find_counts(pool).ends
        shedding = [upstream for _, upstream, is_shed in ends if is_shed]
        upstreams = {upstream for _, upstream, _ in ends}
        return SendCounts(
            len(ends),
            len(shedding),
            len(upstreams),
            len(frozenset(shedding)),
            now() - ends[0][0] if ends else 0.0,
        )

    def interval(pool):
        """Return the seconds between two requests that this host had served."""
        sent = send_counts(pool)
        return COUNT_SECONDS / max(sent.sends - sent.sheds, 1)

    def expected_wait(pool, ahead, queue_interval):
        local = LocalPressure(ahead, queue_interval)
        wait = pressure_estimates.expected_wait(local, others(pool))
        return max(wait, (ahead + 1) / find_counts(pool).max_rate)

    def limit_rate(pool, rate):
        find_counts(pool).max_rate = float("inf") if rate is None else rate

    def return_seconds(pool, priority, seconds_left, typical_seconds, least=0.0):
        priority = min(priority, PRIORITIES - 1)
        counts = find_counts(pool)
        counts.full_at = counts.pressed_at = now()
        # A pool that serves at all ends a request in its typical time, also when this
        # host sends it few.
        own_interval = min(interval(pool), max(typical_seconds, MIN_INTERVAL_SECONDS))
        local = LocalPressure(counts.ahead(priority), own_interval)
        wait = max(
            pressure_estimates.expected_wait(local, others(pool)),
            pressure_estimates.fleet_wait(local, others(pool), priority),
            least,
        )
        seconds = round_up(
            pressure_estimates.return_seconds(wait, priority, kernel.rng.random())
        )
        if will_return(seconds, seconds_left):
            counts.returns.append((now() + seconds, priority))
        report_rejection(pool, counts, priority, wait, seconds)
        return seconds

    def report_rejection(pool, counts, priority, wait, seconds):
        metrics.count(f'pool_rejections{{priority="{priority}"}}')
        if now() - counts.logged_at < LOG_INTERVAL_SECONDS:
            return
        counts.logged_at = now()
        emit(
            events.POOL_REJECTING,
            pool=pool,
            waiting=sum(counts.waiting),
            returning=len(counts.returns),
            shed_share=round(send_counts(pool).shed_share, 2),
            hosts=len(others(pool)),
            wait=round(wait, 3),
            retry_after=seconds,
        )

    def reports():
        if not counts_by_pool:
            return ()
        pressed = []
        for pool, counts in counts_by_pool.items():
            if any(counts.waiting) or now() - counts.pressed_at < COUNT_SECONDS:
                pressed.append((sum(counts.waiting), pool, find_counts(pool)))
        pressed.sort(key=lambda entry: entry[0], reverse=True)
        return tuple(
            create_report(pool, counts)
            for _, pool, counts in pressed[:MAX_REPORTED_POOLS]
        )

    def create_report(pool, counts):
        sent = send_counts(pool)
        has_room = not any(counts.waiting) and now() - counts.full_at > FULL_SECONDS
        waits = tuple(
            (sum(counts.waiting[: priority + 1]) + 1) * interval(pool)
            for priority in range(PRIORITIES)
        )
        drain_rate = (sent.sends - sent.sheds) / COUNT_SECONDS
        return PressureReport(pool, has_room, drain_rate, sent.shed_share, waits)

    def merge_reports(host, received):
        if not received:
            # Hosts of other zones report in some messages only; a report expires.
            return
        for other, (reported_at, _) in list(reports_by_host.items()):
            if now() - reported_at > REPORT_EXPIRY_SECONDS:
                del reports_by_host[other]
        if host in reports_by_host or len(reports_by_host) < MAX_HOSTS:
            age = max(report.age for report in received)
            reports_by_host[host] = (now() - age, received[:MAX_REPORTED_POOLS])

    def others(pool):
        found = []
        for reported_at, received in reports_by_host.values():
            if now() - reported_at > REPORT_EXPIRY_SECONDS:
                continue
            found.extend(report for report in received if report.pool == pool)
        return tuple(found)

    metrics.gauge(
        "pools_with_waiting_requests",
        lambda: sum(any(counts.waiting) for counts in counts_by_pool.values()),
    )
    service = PoolPressure(
        enter,
        leave,
        record_end,
        expected_wait,
        return_seconds,
        send_counts,
        reports,
        merge_reports,
        others,
        limit_rate,
    )
    kernel.register("pool_pressure", service)
    return service

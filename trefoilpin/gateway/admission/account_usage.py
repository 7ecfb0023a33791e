"""Service that each client account received from pools under pressure, on all hosts.

Each host counts the slots times seconds that it used for an account, decayed over some
seconds, from when requests start to wait for a pool until none has waited for a while.
Hosts report their counts to each other; a report replaces the last one, so lost and
repeated messages do no harm, and its counts decay from when it arrived. A host that
hears nothing from others uses its own counts.
"""

import math
from typing import Callable, Mapping, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.admission.fair_shares import DECAY_SECONDS

__all__ = ["AccountUsage", "PoolReport", "create", "is_valid_report"]

# A pool is under pressure for this long after a request last waited for it. As long as
# the decay, so that a short gap does not clear the counts.
PRESSURE_SECONDS = 2.0
# Reports of waiting requests at other hosts are ignored after this time, when a host
# that sends every 0.4 s has missed several.
WAITING_EXPIRY_SECONDS = 1.5
# Counts of a host that reports no more are dropped when a twentieth of them is left.
REPORT_EXPIRY_SECONDS = 3 * DECAY_SECONDS
# Counts are decayed in steps of this length.
DECAY_STEP_SECONDS = 0.05
# Smaller counts, in slots times seconds, are dropped.
MIN_SERVICE = 0.02
# Bounds of what a host shares: about 20 bytes for each account.
MAX_POOLS = 4
MAX_ACCOUNTS = 48
# Waiting requests are reported for this many priorities, from the most urgent.
MAX_PRIORITIES = 4
# Bounds on what is taken from another host.
MAX_SERVICE = 1e6
MAX_NAME_LENGTH = 200
# Accounts counted in a pool by one host; the least served one is dropped above this.
MAX_COUNTED_ACCOUNTS = 1000


class PoolReport(NamedTuple):
    """What a host shares about a pool under pressure.

    Attributes
    ----------
    pool : str
    is_waiting : bool
        True when requests wait at the host.
    lowest_by_priority : dict
        Lowest level, in slots times seconds, of an account that has waited for long.
    service_by_account : dict
        Decayed service in slots times seconds.
    """

    pool: str
    is_waiting: bool
    lowest_by_priority: Mapping[int, float]
    service_by_account: Mapping[str, float]


class AccountUsage(NamedTuple):
    """``account_usage``: service received by the accounts of pools under pressure.

    ``charge(pool, account, seconds)`` adds slots times seconds that this host uses; a
    negative number takes some back. ``mark_waiting(pool, lowest_by_priority)`` states
    that requests wait here, with the lowest level of the accounts of each priority that
    have waited for long. ``mark_idle(pool)`` states that none wait any more.
    ``is_under_pressure(pool)`` tells whether requests waited here or at another host
    recently. ``service(pool)`` is the decayed service of each account on all hosts,
    and ``waiting_elsewhere(pool)`` the lowest level of each priority at other hosts.
    ``reports()`` returns the ``PoolReport`` items of this host, and ``merge(host,
    reports, age=0.0)`` takes those of another one, which are ``age`` seconds old.
    """

    charge: Callable[[str, str, float], None]
    mark_waiting: Callable[[str, Mapping[int, float]], None]
    mark_idle: Callable[[str], None]
    is_under_pressure: Callable[[str], bool]
    service: Callable[[str], dict]
    waiting_elsewhere: Callable[[str], dict]
    reports: Callable[[], tuple]
    merge: Callable[..., None]


class HostReport:
    """Last report of another host about a pool; its counts decay."""

    def __init__(self, received_at, report):
        self.received_at = received_at
        self.lowest_by_priority = report.lowest_by_priority
        self.service_by_account = dict(report.service_by_account)


class PoolUsage:
    """Decayed counts of a pool under pressure.

    Attributes
    ----------
    own, total : dict
        Service by account, from this host and from all.
    pressed_at : float
        Clock time in seconds at which requests last waited, here or elsewhere.
    is_waiting, lowest_by_priority
        As in ``PoolReport``, of this host.
    """

    def __init__(self, now):
        self.own: dict[str, float] = {}
        self.total: dict[str, float] = {}
        self.report_by_host: dict[str, HostReport] = {}
        self.is_waiting = False
        self.lowest_by_priority: Mapping[int, float] = {}
        self.pressed_at = now
        self.decayed_at = now


def decay(service_by_account, factor):
    """Multiply counts by a factor and drop the smallest."""
    for account in list(service_by_account):
        service = service_by_account[account] * factor
        if service < MIN_SERVICE:
            del service_by_account[account]
        else:
            service_by_account[account] = service


def add(service_by_account, account, seconds):
    """Add to the count of an account, which never falls below zero."""
    service = service_by_account.get(account, 0.0) + seconds
    service_by_account[account] = max(service, 0.0)


def largest(service_by_account, count):
    """Return the accounts with the most service, at most ``count``."""
    if len(service_by_account) <= count:
        return dict(service_by_account)
    rows = sorted(service_by_account.items(), key=lambda row: row[1], reverse=True)
    return dict(rows[:count])


def is_valid_service(value):
    """Tell whether a received count is in range."""
    return math.isfinite(value) and 0.0 <= value <= MAX_SERVICE


def is_valid_report(report):
    """Tell whether a report of another host is within the bounds."""
    if len(report.service_by_account) > MAX_ACCOUNTS:
        return False
    if len(report.lowest_by_priority) > MAX_PRIORITIES:
        return False
    if not report.pool:
        return False
    for name in (report.pool, *report.service_by_account):
        if len(name) > MAX_NAME_LENGTH:
            return False
    values = (
        *report.service_by_account.values(),
        *report.lowest_by_priority.values(),
    )
    return all(map(is_valid_service, values))


def create(kernel):
    """Create the service ``account_usage``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    AccountUsage
    """
    usage_by_pool: dict[str, PoolUsage] = {}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")

    def find(pool):
        """Return the counts of a pool, decayed until now, or None without pressure."""
        usage = usage_by_pool.get(pool)
        if usage is None:
            return None
        elapsed = now() - usage.decayed_at
        if elapsed < DECAY_STEP_SECONDS:
            return usage
        if now() - usage.pressed_at > PRESSURE_SECONDS:
            del usage_by_pool[pool]
            emit(events.POOL_RELIEVED, pool=pool, accounts=len(usage.total))
            return None
        usage.decayed_at = now()
        factor = math.exp(-elapsed / DECAY_SECONDS)
        decay(usage.own, factor)
        usage.total = dict(usage.own)
        for host, report in list(usage.report_by_host.items()):
            if now() - report.received_at > REPORT_EXPIRY_SECONDS:
                del usage.report_by_host[host]
                continue
            decay(report.service_by_account, factor)
            for account, service in report.service_by_account.items():
                add(usage.total, account, service)
        return usage

    def press(pool, source):
        """Return the counts of a pool, which is under pressure from now on."""
        usage = find(pool)
        if usage is None:
            usage = usage_by_pool[pool] = PoolUsage(now())
            emit(events.POOL_PRESSED, pool=pool, source=source)
        usage.pressed_at = now()
        return usage

    def charge(pool, account, seconds):
        usage = find(pool)
        if usage is None:
            return
        add(usage.own, account, seconds)
        add(usage.total, account, seconds)
        if len(usage.own) > MAX_COUNTED_ACCOUNTS:
            del usage.own[min(usage.own, key=usage.own.__getitem__)]

    def mark_waiting(pool, lowest_by_priority):
        usage = press(pool, "own")
        usage.is_waiting = True
        usage.lowest_by_priority = lowest_by_priority

    def mark_idle(pool):
        usage = usage_by_pool.get(pool)
        if usage is not None:
            usage.is_waiting = False
            usage.lowest_by_priority = {}

    def is_under_pressure(pool):
        return find(pool) is not None

    def service(pool):
        usage = find(pool)
        return {} if usage is None else usage.total

    def waiting_elsewhere(pool):
        usage = find(pool)
        lowest: dict[int, float] = {}
        if usage is None:
            return lowest
        for report in usage.report_by_host.values():
            if now() - report.received_at > WAITING_EXPIRY_SECONDS:
                continue
            for priority, value in report.lowest_by_priority.items():
                lowest[priority] = min(value, lowest.get(priority, math.inf))
        return lowest

    def reports():
        found = []
        for pool in list(usage_by_pool):
            usage = find(pool)
            if usage is None or len(found) >= MAX_POOLS:
                continue
            lowest = {}
            for priority, value in usage.lowest_by_priority.items():
                if priority < MAX_PRIORITIES:
                    lowest[priority] = value
            if not usage.own and not usage.is_waiting:
                continue
            services = largest(usage.own, MAX_ACCOUNTS)
            found.append(PoolReport(pool, usage.is_waiting, lowest, services))
        return tuple(found)

    def merge(host, reports, age=0.0):
        if age > WAITING_EXPIRY_SECONDS:
            return
        for report in reports[:MAX_POOLS]:
            if not is_valid_report(report):
                metrics.count("usage_reports_rejected")
                emit(events.USAGE_REPORT_REJECTED, host=host, pool=report.pool[:80])
                continue
            if report.is_waiting:
                usage = press(report.pool, host)
            else:
                usage = find(report.pool)
            if usage is None:
                continue
            previous = usage.report_by_host.get(host)
            if previous is not None:
                for account, seconds in previous.service_by_account.items():
                    add(usage.total, account, -seconds)
            found = usage.report_by_host[host] = HostReport(now() - age, report)
            decay(found.service_by_account, math.exp(-age / DECAY_SECONDS))
            for account, seconds in found.service_by_account.items():
                add(usage.total, account, seconds)

    metrics.gauge("pools_under_pressure", lambda: len(usage_by_pool))
    accounts = AccountUsage(
        charge,
        mark_waiting,
        mark_idle,
        is_under_pressure,
        service,
        waiting_elsewhere,
        reports,
        merge,
    )
    kernel.register("account_usage", accounts)
    return accounts

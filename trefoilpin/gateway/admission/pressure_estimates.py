"""Estimates for a pool under pressure, from this host's counts and others' reports."""

from typing import NamedTuple

__all__ = [
    "MAX_RETURN_SECONDS",
    "MIN_RETURN_SECONDS",
    "PRIORITIES",
    "REPORT_EXPIRY_SECONDS",
    "LocalPressure",
    "PressureReport",
    "expected_wait",
    "fleet_wait",
    "return_seconds",
]

# Priorities that are reported apart; less urgent ones count as the last.
PRIORITIES = 4
# A report says nothing about the pool after this time.
REPORT_EXPIRY_SECONDS = 1.5
# Bounds of a time to return. The upper one is longer than callers wait; it only keeps
# the time finite while a pool ends no request.
MIN_RETURN_SECONDS = 0.1
MAX_RETURN_SECONDS = 30.0
# Each priority is asked to return this share of the wait later than a more urgent one,
# and the callers of one priority return over as long a time.
SPREAD_SHARE = 0.25


class PressureReport(NamedTuple):
    """What a host knows of a pool under pressure.

    Attributes
    ----------
    pool : str
    has_room : bool
        True when the host last found free capacity.
    drain_rate : float
        Requests a second that ended at the host.
    shed_share : float
        Share of its sends in the last second that were shed.
    waits : tuple of float
        Seconds that a new request is expected to wait, by priority.
    age : float
        Age in seconds.
    """

    pool: str
    has_room: bool
    drain_rate: float
    shed_share: float
    waits: tuple[float, ...]
    age: float = 0.0


class LocalPressure(NamedTuple):
    """What this host knows of a pool.

    Attributes
    ----------
    ahead : float
        Requests before a new one of the priority, waiting or asked to return.
    interval : float
        Expected seconds between two requests that end at this host.
    """

    ahead: float
    interval: float


def expected_wait(local, reports):
    """Return the seconds that a new request of this host is expected to wait.

    Freed slots of a pool are open to all hosts, so a host to which few of its own
    requests return gets its part of those that other hosts see.

    Parameters
    ----------
    local : LocalPressure
    reports : sequence of PressureReport
        Current reports of other hosts.
    """
    interval = local.interval
    total_rate = sum(report.drain_rate for report in reports)
    if total_rate > 0:
        competing = 1 + sum(1 for report in reports if not report.has_room)
        interval = min(interval, competing / total_rate)
    return (local.ahead + 1) * interval


def fleet_wait(local, reports, priority):
    """Return the seconds until the whole fleet has served what waits for a pool.

    Parameters
    ----------
    local : LocalPressure
    reports : sequence of PressureReport
    priority : int
    """
    total_rate, ahead = 1 / local.interval, local.ahead
    for report in reports:
        total_rate += report.drain_rate
        if not report.has_room:
            wait = report.waits[min(priority, PRIORITIES - 1)]
            ahead += max(wait * report.drain_rate - 1.0, 0.0)
    return (ahead + 1) / total_rate


def return_seconds(wait, priority, random_share):
    """Return when the caller of a rejected request should return, in seconds.

    Never less than the wait, and later for lower priorities: the times of different
    priorities do not overlap for equal waits.

    Parameters
    ----------
    wait : float
        Seconds in which the requests ahead are served.
    priority : int
    random_share : float
        From 0 to 1, spreads the callers.
    """
    least = min(max(wait, MIN_RETURN_SECONDS), MAX_RETURN_SECONDS)
    steps = min(priority, PRIORITIES - 1) + random_share
    return least * (1.0 + SPREAD_SHARE * steps)

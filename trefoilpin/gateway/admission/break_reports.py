"""Breaks and answers of suspect requests that a host tells others, also of others.

Few hosts send to all others: each host tells the relays of its zone, a relay the hosts
of its zone and the relays of other zones, and hosts with callers each other. So a host
passes on what is new to it, in its zone always, and to other zones only as a relay and
what came from its own zone. What a host has heard it takes for new once only, else two
hosts would tell each other the same break without end.
"""

from enum import Enum
from typing import Callable, NamedTuple

__all__ = [
    "MAX_SHARED",
    "OWN_SHARING_SECONDS",
    "REMEMBERED_SECONDS",
    "SHARING_SECONDS",
    "Audience",
    "BreakReports",
    "create",
]

# Breaks and answers in one message, of some 30 bytes each.
MAX_SHARED = 32
# Three messages of the longest period, 0.48 s, as datagrams may be lost.
SHARING_SECONDS = 1.5
# Hosts of other zones that are sent many messages by many hosts: one of each period, as
# the relays tell them too.
OWN_SHARING_SECONDS = 0.5
# Longer than what is new travels, over four hosts at most.
REMEMBERED_SECONDS = 10.0
MAX_REMEMBERED = 2_000
# Hosts that start, or were cut off, hear within this time of requests that are refused:
# a third of the 3 s after which their requests count.
REPEAT_PERIOD_SECONDS = 1.0
REPEAT_SECONDS = 0.5


class Audience(Enum):
    """Hosts to which a message goes."""

    ZONE = "hosts of the own zone"
    RELAYS = "relays of other zones, from a relay"
    OTHERS = "other hosts of other zones"


class BreakReports(NamedTuple):
    """Functions that keep what is new.

    ``add_break(item, is_own, is_same_zone)`` takes a pair of a fingerprint and an
    incarnation and tells whether it is new, and ``add_answer(fingerprint, is_own,
    is_same_zone, has_cleared)`` an answer, which is passed on again when it cleared a
    request. ``due_breaks(audience)`` and ``due_answers(audience)`` return what to send.
    """

    add_break: Callable[..., bool]
    add_answer: Callable[..., None]
    due_breaks: Callable[[Audience], tuple]
    due_answers: Callable[[Audience], tuple]


class Report(NamedTuple):
    """When a host learned of a break or an answer, and from whom."""

    learned_at: float
    is_own: bool
    is_same_zone: bool


def is_due(report, audience, seconds):
    """Tell whether a report, learned some seconds ago, is part of a message."""
    if audience is Audience.ZONE:
        return seconds < SHARING_SECONDS
    if audience is Audience.RELAYS:
        return report.is_same_zone and seconds < SHARING_SECONDS
    return report.is_own and seconds < OWN_SHARING_SECONDS


def is_repeated(audience, seconds):
    """Tell whether breaks of refused requests are repeated at a time of the clock."""
    is_told = audience is not Audience.OTHERS
    return is_told and seconds % REPEAT_PERIOD_SECONDS < REPEAT_SECONDS


def create(now, refused_breaks):
    """Create the functions for one host.

    Parameters
    ----------
    now : callable
    refused_breaks : callable
        Returns the breaks for which requests are refused now.

    Returns
    -------
    BreakReports
    """
    report_by_break: dict[tuple[int, str], Report] = {}
    report_by_answer: dict[int, Report] = {}

    def add(report_by_item, item, is_own, is_same_zone):
        report_by_item.pop(item, None)
        report_by_item[item] = Report(now(), is_own, is_own or is_same_zone)
        if len(report_by_item) > MAX_REMEMBERED:
            del report_by_item[next(iter(report_by_item))]

    def is_known(report_by_item, item):
        report = report_by_item.get(item)
        return report is not None and now() - report.learned_at < REMEMBERED_SECONDS

    def add_break(item, is_own, is_same_zone):
        if not is_own and is_known(report_by_break, item):
            return False
        add(report_by_break, item, is_own, is_same_zone)
        return True

    def add_answer(request_fingerprint, is_own, is_same_zone, has_cleared):
        if has_cleared or not is_known(report_by_answer, request_fingerprint):
            add(report_by_answer, request_fingerprint, is_own, is_same_zone)

    def list_due(report_by_item, audience):
        """Return the newest items for an audience, the newest last."""
        due = []
        for item, report in reversed(report_by_item.items()):
            seconds = now() - report.learned_at
            if seconds >= SHARING_SECONDS or len(due) == MAX_SHARED:
                break
            if is_due(report, audience, seconds):
                due.append(item)
        return tuple(reversed(due))

    def due_breaks(audience):
        due = list_due(report_by_break, audience)
        if not is_repeated(audience, now()):
            return due
        return tuple(dict.fromkeys((*refused_breaks(), *due)))[-MAX_SHARED:]

    return BreakReports(
        add_break,
        add_answer,
        due_breaks,
        lambda audience: list_due(report_by_answer, audience),
    )

"""Single global token bucket, the reference for the grants of a fleet."""

from typing import NamedTuple

__all__ = ["Segment", "admissible", "envelope", "excess"]


class Segment(NamedTuple):
    """Rate and burst from a point in time on."""

    since: float
    rate: float
    burst: float


def envelope(states, transition):
    """Return upper limits of an account's rate and burst while these change.

    Parameters
    ----------
    states : sequence of (float, ClientAccount)
        Time of acceptance and the state, in order.
    transition : float
        Seconds from acceptance until every host has a state in force. Until then
        the greater of the old and the new value counts.
    """
    times = {since for since, _ in states}
    times |= {since + transition for since, _ in states[1:]}
    segments = []
    for time in sorted(times):
        accounts = []
        for position, (since, account) in enumerate(states):
            later = states[position + 1 : position + 2]
            if since <= time and not any(
                time >= until + transition for until, _ in later
            ):
                accounts.append(account)
        rate = max(account.rate for account in accounts)
        burst = max(account.burst for account in accounts)
        segments.append(Segment(time, rate, burst))
    return segments


def advance(level, since, until, segments):
    """Return the bucket's level at a later time."""
    for position, segment in enumerate(segments):
        later = segments[position + 1 : position + 2]
        end = later[0].since if later else float("inf")
        overlap_start, overlap_end = max(since, segment.since), min(until, end)
        if overlap_start > overlap_end:
            continue
        level = min(segment.burst, level + (overlap_end - overlap_start) * segment.rate)
    return level


def excess(times, segments):
    """Return the most tokens granted above burst + rate x time in any window.

    This uses a bucket whose level may fall below zero: its level is the minimum, over
    all windows that end now, of the tokens allowed minus the tokens granted.

    Parameters
    ----------
    times : iterable of float
        Times of the grants, in order.
    segments : sequence of Segment
    """
    level, last_time, max_excess = segments[0].burst, segments[0].since, 0.0
    for time in times:
        level = advance(level, last_time, time, segments) - 1
        last_time = time
        max_excess = max(max_excess, -level)
    return max_excess


def admissible(times, segments):
    """Return, for each request, whether one global bucket would admit it."""
    level, last_time = segments[0].burst, segments[0].since
    admitted = []
    for time in times:
        level = advance(level, last_time, time, segments)
        last_time = time
        admitted.append(level >= 1)
        if level >= 1:
            level -= 1
    return admitted

"""One global token bucket, with which the fleet's grants are compared."""

from typing import NamedTuple

__all__ = ["Segment", "admissible", "envelope", "excess"]


class Segment(NamedTuple):
    """Rate and burst from an instant on."""

    since: float
    rate: float
    burst: float


def envelope(states, transition):
    """Return the segments that bound an account whose rate and burst change.

    Parameters
    ----------
    states : sequence of (float, ClientAccount)
        Instant of acceptance and the state, in order.
    transition : float
        Seconds from acceptance until every host has a state in force; the greater
        of old and new counts for so long.
    """
    instants = {since for since, _ in states}
    instants |= {since + transition for since, _ in states[1:]}
    segments = []
    for instant in sorted(instants):
        possible = []
        for position, (since, account) in enumerate(states):
            later = states[position + 1 : position + 2]
            if since <= instant and not any(
                instant >= until + transition for until, _ in later
            ):
                possible.append(account)
        rate = max(account.rate for account in possible)
        burst = max(account.burst for account in possible)
        segments.append(Segment(instant, rate, burst))
    return segments


def advance(level, since, until, segments):
    """Return the level at a later instant."""
    for position, segment in enumerate(segments):
        later = segments[position + 1 : position + 2]
        end = later[0].since if later else float("inf")
        begins, ends = max(since, segment.since), min(until, end)
        if begins > ends:
            continue
        level = min(segment.burst, level + (ends - begins) * segment.rate)
    return level


def excess(instants, segments):
    """Return the most tokens above burst + rate x time in any window.

    The level of a bucket that may fall below zero is the least, over all windows
    that end now, of what was allowed less what was granted.

    Parameters
    ----------
    instants : iterable of float
        Of the grants, in order.
    segments : sequence of Segment
    """
    level, last, worst = segments[0].burst, segments[0].since, 0.0
    for instant in instants:
        level = advance(level, last, instant, segments) - 1
        last = instant
        worst = max(worst, -level)
    return worst


def admissible(instants, segments):
    """Return which of some requests one global bucket would admit."""
    level, last = segments[0].burst, segments[0].since
    admitted = []
    for instant in instants:
        level = advance(level, last, instant, segments)
        last = instant
        admitted.append(level >= 1)
        if level >= 1:
            level -= 1
    return admitted

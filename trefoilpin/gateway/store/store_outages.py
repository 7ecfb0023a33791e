"""Spans in which the store was read without an outage, as the hosts know them together.

A host that was suspended or cut off has an old document as well, though the store was
available and no entry expired. It can tell this from an outage once another host
reports that it read the store, or was sent what others read, all the time.
"""

from typing import NamedTuple

__all__ = [
    "MIN_OUTAGE_SECONDS",
    "NO_READS",
    "REREGISTRATION_SECONDS",
    "ReadSpan",
    "join_spans",
    "may_lack_entries",
]

# Upstreams whose entries expired in an outage write them again within this time.
REREGISTRATION_SECONDS = 2.2
# Age of the last read of a live store, as known to a host that others tell of it.
MAX_READ_AGE_SECONDS = 1.0
# A longer time without a read means an outage in which entries may have expired.
MIN_OUTAGE_SECONDS = 2.5


class ReadSpan(NamedTuple):
    """A span in which the store was read without an outage.

    Attributes
    ----------
    started_at : float
        When the first read after an outage ended.
    last_read_at : float
        When the most recent read started.
    """

    started_at: float
    last_read_at: float


NO_READS = ReadSpan(float("-inf"), float("-inf"))


def join_spans(span, other):
    """Return the later of two spans, or both as one when no outage is between them."""
    if other.last_read_at < span.started_at - MIN_OUTAGE_SECONDS:
        return span
    if span.last_read_at < other.started_at - MIN_OUTAGE_SECONDS:
        return other
    return ReadSpan(
        min(span.started_at, other.started_at),
        max(span.last_read_at, other.last_read_at),
    )


def may_lack_entries(span, known_since, now):
    """Tell whether entries that expired in an outage may not be written again yet.

    Parameters
    ----------
    span : ReadSpan
        The span since the outage.
    known_since : float
        When this host first had a document; without one from before the outage it
        knows of no entries that expired.
    now : float
    """
    if known_since >= span.started_at - MIN_OUTAGE_SECONDS:
        return False
    until = span.started_at + REREGISTRATION_SECONDS
    # Without a read at the end of that time the store may be away again.
    return now < until or span.last_read_at < until - MAX_READ_AGE_SECONDS

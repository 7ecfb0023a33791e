"""Messages between hosts and a pool's coordinator, and the counts they carry.

A host counts the outcome of each attempt for the upstream and client account.
Once a second the counts are taken out and sent; a request that has not ended is
counted as stalled once its age passes a limit, and not again when it ends.
"""

import math
from typing import NamedTuple

from trefoilpin.verdicts import Reason

__all__ = [
    "UNKNOWN_ACCOUNT",
    "Counts",
    "Entry",
    "Grant",
    "HealthReply",
    "HealthReport",
    "Held",
    "PoolReply",
    "PoolReport",
    "Sample",
    "TakeOverReply",
    "TakeOverRequest",
    "Told",
    "bucket_of",
    "bucket_seconds",
    "count_attempt",
    "count_stall",
    "take_samples",
]

BUCKETS_PER_OCTAVE = 4
UNKNOWN_ACCOUNT = "?"
LOWEST_SECONDS = 0.0001
FINGERPRINT_BITS = 63
REASONS_OF_CALLERS = frozenset(
    (Reason.BAD_REQUEST, Reason.CALLER_GONE, Reason.INTERNAL)
)


class Sample(NamedTuple):
    """Attempts of one host and one client account at one upstream.

    Attributes
    ----------
    upstream, account : str
    requests : int
        Attempts that ended or stalled; those refused as overload are left out.
    failures : int
        Errors, broken connections, time-outs and stalled requests.
    hard : int
        Failures without an answer.
    sheds : int
        Refusals by the upstream without running.
    latencies : tuple of int
        Bucket of each attempt that was answered.
    fingerprints : tuple of int
        Of the requests that broke their connection.
    """

    upstream: str
    account: str
    requests: int
    failures: int
    hard: int
    sheds: int
    latencies: tuple[int, ...]
    fingerprints: tuple[int, ...]


class Held(NamedTuple):
    """Requests that a host runs on an upstream in slow start."""

    upstream: str
    in_flight: int


class PoolReport(NamedTuple):
    """One pool in a report.

    Attributes
    ----------
    pool : str
    counter_total : int
        Sum of the counters of the standings known to the host.
    samples : tuple of Sample
    wanted : int
        Concurrency wanted on upstreams in slow start.
    held : tuple of Held
        The host gives up every earlier grant; this is what still runs.
    draining : tuple of str
        Upstreams that the host knows to be leaving.
    """

    pool: str
    known: int
    samples: tuple[Sample, ...]
    wanted: int
    held: tuple[Held, ...]
    draining: tuple[str, ...]


class HealthReport(NamedTuple):
    """Report of one host; ``sequence`` rises with each one."""

    sequence: int
    zone: str
    pools: tuple[PoolReport, ...]


class Entry(NamedTuple):
    """Standing of an upstream as it is sent.

    Attributes
    ----------
    upstream : str
    counter : int
        The entry with the higher counter holds.
    state : str
        A value of ``upstream_states.State``.
    badness : float
        Order of ejections, the worst highest.
    times : int
        Ejections in a row.
    """

    upstream: str
    counter: int
    state: str
    badness: float
    times: int


class Grant(NamedTuple):
    """Concurrency on an upstream in slow start."""

    upstream: str
    units: int


class PoolReply(NamedTuple):
    """The coordinator's answer for one pool."""

    pool: str
    entries: tuple[Entry, ...]
    grants: tuple[Grant, ...]
    draining: tuple[str, ...]


class HealthReply(NamedTuple):
    """The coordinator's answer to a report."""

    pools: tuple[PoolReply, ...]


class Told(NamedTuple):
    """Acknowledgement of a ``PoolReply`` that was sent without being asked for."""

    pool: str


class TakeOverRequest(NamedTuple):
    """A new coordinator's request to give up the grants of a pool."""

    pool: str


class TakeOverReply(NamedTuple):
    """What still runs on the pool's cold upstreams."""

    held: tuple[Held, ...]


class Counts:
    """Attempts of one client account at one upstream since the last report."""

    def __init__(self):
        self.requests = 0
        self.failures = 0
        self.hard = 0
        self.sheds = 0
        self.latencies: list[int] = []
        self.fingerprints: list[int] = []


def bucket_of(seconds):
    """Return the logarithmic bucket of a latency."""
    ratio = max(seconds, LOWEST_SECONDS) / LOWEST_SECONDS
    return int(BUCKETS_PER_OCTAVE * math.log2(ratio))


def bucket_seconds(bucket):
    """Return the lower bound in seconds of a bucket."""
    return LOWEST_SECONDS * 2 ** (bucket / BUCKETS_PER_OCTAVE)


def hash_fingerprint(fingerprint):
    """Return a hexadecimal fingerprint as a number, 0 when there is none."""
    try:
        return int(fingerprint[:16], 16) >> (64 - FINGERPRINT_BITS)
    except ValueError:
        return 0


def count_attempt(counts, attempt, fingerprint):
    """Add the outcome of an attempt, unless the upstream has no part in it.

    Parameters
    ----------
    counts : Counts
    attempt : Attempt
    fingerprint : str
    """
    if attempt.reason in REASONS_OF_CALLERS:
        return
    if attempt.shed:
        counts.sheds += 1
        return
    counts.requests += 1
    if attempt.answer is not None:
        counts.latencies.append(bucket_of(attempt.seconds))
        counts.failures += attempt.answer.status >= 500
        return
    counts.failures += 1
    counts.hard += 1
    if attempt.broke_connection and fingerprint:
        counts.fingerprints.append(hash_fingerprint(fingerprint))


def count_stall(counts):
    """Add a request that has not ended within the limit."""
    counts.requests += 1
    counts.failures += 1
    counts.hard += 1


def take_samples(counts_by_account_by_upstream):
    """Empty the counts of a pool and return them as samples.

    Parameters
    ----------
    counts_by_account_by_upstream : dict
        ``Counts`` by account by upstream.

    Returns
    -------
    tuple of Sample
    """
    samples = []
    for upstream, counts_by_account in counts_by_account_by_upstream.items():
        for account, counts in counts_by_account.items():
            sample = Sample(
                upstream,
                account,
                counts.requests,
                counts.failures,
                counts.hard,
                counts.sheds,
                tuple(counts.latencies),
                tuple(counts.fingerprints),
            )
            samples.append(sample)
    counts_by_account_by_upstream.clear()
    return tuple(samples)

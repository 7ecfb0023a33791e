"""Health reports of hosts to a pool's coordinator, and the counts in them.

A host counts the outcomes of attempts by upstream and client account, and sends and
resets the counts once a second. An attempt in flight is counted as stalled when its
age exceeds a limit, and is then not counted again when it ends.
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
MIN_LATENCY_SECONDS = 0.0001
FINGERPRINT_BITS = 63
CALLER_REASONS = frozenset((Reason.BAD_REQUEST, Reason.CALLER_GONE, Reason.INTERNAL))


class Sample(NamedTuple):
    """Outcomes of one host's and client account's attempts at one upstream.

    Attributes
    ----------
    upstream, account : str
    requests : int
        Attempts that ended or stalled, without those shed by the upstream.
    failures : int
        Server errors, broken connections, timeouts and stalled attempts.
    hard : int
        Failures without an answer.
    sheds : int
        Attempts that the upstream refused as overload without running them.
    latencies : tuple of int
        Latency bucket of each answered attempt.
    fingerprints : tuple of int
        Fingerprints of the requests whose connection broke.
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
    """A host's requests in flight at an upstream in slow start."""

    upstream: str
    in_flight: int


class PoolReport(NamedTuple):
    """The part of a health report about one pool.

    Attributes
    ----------
    pool : str
    known : int
        Sum of the counters of the upstream states known to the host.
    samples : tuple of Sample
    wanted : int
        Concurrency requested on upstreams in slow start.
    held : tuple of Held
        Requests still in flight; the report surrenders all earlier grants.
    draining : tuple of str
        Upstreams that are draining as far as the host knows.
    """

    pool: str
    known: int
    samples: tuple[Sample, ...]
    wanted: int
    held: tuple[Held, ...]
    draining: tuple[str, ...]


class HealthReport(NamedTuple):
    """Report of one host; ``sequence`` increases with each report."""

    sequence: int
    zone: str
    pools: tuple[PoolReport, ...]


class Entry(NamedTuple):
    """State of an upstream as exchanged between hosts.

    Attributes
    ----------
    upstream : str
    counter : int
        The entry with the higher counter wins.
    state : str
        A value of ``upstream_states.State``.
    badness : float
        Orders the ejections, highest first.
    times : int
        Consecutive ejections.
    """

    upstream: str
    counter: int
    state: str
    badness: float
    times: int


class Grant(NamedTuple):
    """Concurrency granted to a host on an upstream in slow start."""

    upstream: str
    units: int


class PoolReply(NamedTuple):
    """The part of a coordinator's reply about one pool."""

    pool: str
    entries: tuple[Entry, ...]
    grants: tuple[Grant, ...]
    draining: tuple[str, ...]


class HealthReply(NamedTuple):
    """Reply of a coordinator to a health report."""

    pools: tuple[PoolReply, ...]


class Told(NamedTuple):
    """Acknowledgement of a ``PoolReply`` that a coordinator sent without a report."""

    pool: str


class TakeOverRequest(NamedTuple):
    """Request of a new coordinator to surrender the grants of a pool."""

    pool: str


class TakeOverReply(NamedTuple):
    """Requests still in flight at the pool's cold upstreams."""

    held: tuple[Held, ...]


class Counts:
    """Counts of one client account at one upstream since the last report."""

    def __init__(self):
        self.requests = 0
        self.failures = 0
        self.hard = 0
        self.sheds = 0
        self.latencies: list[int] = []
        self.fingerprints: list[int] = []


def bucket_of(seconds):
    """Return the logarithmic bucket of a latency."""
    ratio = max(seconds, MIN_LATENCY_SECONDS) / MIN_LATENCY_SECONDS
    return int(BUCKETS_PER_OCTAVE * math.log2(ratio))


def bucket_seconds(bucket):
    """Return the lower bound of a latency bucket in seconds."""
    return MIN_LATENCY_SECONDS * 2 ** (bucket / BUCKETS_PER_OCTAVE)


def hash_fingerprint(fingerprint):
    """Return a hexadecimal fingerprint as an integer, 0 if it is empty or malformed."""
    try:
        return int(fingerprint[:16], 16) >> (64 - FINGERPRINT_BITS)
    except ValueError:
        return 0


def count_attempt(counts, attempt, fingerprint):
    """Count the outcome of an attempt, unless it was caused by the caller or this host.

    Parameters
    ----------
    counts : Counts
    attempt : Attempt
    fingerprint : str
    """
    if attempt.reason in CALLER_REASONS:
        return
    if attempt.shed or attempt.may_be_shed:
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
    """Count an attempt as stalled."""
    counts.requests += 1
    counts.failures += 1
    counts.hard += 1


def take_samples(counts_by_account_by_upstream):
    """Return the counts of a pool as samples, and reset them.

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

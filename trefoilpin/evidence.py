"""Health evidence on the upstreams of a pool, merged from the reports of all hosts.

Counts are kept per second for the longest window, with running sums over the window.
"""

from collections import deque
from typing import NamedTuple

from trefoilpin.reports import BUCKETS_PER_OCTAVE

__all__ = [
    "HardFailureRun",
    "PoolEvidence",
    "SampleRow",
    "add_samples",
    "drop_upstream",
    "expire_fingerprints",
    "find_median_bucket",
    "open_second",
    "slow_threshold",
]

LONGEST_WINDOW_SECONDS = 16
SLOW_OCTAVES = 2.3
HISTOGRAM_DECAY = 0.9
LONG_TERM_DECAY = 0.99
MIN_WEIGHT = 0.01
MIN_HISTOGRAM_WEIGHT = 20.0
FINGERPRINT_EXPIRY_SECONDS = 60


class SampleRow(NamedTuple):
    """Attempts of one host and account at one upstream in one report."""

    host: str
    zone: str
    account: str
    requests: int
    failures: int
    slow: int
    hard: int
    fingerprints: tuple[int, ...]


class Second:
    """Rows and sums by account of one second."""

    def __init__(self, tick):
        self.tick = tick
        self.rows_by_upstream: dict[str, list[SampleRow]] = {}
        self.sums_by_account: dict[str, list[int]] = {}


class HardFailureRun:
    """Failures without an answer since the latest answered attempt."""

    def __init__(self):
        self.count = 0
        self.hosts: set[str] = set()
        self.zones: set[str] = set()
        self.accounts: set[str] = set()
        self.ticks: set[int] = set()
        self.fingerprints: list[int] = []


class PoolEvidence:
    """Evidence on one pool.

    Sums are lists of requests, failures and slow answers.
    """

    def __init__(self):
        self.seconds: deque[Second] = deque()
        self.sums_by_upstream: dict[str, list[int]] = {}
        self.sums = [0, 0, 0]
        self.weight_by_bucket: dict[int, float] = {}
        self.long_term_by_account: dict[str, list[float]] = {}
        self.median_bucket = None
        self.ticks_by_fingerprint: dict[int, dict[str, int]] = {}
        self.hard_run_by_upstream: dict[str, HardFailureRun] = {}


def find_median_bucket(evidence):
    """Return the median latency bucket of the pool, or None while it is unknown.

    The previous median is kept while there are too few answers.
    """
    total = sum(evidence.weight_by_bucket.values())
    if total < MIN_HISTOGRAM_WEIGHT:
        return evidence.median_bucket
    cumulative = 0.0
    for bucket in sorted(evidence.weight_by_bucket):
        cumulative += evidence.weight_by_bucket[bucket]
        if cumulative >= total / 2:
            return bucket
    return evidence.median_bucket


def slow_threshold(evidence):
    """Return the lowest latency bucket of a slow answer, or None while unknown."""
    if evidence.median_bucket is None:
        return None
    return evidence.median_bucket + round(SLOW_OCTAVES * BUCKETS_PER_OCTAVE)


def open_second(evidence, tick):
    """Return the counts of a tick, after dropping those outside the window."""
    seconds = evidence.seconds
    if seconds and seconds[-1].tick >= tick:
        return seconds[-1]
    while seconds and seconds[0].tick <= tick - LONGEST_WINDOW_SECONDS:
        subtract_second(evidence, seconds.popleft())
    weight_after_decay = {}
    for bucket, weight in evidence.weight_by_bucket.items():
        if weight * HISTOGRAM_DECAY >= MIN_WEIGHT:
            weight_after_decay[bucket] = weight * HISTOGRAM_DECAY
    evidence.weight_by_bucket = weight_after_decay
    evidence.median_bucket = find_median_bucket(evidence)
    decay_long_term_sums(evidence)
    seconds.append(Second(tick))
    return seconds[-1]


def decay_long_term_sums(evidence):
    """Decay the long-term sums of each account, and drop negligible ones."""
    expired_accounts = []
    for account, sums in evidence.long_term_by_account.items():
        for column in range(len(sums)):
            sums[column] *= LONG_TERM_DECAY
        if sums[0] < MIN_WEIGHT:
            expired_accounts.append(account)
    for account in expired_accounts:
        del evidence.long_term_by_account[account]


def subtract_second(evidence, second):
    """Subtract a second's rows from the running sums."""
    for upstream, rows in second.rows_by_upstream.items():
        sums = evidence.sums_by_upstream[upstream]
        for row in rows:
            add_row(sums, row, -1)
            add_row(evidence.sums, row, -1)


def add_row(sums, row, sign=1):
    """Add a row to sums, or subtract it with ``sign`` -1."""
    sums[0] += sign * row.requests
    sums[1] += sign * row.failures
    sums[2] += sign * row.slow


def add_samples(evidence, tick, host, zone, samples, cold=frozenset()):
    """Add the samples of one host's report.

    Parameters
    ----------
    evidence : PoolEvidence
    tick : int
        Whole seconds of the coordinator's clock.
    host, zone : str
    samples : tuple of Sample
    cold : set of str
        Upstreams in slow start, whose latencies are left out of the median.
    """
    second = open_second(evidence, tick)
    threshold = slow_threshold(evidence)
    for sample in samples:
        slow = 0
        if threshold is not None:
            slow = sum(bucket >= threshold for bucket in sample.latencies)
        if evidence.median_bucket is None or sample.upstream not in cold:
            add_latencies(evidence, sample)
        row = SampleRow(
            host,
            zone,
            sample.account,
            sample.requests,
            sample.failures,
            slow,
            sample.hard,
            sample.fingerprints,
        )
        second.rows_by_upstream.setdefault(sample.upstream, []).append(row)
        sums = evidence.sums_by_upstream.setdefault(sample.upstream, [0, 0, 0])
        add_row(sums, row)
        add_row(evidence.sums, row)
        add_row(second.sums_by_account.setdefault(row.account, [0, 0, 0]), row)
        add_row(
            evidence.long_term_by_account.setdefault(row.account, [0.0, 0.0, 0.0]), row
        )
        record_fingerprints(evidence, tick, sample)
        update_hard_run(evidence, tick, sample.upstream, row)


def add_latencies(evidence, sample):
    """Add a sample's latencies to the pool's histogram."""
    weight_by_bucket = evidence.weight_by_bucket
    for bucket in sample.latencies:
        weight_by_bucket[bucket] = weight_by_bucket.get(bucket, 0.0) + 1.0


def record_fingerprints(evidence, tick, sample):
    """Record at which upstreams a request broke its connection."""
    for fingerprint in sample.fingerprints:
        tick_by_upstream = evidence.ticks_by_fingerprint.setdefault(fingerprint, {})
        tick_by_upstream[sample.upstream] = tick


def update_hard_run(evidence, tick, upstream, row):
    """Extend or end an upstream's run of failures without an answer."""
    if row.requests > row.hard:
        evidence.hard_run_by_upstream.pop(upstream, None)
        return
    if not row.hard:
        return
    run = evidence.hard_run_by_upstream.setdefault(upstream, HardFailureRun())
    run.count += row.hard
    run.hosts.add(row.host)
    run.zones.add(row.zone)
    run.accounts.add(row.account)
    run.ticks.add(tick)
    run.fingerprints.extend(row.fingerprints)


def drop_upstream(evidence, upstream):
    """Drop the evidence on an upstream whose state changed."""
    evidence.hard_run_by_upstream.pop(upstream, None)
    sums = evidence.sums_by_upstream.pop(upstream, None)
    if sums is None:
        return
    for column, value in enumerate(sums):
        evidence.sums[column] -= value
    for second in evidence.seconds:
        for row in second.rows_by_upstream.pop(upstream, ()):
            add_row(second.sums_by_account[row.account], row, -1)


def expire_fingerprints(evidence, tick):
    """Drop fingerprints that broke no connection recently."""
    expired = [
        fingerprint
        for fingerprint, tick_by_upstream in evidence.ticks_by_fingerprint.items()
        if max(tick_by_upstream.values()) < tick - FINGERPRINT_EXPIRY_SECONDS
    ]
    for fingerprint in expired:
        del evidence.ticks_by_fingerprint[fingerprint]

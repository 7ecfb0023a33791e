"""What the coordinator of a pool knows of its upstreams, merged from all hosts.

Counts are kept by second for the longest window, with sums that run along.
"""

from collections import deque
from typing import NamedTuple

from trefoilpin.reports import BUCKETS_PER_OCTAVE

__all__ = [
    "HardRun",
    "PoolEvidence",
    "Row",
    "add_samples",
    "expire_fingerprints",
    "forget",
    "open_second",
    "slow_from",
    "usual_bucket",
]

LONGEST_WINDOW_SECONDS = 16
SLOW_OCTAVES = 2.3
HISTOGRAM_DECAY = 0.9
LASTING_DECAY = 0.99
LEAST_WEIGHT = 0.01
LEAST_HISTOGRAM_WEIGHT = 20.0
FINGERPRINT_SECONDS = 60


class Row(NamedTuple):
    """Attempts of one host and account at one upstream within a second."""

    host: str
    zone: str
    account: str
    requests: int
    failures: int
    slow: int
    hard: int
    fingerprints: tuple[int, ...]


class Second:
    """What came within one second."""

    def __init__(self, tick):
        self.tick = tick
        self.rows_by_upstream: dict[str, list[Row]] = {}
        self.sums_by_account: dict[str, list[int]] = {}


class HardRun:
    """Failures without an answer since the last attempt that had one."""

    def __init__(self):
        self.count = 0
        self.hosts: set[str] = set()
        self.zones: set[str] = set()
        self.accounts: set[str] = set()
        self.ticks: set[int] = set()
        self.fingerprints: list[int] = []


class PoolEvidence:
    """Evidence on one pool."""

    def __init__(self):
        self.seconds: deque[Second] = deque()
        self.sums_by_upstream: dict[str, list[int]] = {}
        self.sums = [0, 0, 0]
        self.weight_by_bucket: dict[int, float] = {}
        self.lasting_by_account: dict[str, list[float]] = {}
        self.usual = None
        self.upstreams_by_fingerprint: dict[int, dict[str, int]] = {}
        self.hard_run_by_upstream: dict[str, HardRun] = {}


def usual_bucket(evidence):
    """Return the median latency bucket of the pool, or None while unknown.

    The last one known holds while there are too few answers.
    """
    total = sum(evidence.weight_by_bucket.values())
    if total < LEAST_HISTOGRAM_WEIGHT:
        return evidence.usual
    seen = 0.0
    for bucket in sorted(evidence.weight_by_bucket):
        seen += evidence.weight_by_bucket[bucket]
        if seen >= total / 2:
            return bucket
    return evidence.usual


def slow_from(evidence):
    """Return the latency bucket from which on an answer is slow, or None."""
    if evidence.usual is None:
        return None
    return evidence.usual + round(SLOW_OCTAVES * BUCKETS_PER_OCTAVE)


def open_second(evidence, tick):
    """Return the second of a tick, dropping those out of the longest window."""
    seconds = evidence.seconds
    if seconds and seconds[-1].tick >= tick:
        return seconds[-1]
    while seconds and seconds[0].tick <= tick - LONGEST_WINDOW_SECONDS:
        drop(evidence, seconds.popleft())
    decayed = {}
    for bucket, weight in evidence.weight_by_bucket.items():
        if weight * HISTOGRAM_DECAY >= LEAST_WEIGHT:
            decayed[bucket] = weight * HISTOGRAM_DECAY
    evidence.weight_by_bucket = decayed
    evidence.usual = usual_bucket(evidence)
    decay_lasting(evidence)
    seconds.append(Second(tick))
    return seconds[-1]


def decay_lasting(evidence):
    """Let the lasting sums of each account fade, and drop those that faded."""
    faded = []
    for account, sums in evidence.lasting_by_account.items():
        for position in range(len(sums)):
            sums[position] *= LASTING_DECAY
        if sums[0] < LEAST_WEIGHT:
            faded.append(account)
    for account in faded:
        del evidence.lasting_by_account[account]


def drop(evidence, second):
    """Subtract a second from the running sums."""
    for upstream, rows in second.rows_by_upstream.items():
        sums = evidence.sums_by_upstream[upstream]
        for row in rows:
            add(sums, row, -1)
            add(evidence.sums, row, -1)


def add(sums, row, sign=1):
    """Add a row to sums of requests, failures and slow answers."""
    sums[0] += sign * row.requests
    sums[1] += sign * row.failures
    sums[2] += sign * row.slow


def add_samples(evidence, tick, host, zone, samples, cold=frozenset()):
    """Add one host's report.

    Parameters
    ----------
    evidence : PoolEvidence
    tick : int
        Whole seconds of the coordinator's clock.
    host, zone : str
    samples : tuple of Sample
    cold : set of str
        Upstreams in slow start, whose latencies don't count as usual.
    """
    second = open_second(evidence, tick)
    limit = slow_from(evidence)
    for sample in samples:
        slow = 0
        if limit is not None:
            slow = sum(bucket >= limit for bucket in sample.latencies)
        if evidence.usual is None or sample.upstream not in cold:
            add_latencies(evidence, sample)
        row = Row(
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
        add(sums, row)
        add(evidence.sums, row)
        add(second.sums_by_account.setdefault(row.account, [0, 0, 0]), row)
        add(evidence.lasting_by_account.setdefault(row.account, [0.0, 0.0, 0.0]), row)
        note_fingerprints(evidence, tick, sample)
        note_hard_run(evidence, tick, sample.upstream, row)


def add_latencies(evidence, sample):
    """Add a sample's latencies to the pool's histogram."""
    weight_by_bucket = evidence.weight_by_bucket
    for bucket in sample.latencies:
        weight_by_bucket[bucket] = weight_by_bucket.get(bucket, 0.0) + 1.0


def note_fingerprints(evidence, tick, sample):
    """Remember at which upstreams a request broke its connection."""
    for fingerprint in sample.fingerprints:
        tick_by_upstream = evidence.upstreams_by_fingerprint.setdefault(fingerprint, {})
        tick_by_upstream[sample.upstream] = tick


def note_hard_run(evidence, tick, upstream, row):
    """Continue or end an upstream's run of failures without an answer."""
    if row.requests > row.hard:
        evidence.hard_run_by_upstream.pop(upstream, None)
        return
    if not row.hard:
        return
    run = evidence.hard_run_by_upstream.setdefault(upstream, HardRun())
    run.count += row.hard
    run.hosts.add(row.host)
    run.zones.add(row.zone)
    run.accounts.add(row.account)
    run.ticks.add(tick)
    run.fingerprints.extend(row.fingerprints)


def forget(evidence, upstream):
    """Drop what is known of an upstream whose standing changed."""
    evidence.hard_run_by_upstream.pop(upstream, None)
    sums = evidence.sums_by_upstream.pop(upstream, None)
    if sums is None:
        return
    for position, value in enumerate(sums):
        evidence.sums[position] -= value
    for second in evidence.seconds:
        for row in second.rows_by_upstream.pop(upstream, ()):
            add(second.sums_by_account[row.account], row, -1)


def expire_fingerprints(evidence, tick):
    """Forget fingerprints that broke nothing for a while."""
    old = [
        fingerprint
        for fingerprint, tick_by_upstream in evidence.upstreams_by_fingerprint.items()
        if max(tick_by_upstream.values()) < tick - FINGERPRINT_SECONDS
    ]
    for fingerprint in old:
        del evidence.upstreams_by_fingerprint[fingerprint]

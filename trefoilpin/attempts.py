"""Attempts in flight on this host, and counts of their outcomes.

Each attempt is counted once: when it ends, or earlier if it stalls. After several
consecutive failures without an answer, this host alone avoids the upstream, for a time
that doubles with each repetition.
"""

from typing import NamedTuple

from trefoilpin import reports
from trefoilpin.reports import UNKNOWN_ACCOUNT, Counts, Held
from trefoilpin.services import Attempts
from trefoilpin.verdicts import Reason

__all__ = ["create"]

MIN_STALL_SECONDS = 1.0
STALL_LATENCY_RATIO = 10.0
FAILURES_BEFORE_AVOIDANCE = 3
INITIAL_AVOID_SECONDS = 2.0
MAX_AVOID_SECONDS = 30.0
LATENCY_EWMA_WEIGHT = 0.05


class OpenAttempt(NamedTuple):
    """An attempt in flight."""

    pool: str
    upstream: str
    account: str
    started_at: float


class FailureRun:
    """Consecutive failures at one upstream, and the number of avoidances for them."""

    def __init__(self):
        self.count = 0
        self.avoidances = 0


class AttemptState:
    """Attempts in flight, counts for the next report, and runs of failures."""

    def __init__(self):
        self.number = 0
        self.open_by_number: dict[int, OpenAttempt] = {}
        self.stalled_numbers: set[int] = set()
        self.in_flight_by_upstream: dict[tuple[str, str], int] = {}
        self.counts_by_pool: dict[str, dict[str, dict[str, Counts]]] = {}
        self.failure_run_by_upstream: dict[tuple[str, str], FailureRun] = {}
        self.mean_seconds_by_pool: dict[str, float] = {}


def is_hard(attempt):
    """Return whether an attempt got no answer and the upstream is the cause."""
    return attempt.answer is None and attempt.reason in (
        Reason.UPSTREAM_UNREACHABLE,
        Reason.UPSTREAM_BROKEN,
        Reason.UPSTREAM_TIMEOUT,
    )


def create(kernel):
    """Create the service ``attempts``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Attempts
    """
    state = AttemptState()
    now = kernel.clock.now
    upstream_states = kernel.find("upstream_states")
    in_flight_by_upstream = state.in_flight_by_upstream

    def begin(pool, upstream, account):
        """Register an attempt as in flight and return its number."""
        state.number += 1
        account = account or UNKNOWN_ACCOUNT
        state.open_by_number[state.number] = OpenAttempt(pool, upstream, account, now())
        key = (pool, upstream)
        in_flight_by_upstream[key] = in_flight_by_upstream.get(key, 0) + 1
        return state.number

    def find_counts(pool, upstream, account):
        counts_by_account_by_upstream = state.counts_by_pool.setdefault(pool, {})
        counts_by_account = counts_by_account_by_upstream.setdefault(upstream, {})
        counts = counts_by_account.get(account)
        if counts is None:
            counts = counts_by_account[account] = Counts()
        return counts

    def end(number, attempt, account, fingerprint):
        """Remove an attempt and count its outcome."""
        open_attempt = state.open_by_number.pop(number, None)
        if open_attempt is None:
            return
        key = (open_attempt.pool, open_attempt.upstream)
        in_flight_by_upstream[key] -= 1
        if not in_flight_by_upstream[key]:
            del in_flight_by_upstream[key]
        update_failure_run(key, attempt)
        if number in state.stalled_numbers:
            state.stalled_numbers.discard(number)
            return
        counts = find_counts(*key, account or UNKNOWN_ACCOUNT)
        reports.count_attempt(counts, attempt, fingerprint)
        if attempt.answer is not None and not attempt.shed:
            mean_seconds = state.mean_seconds_by_pool.get(
                open_attempt.pool, attempt.seconds
            )
            change = LATENCY_EWMA_WEIGHT * (attempt.seconds - mean_seconds)
            state.mean_seconds_by_pool[open_attempt.pool] = mean_seconds + change

    def update_failure_run(key, attempt):
        """Extend or end a run of failures; avoid the upstream if it is long enough."""
        if not is_hard(attempt):
            if attempt.answer is not None:
                state.failure_run_by_upstream.pop(key, None)
            return
        failure_run = state.failure_run_by_upstream.setdefault(key, FailureRun())
        failure_run.count += 1
        if failure_run.count < FAILURES_BEFORE_AVOIDANCE:
            return
        seconds = min(
            INITIAL_AVOID_SECONDS * 2**failure_run.avoidances, MAX_AVOID_SECONDS
        )
        failure_run.avoidances += 1
        upstream_states.avoid_locally(*key, seconds, float(failure_run.count))
        failure_run.count = FAILURES_BEFORE_AVOIDANCE - 1

    def count_stalls():
        """Count the attempts in flight that exceed the stall limit of their pool."""
        instant = now()
        for number, open_attempt in state.open_by_number.items():
            mean_seconds = state.mean_seconds_by_pool.get(open_attempt.pool, 0.0)
            stall_seconds = max(MIN_STALL_SECONDS, STALL_LATENCY_RATIO * mean_seconds)
            if (
                number in state.stalled_numbers
                or instant - open_attempt.started_at < stall_seconds
            ):
                continue
            state.stalled_numbers.add(number)
            counts = find_counts(
                open_attempt.pool, open_attempt.upstream, open_attempt.account
            )
            reports.count_stall(counts)

    def take_samples(pool):
        """Return the counts of a pool since the last call, and reset them."""
        return reports.take_samples(state.counts_by_pool.pop(pool, {}))

    def held(pool, upstreams):
        """Return the requests in flight at the given upstreams of a pool."""
        held_upstreams = []
        for upstream in upstreams:
            in_flight = in_flight_by_upstream.get((pool, upstream.id), 0)
            if in_flight:
                held_upstreams.append(Held(upstream.id, in_flight))
        return tuple(held_upstreams)

    service = Attempts(
        begin,
        end,
        in_flight_by_upstream,
        count_stalls,
        state.counts_by_pool.keys,
        take_samples,
        held,
    )
    kernel.register("attempts", service)
    return service

"""Attempts under way on this host, and what became of those that ended.

Each attempt is counted once: when it ends, or before that when it stalls. A host
that fails to reach an upstream several times in a row avoids it by itself for a
growing time.
"""

from typing import NamedTuple

from trefoilpin import reports
from trefoilpin.reports import UNKNOWN_ACCOUNT, Counts, Held
from trefoilpin.services import Attempts
from trefoilpin.verdicts import Reason

__all__ = ["create"]

STALL_SECONDS = 1.0
STALL_RATIO = 10.0
HARD_FAILURES = 3
AVOID_SECONDS = 2.0
MOST_AVOID_SECONDS = 30.0
LATENCY_WEIGHT = 0.05


class OpenAttempt(NamedTuple):
    """An attempt that has not ended."""

    pool: str
    upstream: str
    account: str
    started_at: float


class HardFailures:
    """Failures in a row at one upstream, and how often it was avoided for them."""

    def __init__(self):
        self.count = 0
        self.avoidances = 0


class AttemptState:
    """Attempts under way, counts to report, failures in a row."""

    def __init__(self):
        self.number = 0
        self.open_by_number: dict[int, OpenAttempt] = {}
        self.stalled: set[int] = set()
        self.in_flight_by_upstream: dict[tuple[str, str], int] = {}
        self.counts_by_pool: dict[str, dict[str, dict[str, Counts]]] = {}
        self.hard_by_upstream: dict[tuple[str, str], HardFailures] = {}
        self.seconds_by_pool: dict[str, float] = {}


def is_hard(attempt):
    """Tell whether an attempt ended without an answer for want of the upstream."""
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
        """Count an attempt as under way and return its number."""
        state.number += 1
        account = account or UNKNOWN_ACCOUNT
        state.open_by_number[state.number] = OpenAttempt(pool, upstream, account, now())
        name = (pool, upstream)
        in_flight_by_upstream[name] = in_flight_by_upstream.get(name, 0) + 1
        return state.number

    def counts_for(pool, upstream, account):
        counts_by_account_by_upstream = state.counts_by_pool.setdefault(pool, {})
        counts_by_account = counts_by_account_by_upstream.setdefault(upstream, {})
        counts = counts_by_account.get(account)
        if counts is None:
            counts = counts_by_account[account] = Counts()
        return counts

    def end(number, attempt, account, fingerprint):
        """Count the outcome of an attempt."""
        opened = state.open_by_number.pop(number, None)
        if opened is None:
            return
        name = (opened.pool, opened.upstream)
        in_flight_by_upstream[name] -= 1
        if not in_flight_by_upstream[name]:
            del in_flight_by_upstream[name]
        note_reach(name, attempt)
        if number in state.stalled:
            state.stalled.discard(number)
            return
        counts = counts_for(*name, account or UNKNOWN_ACCOUNT)
        reports.count_attempt(counts, attempt, fingerprint)
        if attempt.answer is not None and not attempt.shed:
            before = state.seconds_by_pool.get(opened.pool, attempt.seconds)
            change = LATENCY_WEIGHT * (attempt.seconds - before)
            state.seconds_by_pool[opened.pool] = before + change

    def note_reach(name, attempt):
        """Continue or end a run of failures; avoid the upstream after several."""
        if not is_hard(attempt):
            if attempt.answer is not None:
                state.hard_by_upstream.pop(name, None)
            return
        hard = state.hard_by_upstream.setdefault(name, HardFailures())
        hard.count += 1
        if hard.count < HARD_FAILURES:
            return
        seconds = min(AVOID_SECONDS * 2**hard.avoidances, MOST_AVOID_SECONDS)
        hard.avoidances += 1
        upstream_states.avoid_locally(*name, seconds, float(hard.count))
        hard.count = HARD_FAILURES - 1

    def count_stalls():
        """Count attempts that have not ended within the limit."""
        at = now()
        for number, opened in state.open_by_number.items():
            usual = state.seconds_by_pool.get(opened.pool, 0.0)
            limit = max(STALL_SECONDS, STALL_RATIO * usual)
            if number in state.stalled or at - opened.started_at < limit:
                continue
            state.stalled.add(number)
            counts = counts_for(opened.pool, opened.upstream, opened.account)
            reports.count_stall(counts)

    def take_samples(pool):
        """Return what was counted for a pool since the last time."""
        return reports.take_samples(state.counts_by_pool.pop(pool, {}))

    def held(pool, upstreams):
        """Return what runs on the given upstreams of a pool."""
        found = []
        for upstream in upstreams:
            in_flight = in_flight_by_upstream.get((pool, upstream.id), 0)
            if in_flight:
                found.append(Held(upstream.id, in_flight))
        return tuple(found)

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

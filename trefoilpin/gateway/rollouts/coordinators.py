"""Coordination of rollouts by one host: stages, verdicts and the status in the store.

The first host in the order of store readers coordinates. When its stages no longer
arrive, the next one in the order continues from the stage and the counts that it heard.
Two hosts that coordinate at once, on both sides of a cut, do no harm: shares are
relative to the requests of each side, and the store takes the status of one of them.
"""

from collections import deque
from typing import Any, Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.rollouts import decisions, evidence_counts
from trefoilpin.gateway.rollouts.decisions import Action, RolloutView
from trefoilpin.gateway.rollouts.records import (
    COMPLETE,
    ROLLED_BACK,
    RUNNING,
    StageRecord,
)
from trefoilpin.gateway.store.document_cache import CONFIGURATION, ROLLOUTS

__all__ = ["Coordinators", "create"]

STEP_INTERVAL_SECONDS = 0.2
FINAL_STATES = (COMPLETE, ROLLED_BACK)
# The first host continues a rollout whose coordinator has issued nothing for this time;
# each one after it in the order waits longer.
TAKE_OVER_SECONDS = 0.7
TAKE_OVER_RANK_SECONDS = 0.8
MAX_RANK = 3
# Without a list of orders this recent, no stage follows.
MAX_ORDER_AGE_SECONDS = 3.0
# Failures that begin late show best in a short period.
RECENT_SECONDS = 2.0
MIN_WRITE_PAUSE_SECONDS = 0.3
# A written status is read again within this time.
MAX_STATUS_DELAY_SECONDS = 2.0
# Part of a route's target time in which nearly all requests of the old version end.
DRAIN_TARGET_SHARE = 0.9


class Coordinators(NamedTuple):
    """``rollout_coordinators``: ``step()`` coordinates once; a task calls it."""

    step: Callable[[], None]


class Progress:
    """What the coordinator of one order keeps between its steps.

    Attributes
    ----------
    key : tuple
        Generation and term of the records that this host issues.
    stage_counts : dict
        Counts at the beginning of the stage.
    history : deque
        Times and counts of the last steps.
    writing : str
        State that is being written, or empty.
    written : tuple
        State that was written last, and when.
    """

    def __init__(self, key, counts):
        self.key = key
        self.stage_counts = counts
        self.history: deque[tuple[float, dict]] = deque()
        self.writing = ""
        self.write_after = float("-inf")
        self.written: tuple[str, float] = ("", float("-inf"))


def count_sent(counts_by_key, is_target):
    """Return the requests sent to the target version or the others, and those ended."""
    sent = ended = 0
    for key, counts in counts_by_key.items():
        if key.is_target == is_target and not key.upstream:
            sent += counts.sent
            ended += counts.ended
    return sent, ended


def longest_target(configuration, pool):
    """Return the longest target time of the routes to a pool, in seconds."""
    longest = 0.0
    for route_by_prefix in configuration.routes_by_prefix_by_host.values():
        for route in route_by_prefix.values():
            if any(weighted.pool == pool for weighted in route.weighted_pools):
                longest = max(longest, route.target)
    return longest


def create(kernel, bounds, rank, startup_delay):
    """Create the service ``rollout_coordinators``.

    Parameters
    ----------
    kernel : Kernel
    bounds : RolloutBounds
    rank : callable
        Returns this host's position in the order of store readers, from 0.
    startup_delay : callable
        Returns the seconds after the start in which this host does not coordinate.

    Returns
    -------
    Coordinators
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    store = kernel.find("store")
    document_cache = kernel.find("document_cache")
    rollouts = kernel.find("rollouts")
    started_at = now()
    progress_by_pool: dict[str, Progress] = {}

    def step():
        rollouts.check_overdue()
        rollouts.orders.check_missing()
        is_starting = now() - started_at < startup_delay()
        for pool, rollout in rollouts.orders.list_all():
            order, record = rollout.order, rollout.record
            if order is None or order.target_version != record.target:
                progress_by_pool.pop(pool, None)
                continue
            if is_starting:
                continue
            if record.state != RUNNING or order.state in FINAL_STATES:
                settle(rollout)
            elif may_coordinate(pool, rollout):
                coordinate(rollout, progress_by_pool[pool])

    def settle(rollout):
        """Bring the status in the store and the state that hosts hear of together.

        The status may be missing or older, as the store was restored from a copy.
        """
        order, record = rollout.order, rollout.record
        if rank() > 0:
            return
        if order.state in FINAL_STATES:
            if record.state == RUNNING:
                issue_state(rollout, order.state)
            return
        if record.state in FINAL_STATES:
            key = (record.generation, record.term)
            progress = progress_by_pool.setdefault(record.pool, Progress(key, {}))
            write_status(rollout, progress, record.state)

    def may_coordinate(pool, rollout):
        """Tell whether this host coordinates; take over from a host that is silent."""
        record = rollout.record
        progress = progress_by_pool.get(pool)
        is_own = progress is not None and progress.key == (
            record.generation,
            record.term,
        )
        if rank() > MAX_RANK:
            return False
        if is_own:
            return True
        silence = now() - rollout.issued_at
        limit = TAKE_OVER_SECONDS + TAKE_OVER_RANK_SECONDS * rank()
        if silence <= limit and (record.term or rank()):
            return False
        term = record.term + 1
        counts = rollout.counts.total()
        progress_by_pool[pool] = Progress((record.generation, term), counts)
        emit(
            events.ROLLOUT_TAKEN_OVER,
            pool=pool,
            target=record.target,
            term=term,
            stage=record.stage,
            silence=round(silence, 3),
        )
        issue(rollout, record._replace(term=term, sequence=0))
        return True

    def issue(rollout, record):
        """Put a record in force here, from where it goes to the other hosts."""
        rollouts.orders.merge(
            record._replace(
                age=0.0,
                stage_age=now() - rollout.stage_at,
                order_age=now() - rollout.ordered_at,
            )
        )

    def coordinate(rollout, progress):
        order, record = rollout.order, rollout.record
        if not order.state:
            write_status(rollout, progress, RUNNING)
        if progress.writing == COMPLETE:
            issue_stage(rollout, record.stage, record.share, record.canaries)
            return
        counts = rollout.counts.total()
        view = create_view(rollout, progress, counts)
        verdict = decisions.decide(view, bounds)
        apply_verdict(rollout, progress, verdict, view, counts)

    def create_view(rollout, progress, counts):
        pool, target = rollout.record.pool, rollout.record.target
        while progress.history and (
            now() - progress.history[0][0] > RECENT_SECONDS
            and len(progress.history) > 1
        ):
            progress.history.popleft()
        earlier = progress.history[0][1] if progress.history else counts
        progress.history.append((now(), counts))
        sent_old, ended_old = count_sent(counts, False)
        since_stage = evidence_counts.subtract(counts, progress.stage_counts)
        since_earlier = evidence_counts.subtract(counts, earlier)
        configuration = document_cache.value(CONFIGURATION)
        new_upstreams = len(rollouts.usable(pool, target))
        return RolloutView(
            elapsed=now() - rollout.ordered_at,
            duration=rollout.order.duration,
            stage=rollout.record.stage,
            stage_elapsed=now() - rollout.stage_at,
            sent_old=sent_old,
            sent_new=count_sent(counts, True)[0],
            in_flight_old=max(sent_old - ended_old, 0),
            whole=evidence_counts.build_evidence(counts),
            stage_evidence=evidence_counts.build_evidence(since_stage),
            recent=evidence_counts.build_evidence(since_earlier),
            stage_responses=count_sent(since_stage, True)[1],
            old_upstreams=len(rollouts.usable(pool, target, is_target=False)),
            new_upstreams=new_upstreams,
            used_upstreams=rollout.record.canaries or new_upstreams,
            drain_seconds=longest_target(configuration, pool) * DRAIN_TARGET_SHARE,
            may_advance=document_cache.age(ROLLOUTS) <= MAX_ORDER_AGE_SECONDS,
        )

    def apply_verdict(rollout, progress, verdict, view, counts):
        if verdict.action is not Action.WAIT:
            metrics.count(f'rollout_verdicts{{verdict="{verdict.action.value}"}}')
            log_verdict(rollout, verdict, view)
        if verdict.action is Action.ADVANCE:
            progress.stage_counts = counts
            rollout.stage_at = now()
        if verdict.action is Action.ROLL_BACK:
            issue_state(rollout, ROLLED_BACK)
            write_status(rollout, progress, ROLLED_BACK)
            return
        issue_stage(rollout, verdict.stage, verdict.share, verdict.canaries)
        if verdict.action is Action.COMPLETE:
            write_status(rollout, progress, COMPLETE)

    def log_verdict(rollout, verdict, view):
        total = decisions.join_routes(view.whole)
        emit(
            events.ROLLOUT_DECIDED,
            pool=rollout.record.pool,
            target=rollout.record.target,
            verdict=verdict.action.value,
            stage=verdict.stage,
            reason=verdict.reason,
            seconds=round(view.elapsed, 3),
            sent=view.sent_new,
            sent_old=view.sent_old,
            bad=total.new.bad,
            bad_old=total.old.bad,
        )

    def issue_stage(rollout, stage, share, canaries):
        record = rollout.record
        changed = record._replace(
            sequence=record.sequence + 1, stage=stage, share=share, canaries=canaries
        )
        issue(rollout, changed)

    def issue_state(rollout, state):
        record: StageRecord = rollout.record
        changed = record._replace(
            sequence=record.sequence + 1, state=state, share=0.0, canaries=0
        )
        issue(rollout, changed)

    def write_status(rollout, progress, state):
        """Start to write the status, unless a write is under way or its result due."""
        if progress.writing or now() < progress.write_after:
            return
        written, written_at = progress.written
        if written == state and now() - written_at < MAX_STATUS_DELAY_SECONDS:
            return
        progress.writing = state
        kernel.spawn(run_write, rollout, progress, rollout.order, state)

    def run_write(rollout, progress, order, state):
        status = {"state": state, "targetVersion": order.target_version}
        fields: dict[str, Any] = {
            "pool": order.pool,
            "target": order.target_version,
            "state": state,
        }
        try:
            outcome = store.write_status(ROLLOUTS, order.id, order.content, status)
        finally:
            progress.writing = ""
            progress.write_after = now() + MIN_WRITE_PAUSE_SECONDS
        if isinstance(outcome, Failure):
            metrics.count("rollout_status_writes_failed")
            failure = outcome.failure()
            emit(
                events.ROLLOUT_STATUS_FAILED,
                **fields,
                conflict=failure.is_conflict,
                detail=failure.detail,
            )
            return
        progress.written = (state, now())
        emit(events.ROLLOUT_STATUS_WRITTEN, **fields)
        is_same = rollout.record.target == order.target_version
        if state == COMPLETE and is_same and rollout.record.state == RUNNING:
            issue_state(rollout, COMPLETE)

    def start():
        interval = STEP_INTERVAL_SECONDS
        kernel.spawn(repeat, kernel.clock.sleep, lambda: interval, step)

    service = Coordinators(step)
    kernel.register("rollout_coordinators", service, start)
    return service

"""Coordination of a pool: ejection, re-admission and slow start of its upstreams.

The coordinator is chosen by rendezvous hashing among the live hosts of a region. It
evaluates the health reports of all hosts and publishes upstream states. Two hosts that
both consider themselves the coordinator do no harm: every host enforces the floor
itself when it chooses an upstream, and only one coordinator can give grants.
"""

from typing import NamedTuple

from trefoilpin import events, evidence, outliers, ramps
from trefoilpin.evidence import PoolEvidence
from trefoilpin.reports import PoolReply
from trefoilpin.services import Coordinators
from trefoilpin.upstream_states import State

__all__ = ["create"]

STEP_INTERVAL_SECONDS = 0.25
INITIAL_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 300.0
RENEWAL_INTERVAL_SECONDS = 5.0
REPUBLISH_INTERVAL_SECONDS = 100.0
COMMON_CAUSE_WINDOW_SECONDS = 10.0
COMMON_CAUSE_SHARE = 1 / 3
FLAPPING_WINDOW_SECONDS = 600.0


class Ejection(NamedTuple):
    """An ejection, and how many preceded it in a row."""

    started_at: float
    expires_at: float
    times: int


class CoordinatorState:
    """Evidence and ejections by pool, and what was last published."""

    def __init__(self):
        self.evidence_by_pool: dict[str, PoolEvidence] = {}
        self.sequence_by_pool_and_host: dict[tuple[str, str], int] = {}
        self.ejection_by_upstream: dict[tuple[str, str], Ejection] = {}
        self.published_at_by_pool: dict[str, float] = {}
        self.published_counter_by_pool: dict[str, int] = {}
        self.ejection_subscribers: list = []


def create(kernel):
    """Create the service ``coordinators``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Coordinators
    """
    state = CoordinatorState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    configurations = kernel.find("configurations")
    upstream_states = kernel.find("upstream_states")
    drains = kernel.find("drains")
    slow_starts = kernel.find("slow_starts")

    def receive(sender, report):
        """Record a host's report; return a ``PoolReply`` for each of its pools.

        A pool that was already in a later report of the same host is ignored.
        """
        replies = []
        for item in report.pools:
            if item.pool not in configurations.pools_by_id:
                continue
            key = (item.pool, sender)
            if report.sequence <= state.sequence_by_pool_and_host.get(key, 0):
                continue
            state.sequence_by_pool_and_host[key] = report.sequence
            replies.append(receive_pool(sender, report.zone, item))
        return tuple(replies)

    def receive_pool(sender, zone, report):
        pool_evidence = state.evidence_by_pool.setdefault(report.pool, PoolEvidence())
        view = upstream_states.pool_view(configurations.pools_by_id[report.pool])
        cold = frozenset(upstream.id for upstream in view.cold)
        evidence.add_samples(
            pool_evidence, int(now()), sender, zone, report.samples, cold
        )
        for upstream in report.draining:
            drains.report(report.pool, upstream, "host")
        observe_slow_starts(report, view.cold)
        grants = slow_starts.grant(sender, report)
        entries = upstream_states.entries(report.pool)
        if report.known == upstream_states.counter_total(report.pool):
            ejected = State.EJECTED.value
            entries = tuple(entry for entry in entries if entry.state == ejected)
        return PoolReply(report.pool, entries, grants, drains.draining(report.pool))

    def observe_slow_starts(report, cold):
        for upstream in cold:
            samples = [item for item in report.samples if item.upstream == upstream.id]
            if samples:
                ramps.observe(slow_starts.ramp_of(report.pool, upstream.id), samples)

    def step():
        """Run one round of decisions on every pool that this host coordinates."""
        for pool in tuple(configurations.pools_by_id.values()):
            if slow_starts.coordinator_since(pool.id) is None:
                drop_pool(pool)
                continue
            mark_unavailable_cold(pool)
            eject_outliers(pool)
            readmit_expired(pool)
            advance_slow_starts(pool)
            publish(pool)

    def drop_pool(pool):
        if state.evidence_by_pool.pop(pool.id, None) is None:
            return
        for key in [key for key in state.ejection_by_upstream if key[0] == pool.id]:
            del state.ejection_by_upstream[key]

    def mark_unavailable_cold(pool):
        """Mark draining upstreams and those of zones that are out as cold."""
        for exclusion in upstream_states.pool_view(pool).exclusion_by_id.values():
            if exclusion.reason not in ("draining", "zone_out"):
                continue
            entry = upstream_states.entry_for(pool.id, exclusion.upstream)
            if entry is not None and entry.state == State.WARM.value:
                restart_slow_start(pool, exclusion.upstream)

    def restart_slow_start(pool, upstream, times=0):
        upstream_states.set_state(pool.id, upstream, State.COLD, times=times)
        slow_starts.restart(pool.id, upstream)
        drop_evidence(pool, upstream)

    def drop_evidence(pool, upstream):
        if pool.id in state.evidence_by_pool:
            evidence.drop_upstream(state.evidence_by_pool[pool.id], upstream)

    def eject_outliers(pool):
        pool_evidence = state.evidence_by_pool.get(pool.id)
        if pool_evidence is None:
            return
        zone_by_upstream = {
            item.id: item.zone for item in upstream_states.pool_view(pool).warm
        }
        pool_outliers = outliers.find_outliers(
            pool_evidence, int(now()), zone_by_upstream
        )
        if not pool_outliers or has_common_cause(pool, pool_outliers):
            return
        for outlier in pool_outliers:
            view = upstream_states.pool_view(pool)
            if view.excluded_count >= view.max_excluded:
                return
            eject(pool, outlier)

    def has_common_cause(pool, pool_outliers):
        """Return whether too many upstreams degraded together for separate causes."""
        recent = 0
        for key, ejection in state.ejection_by_upstream.items():
            is_recent = now() - ejection.started_at < COMMON_CAUSE_WINDOW_SECONDS
            recent += key[0] == pool.id and is_recent
        max_outliers = max(1, int(len(pool.upstreams) * COMMON_CAUSE_SHARE))
        if len(pool_outliers) + recent <= max_outliers:
            return False
        names = ",".join(sorted(item.upstream for item in pool_outliers))
        emit(events.COMMON_CAUSE, pool=pool.id, upstreams=names, recent=recent)
        return True

    def eject(pool, outlier):
        share = outlier.bad / outlier.requests
        times = record_ejection(pool, outlier.upstream)
        entry = upstream_states.set_state(
            pool.id, outlier.upstream, State.EJECTED, share, times
        )
        for function in state.ejection_subscribers:
            function(pool.id, entry)
        drop_evidence(pool, outlier.upstream)
        emit(
            events.UPSTREAM_EJECTED,
            pool=pool.id,
            upstream=outlier.upstream,
            kind=outlier.kind,
            requests=outlier.requests,
            bad=outlier.bad,
            expected=round(outlier.expected, 4),
            hosts=outlier.hosts,
            zones=outlier.zones,
            times=times,
        )

    def record_ejection(pool, upstream):
        """Record an ejection, longer than the previous; return how many in a row."""
        key = (pool.id, upstream)
        previous = state.ejection_by_upstream.get(key)
        instant = now()
        times = 1
        if (
            previous is not None
            and instant - previous.expires_at < FLAPPING_WINDOW_SECONDS
        ):
            times = previous.times + 1
        state.ejection_by_upstream[key] = Ejection(
            instant, instant + ejection_seconds(times), times
        )
        return times

    def ejection_seconds(times):
        return min(INITIAL_EJECTION_SECONDS * 2 ** (times - 1), MAX_EJECTION_SECONDS)

    def readmit_expired(pool):
        """Start slow start for upstreams whose ejection has expired."""
        for entry in upstream_states.entries(pool.id):
            if entry.state != State.EJECTED.value:
                continue
            key = (pool.id, entry.upstream)
            ejection = state.ejection_by_upstream.get(key)
            if ejection is None:
                ends_at = now() + ejection_seconds(entry.times)
                ejection = Ejection(now(), ends_at, entry.times)
                state.ejection_by_upstream[key] = ejection
            if now() < ejection.expires_at:
                continue
            restart_slow_start(pool, entry.upstream, entry.times)
            emit(
                events.UPSTREAM_READMITTED,
                pool=pool.id,
                upstream=entry.upstream,
                seconds=round(now() - ejection.started_at, 1),
                times=entry.times,
            )

    def advance_slow_starts(pool):
        pool_evidence = state.evidence_by_pool.get(pool.id)
        median_bucket = (
            pool_evidence.median_bucket if pool_evidence is not None else None
        )
        for upstream in upstream_states.pool_view(pool).cold:
            ramp = slow_starts.ramp_of(pool.id, upstream.id)
            step = ramps.advance(ramp, upstream.slots, median_bucket, now())
            if step is ramps.Step.HELD:
                continue
            emit(
                events.SLOW_START_STEP,
                pool=pool.id,
                upstream=upstream.id,
                step=step.value,
                level=ramp.level,
            )
            if step is ramps.Step.WARM:
                upstream_states.set_state(pool.id, upstream.id, State.WARM)
                slow_starts.restart(pool.id, upstream.id)
                drop_evidence(pool, upstream.id)
            if step is ramps.Step.FAILED:
                fail_slow_start(pool, upstream, ramp)

    def fail_slow_start(pool, upstream, ramp):
        """Eject an upstream whose slow start failed."""
        slow_starts.restart(pool.id, upstream.id)
        entry = upstream_states.entry_for(pool.id, upstream.id)
        is_ejected = entry is not None and entry.state == State.EJECTED.value
        if is_ejected or pool_fails_alike(pool, ramp):
            return
        requests = max(ramp.total_requests, 1)
        bad = max(ramp.total_failures, 1)
        outlier = outliers.Outlier(
            upstream.id, "slow_start", requests, bad, 0.0, 0.0, 0, 0
        )
        eject(pool, outlier)

    def pool_fails_alike(pool, ramp):
        """Return whether the pool fails at least half as often as the cold upstream."""
        pool_evidence = state.evidence_by_pool.get(pool.id)
        if (
            pool_evidence is None
            or not pool_evidence.sums[0]
            or not ramp.total_requests
        ):
            return False
        return (
            pool_evidence.sums[1] / pool_evidence.sums[0]
            > ramp.total_failures / ramp.total_requests / 2
        )

    def publish(pool):
        """Publish upstream states that changed or are due for renewal."""
        current_counter = upstream_states.counter_total(pool.id)
        if not current_counter:
            return
        entries = upstream_states.entries(pool.id)
        ejected_entries = [
            entry for entry in entries if entry.state == State.EJECTED.value
        ]
        upstream_states.merge(pool.id, ejected_entries)
        interval = (
            RENEWAL_INTERVAL_SECONDS if ejected_entries else REPUBLISH_INTERVAL_SECONDS
        )
        age = now() - state.published_at_by_pool.get(
            pool.id, -REPUBLISH_INTERVAL_SECONDS
        )
        if (
            current_counter == state.published_counter_by_pool.get(pool.id)
            and age < interval
        ):
            return
        upstream_states.publish(pool.id)
        state.published_counter_by_pool[pool.id] = current_counter
        state.published_at_by_pool[pool.id] = now()

    def run_forever():
        while True:
            kernel.clock.sleep(STEP_INTERVAL_SECONDS)
            step()

    service = Coordinators(receive, step, state.ejection_subscribers.append)
    kernel.register("coordinators", service, lambda: kernel.spawn(run_forever))
    return service

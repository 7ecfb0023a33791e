"""The coordinator of a pool: ejects, re-admits and warms up its upstreams.

Any host can be one; which is decided by rendezvous among the live hosts of a
region. It works on what hosts report and publishes standings. Two hosts that both
believe to be coordinator do no harm: the floor is enforced where the choice is made,
and only one of them can grant.
"""

from typing import NamedTuple

from trefoilpin import events, evidence, outliers, ramps
from trefoilpin.evidence import PoolEvidence
from trefoilpin.reports import PoolReply
from trefoilpin.services import Coordinators
from trefoilpin.upstream_states import State

__all__ = ["create"]

STEP_SECONDS = 0.25
EJECTION_SECONDS = 10.0
MOST_EJECTION_SECONDS = 300.0
RENEW_SECONDS = 5.0
REPUBLISH_SECONDS = 100.0
COMMON_CAUSE_SECONDS = 10.0
COMMON_CAUSE_SHARE = 1 / 3
FLAPPING_SECONDS = 600.0


class Ejection(NamedTuple):
    """An ejection as its coordinator keeps it."""

    since: float
    until: float
    times: int


class CoordinatorState:
    """Evidence, ejections and what was published."""

    def __init__(self):
        self.evidence_by_pool: dict[str, PoolEvidence] = {}
        self.sequence_by_pool_and_host: dict[tuple[str, str], int] = {}
        self.ejection_by_upstream: dict[tuple[str, str], Ejection] = {}
        self.published_at_by_pool: dict[str, float] = {}
        self.published_by_pool: dict[str, int] = {}
        self.ejection_functions: list = []


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
        """Take in a host's report; return a ``PoolReply`` for each of its pools.

        A pool that a later report of the same host held brings no reply.
        """
        replies = []
        for item in report.pools:
            if item.pool not in configurations.pools_by_id:
                continue
            name = (item.pool, sender)
            if report.sequence <= state.sequence_by_pool_and_host.get(name, 0):
                continue
            state.sequence_by_pool_and_host[name] = report.sequence
            replies.append(receive_pool(sender, report.zone, item))
        return tuple(replies)

    def receive_pool(sender, zone, report):
        found = state.evidence_by_pool.setdefault(report.pool, PoolEvidence())
        view = upstream_states.pool_view(configurations.pools_by_id[report.pool])
        cold = frozenset(upstream.id for upstream in view.cold)
        evidence.add_samples(found, int(now()), sender, zone, report.samples, cold)
        for upstream in report.draining:
            drains.report(report.pool, upstream, "host")
        observe_cold(report, view.cold)
        grants = slow_starts.grant(sender, report)
        entries = upstream_states.entries(report.pool)
        if report.known == upstream_states.counter_total(report.pool):
            ejected = State.EJECTED.value
            entries = tuple(entry for entry in entries if entry.state == ejected)
        return PoolReply(report.pool, entries, grants, drains.draining(report.pool))

    def observe_cold(report, cold):
        for upstream in cold:
            samples = [item for item in report.samples if item.upstream == upstream.id]
            if samples:
                ramps.observe(slow_starts.ramp_of(report.pool, upstream.id), samples)

    def step():
        """Decide once on every pool that this host coordinates."""
        for pool in tuple(configurations.pools_by_id.values()):
            if slow_starts.coordinator_since(pool.id) is None:
                forget_pool(pool)
                continue
            chill_draining(pool)
            eject_outliers(pool)
            readmit(pool)
            advance_cold(pool)
            publish(pool)

    def forget_pool(pool):
        if state.evidence_by_pool.pop(pool.id, None) is None:
            return
        for name in [name for name in state.ejection_by_upstream if name[0] == pool.id]:
            del state.ejection_by_upstream[name]

    def chill_draining(pool):
        """Have an upstream that leaves, or whose zone is out, come back cold."""
        for exclusion in upstream_states.pool_view(pool).exclusion_by_id.values():
            if exclusion.reason not in ("draining", "zone_out"):
                continue
            entry = upstream_states.entry_for(pool.id, exclusion.upstream)
            if entry is not None and entry.state == State.WARM.value:
                restart(pool, exclusion.upstream)

    def restart(pool, upstream, times=0):
        upstream_states.set_state(pool.id, upstream, State.COLD, times=times)
        slow_starts.restart(pool.id, upstream)
        forget_evidence(pool, upstream)

    def forget_evidence(pool, upstream):
        if pool.id in state.evidence_by_pool:
            evidence.forget(state.evidence_by_pool[pool.id], upstream)

    def eject_outliers(pool):
        found = state.evidence_by_pool.get(pool.id)
        if found is None:
            return
        home_by_upstream = {
            item.id: item.zone for item in upstream_states.pool_view(pool).warm
        }
        worst = outliers.find_outliers(found, int(now()), home_by_upstream)
        if not worst or is_common(pool, worst):
            return
        for outlier in worst:
            view = upstream_states.pool_view(pool)
            if view.excluded_count >= view.max_excluded:
                return
            eject(pool, outlier)

    def is_common(pool, worst):
        """Tell whether so many got worse together that the cause is common."""
        recent = 0
        for name, ejection in state.ejection_by_upstream.items():
            is_recent = now() - ejection.since < COMMON_CAUSE_SECONDS
            recent += name[0] == pool.id and is_recent
        most = max(1, int(len(pool.upstreams) * COMMON_CAUSE_SHARE))
        if len(worst) + recent <= most:
            return False
        names = ",".join(sorted(item.upstream for item in worst))
        emit(events.COMMON_CAUSE, pool=pool.id, upstreams=names, recent=recent)
        return True

    def eject(pool, outlier):
        share = outlier.bad / outlier.requests
        times = count_ejection(pool, outlier.upstream)
        entry = upstream_states.set_state(
            pool.id, outlier.upstream, State.EJECTED, share, times
        )
        for function in state.ejection_functions:
            function(pool.id, entry)
        forget_evidence(pool, outlier.upstream)
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

    def count_ejection(pool, upstream):
        """Note an ejection, longer each time it follows soon; return how many."""
        name = (pool.id, upstream)
        before = state.ejection_by_upstream.get(name)
        at = now()
        times = 1
        if before is not None and at - before.until < FLAPPING_SECONDS:
            times = before.times + 1
        state.ejection_by_upstream[name] = Ejection(at, at + duration(times), times)
        return times

    def duration(times):
        return min(EJECTION_SECONDS * 2 ** (times - 1), MOST_EJECTION_SECONDS)

    def readmit(pool):
        """Let upstreams whose ejection is over into slow start."""
        for entry in upstream_states.entries(pool.id):
            if entry.state != State.EJECTED.value:
                continue
            name = (pool.id, entry.upstream)
            ejection = state.ejection_by_upstream.get(name)
            if ejection is None:
                ends_at = now() + duration(entry.times)
                ejection = Ejection(now(), ends_at, entry.times)
                state.ejection_by_upstream[name] = ejection
            if now() < ejection.until:
                continue
            restart(pool, entry.upstream, entry.times)
            emit(
                events.UPSTREAM_READMITTED,
                pool=pool.id,
                upstream=entry.upstream,
                seconds=round(now() - ejection.since, 1),
                times=entry.times,
            )

    def advance_cold(pool):
        found = state.evidence_by_pool.get(pool.id)
        usual = found.usual if found is not None else None
        for upstream in upstream_states.pool_view(pool).cold:
            ramp = slow_starts.ramp_of(pool.id, upstream.id)
            step = ramps.advance(ramp, upstream.slots, usual, now())
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
                forget_evidence(pool, upstream.id)
            if step is ramps.Step.FAILED:
                fail(pool, upstream, ramp)

    def fail(pool, upstream, ramp):
        """Eject an upstream that does not get through its slow start."""
        slow_starts.restart(pool.id, upstream.id)
        entry = upstream_states.entry_for(pool.id, upstream.id)
        is_ejected = entry is not None and entry.state == State.EJECTED.value
        if is_ejected or fails_alike(pool, ramp):
            return
        requests = max(ramp.total, 1)
        bad = max(ramp.total_bad, 1)
        outlier = outliers.Outlier(
            upstream.id, "slow_start", requests, bad, 0.0, 0.0, 0, 0
        )
        eject(pool, outlier)

    def fails_alike(pool, ramp):
        """Tell whether the rest of the pool fails as an upstream in slow start."""
        found = state.evidence_by_pool.get(pool.id)
        if found is None or not found.sums[0] or not ramp.total:
            return False
        return found.sums[1] / found.sums[0] > ramp.total_bad / ramp.total / 2

    def publish(pool):
        """Publish standings when they changed, and renew them in time."""
        known = upstream_states.counter_total(pool.id)
        if not known:
            return
        entries = upstream_states.entries(pool.id)
        ejected = [entry for entry in entries if entry.state == State.EJECTED.value]
        upstream_states.merge(pool.id, ejected)
        pause = RENEW_SECONDS if ejected else REPUBLISH_SECONDS
        age = now() - state.published_at_by_pool.get(pool.id, -REPUBLISH_SECONDS)
        if known == state.published_by_pool.get(pool.id) and age < pause:
            return
        upstream_states.publish(pool.id)
        state.published_by_pool[pool.id] = known
        state.published_at_by_pool[pool.id] = now()

    def step_forever():
        while True:
            kernel.clock.sleep(STEP_SECONDS)
            step()

    service = Coordinators(receive, step, state.ejection_functions.append)
    kernel.register("coordinators", service, lambda: kernel.spawn(step_forever))
    return service

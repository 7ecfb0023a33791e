"""Requests of pools with a rollout: which version gets one, and how it ended.

Retries and hedges go to the old version, as they are requests that fared badly once.
"""

from typing import Callable, NamedTuple

from returns.result import Success

from trefoilpin.gateway.balancing import upstream_health
from trefoilpin.gateway.balancing.failure_models import Outcome
from trefoilpin.gateway.balancing.pool_refusals import NO_UPSTREAM
from trefoilpin.gateway.rollouts import (
    order_states,
    traffic_shares,
    version_gates,
)
from trefoilpin.gateway.rollouts.records import (
    COMPLETE,
    RUNNING,
    CountKey,
    CountRow,
    StageRecord,
)
from trefoilpin.gateway.rollouts.traffic_shares import NO_TRAFFIC
from trefoilpin.gateway.store.document_cache import UPSTREAMS, ZONES_OUT

__all__ = ["Rollouts", "create"]

# A response that takes this multiple of the typical time of its route is bad. Versions
# that are several times slower exceed it with half of their responses, others with
# about one in 16 at the usual spread of work.
SLOW_FACTOR = 2.5
MIN_SLOW_SECONDS = 0.3
# An upstream may be slow for this long after the time for which it says it is cold.
COLD_GRACE_SECONDS = 0.5


class Rollouts(NamedTuple):
    """``rollouts``: versions of upstreams under orders.

    ``choose(route, pool, tried, retry_policy, typical_seconds)`` and ``release(choice,
    attempt, typical_seconds)`` are those of ``upstreams``, for the versions that may
    get the request. ``check_overdue()`` counts requests that take far too long as bad.

    ``stage_records()`` and ``count_rows(is_same_zone)`` return what to send to a relay
    of this zone or of another one. ``merge_records(records)`` and ``merge_counts(host,
    zone, rows)`` take what another host sent, and ``subscribe`` has a function called
    after a change of stage. ``orders`` are the states by pool.
    ``usable(pool, version)`` lists the upstreams of a version, or of all others with
    ``is_target`` false.
    """

    choose: Callable
    release: Callable
    check_overdue: Callable[[], None]
    stage_records: Callable[[], tuple[StageRecord, ...]]
    count_rows: Callable[[bool], tuple[CountRow, ...]]
    merge_records: Callable
    merge_counts: Callable
    subscribe: Callable
    orders: order_states.OrderStates
    usable: Callable


class SentRequest:
    """A request in flight at an upstream of a pool with a rollout."""

    def __init__(self, counts, key, upstream, sent_at, slow_at):
        self.counts = counts
        self.key = key
        self.upstream = upstream
        self.sent_at = sent_at
        self.slow_at = slow_at
        self.is_bad = False


def create(kernel, own):
    """Create the service ``rollouts``.

    Parameters
    ----------
    kernel : Kernel
    own : OwnHost

    Returns
    -------
    Rollouts
    """
    now = kernel.clock.now
    metrics = kernel.find("metrics")
    upstreams = kernel.find("upstreams")
    document_cache = kernel.find("document_cache")
    orders = order_states.create(kernel, own.zone)
    gates = version_gates.create(kernel)
    sent_by_number: dict[int, SentRequest] = {}
    cold_until_by_id: dict[str, tuple[int, float]] = {}

    def choose(route, pool, tried, retry_policy, typical_seconds, body_bytes=0):
        arguments = (pool, tried, retry_policy, typical_seconds, body_bytes)
        rollout = orders.find(pool)
        waiting = gates.waiting(pool)
        if rollout is None:
            return upstreams.choose(*arguments, reject_versions(waiting))
        traffic = traffic_of(rollout)
        fraction = find_fraction(rollout, route)
        outcome = NO_UPSTREAM
        is_due = traffic_shares.is_due(fraction, traffic.share)
        if traffic.only_target or (is_due and (traffic.share >= 1.0 or not tried)):
            accepts = accept_target(rollout, traffic.canaries)
            outcome = upstreams.choose(*arguments, accepts)
        if may_use_others(traffic, outcome):
            rejected = excluded_versions(rollout) | waiting
            outcome = upstreams.choose(*arguments, reject_versions(rejected))
        if isinstance(outcome, Success):
            record_sent(rollout, route, outcome.unwrap(), typical_seconds)
            if not tried:
                is_target = is_to_target(rollout, outcome.unwrap())
                rollout.fraction_by_route[route] = traffic_shares.advance(
                    fraction, traffic.share, is_target
                )
        return outcome

    def may_use_others(traffic, outcome):
        """Tell whether a request goes to the old version, also when it was not due."""
        if traffic.only_target or isinstance(outcome, Success):
            return False
        # In the last stage the old version is used only if the new one can't be.
        return traffic.share < 1.0 or outcome is NO_UPSTREAM

    def traffic_of(rollout):
        order, record = rollout.order, rollout.record
        is_same = order is not None and order.target_version == record.target
        if order is not None and not is_same:
            # The record is that of another order, which this host has not read yet.
            record = None
        return traffic_shares.traffic_of(order, record, now() - rollout.issued_at)

    def find_fraction(rollout, route):
        fraction = rollout.fraction_by_route.get(route)
        if fraction is None:
            fraction = traffic_shares.first_fraction(own.address, route)
        return fraction

    def target_of(rollout):
        order = rollout.order
        return rollout.record.target if order is None else order.target_version

    def is_to_target(rollout, choice):
        return choice.upstream.version == target_of(rollout)

    def excluded_versions(rollout):
        """Return the versions that get nothing beside the target's share."""
        excluded = set(rollout.barred)
        if rollout.order is not None:
            excluded.add(rollout.order.target_version)
        if rollout.record.state != COMPLETE:
            excluded.add(rollout.record.target)
        return frozenset(excluded)

    def reject_versions(versions):
        if not versions:
            return None
        return lambda upstream: upstream.version not in versions

    def accept_target(rollout, canaries):
        target = target_of(rollout)
        if not canaries:
            return lambda upstream: upstream.version == target
        usable_upstreams = usable(rollout.record.pool, target)
        ids = traffic_shares.list_canaries(usable_upstreams, canaries)
        return lambda upstream: upstream.id in ids

    def usable(pool, version, is_target=True):
        zones_out = document_cache.value(ZONES_OUT)
        found = []
        for health in upstreams.pool_health(pool):
            upstream = health.upstream
            if (upstream.version == version) != is_target:
                continue
            if upstream.draining or health.is_leaving or upstream.zone in zones_out:
                continue
            found.append(upstream)
        return found

    def record_sent(rollout, route, choice, typical_seconds):
        is_target = is_to_target(rollout, choice)
        key = CountKey(is_target, route, "")
        rollout.counts.add(key, 1, 0, 0)
        metrics.count(f'rollout_requests{{target="{str(is_target).lower()}"}}')
        slow_at = now() + max(typical_seconds * SLOW_FACTOR, MIN_SLOW_SECONDS)
        sent_by_number[choice.number] = SentRequest(
            rollout.counts, key, choice.upstream, now(), slow_at
        )

    def release(choice, attempt, typical_seconds):
        upstreams.release(choice, attempt, typical_seconds)
        sent = sent_by_number.pop(choice.number, None)
        if sent is None:
            return
        is_bad = attempt is not None and (
            upstream_health.classify_attempt(attempt, typical_seconds) is Outcome.FAILED
        )
        if (is_bad or is_slow(sent)) and not sent.is_bad:
            record_bad(sent)
        sent.counts.add(sent.key, 0, 1, 0)
        by_upstream = sent.key._replace(upstream=sent.upstream.id)
        # Upstreams without a bad response need no counts of their own.
        if by_upstream in sent.counts.own():
            sent.counts.add(by_upstream, 0, 1, 0)

    def is_slow(sent):
        """Tell whether a request takes too long, but not because of a cold start."""
        if now() < sent.slow_at:
            return False
        _, cold_until = cold_until_by_id.get(sent.upstream.id, (0, float("-inf")))
        return sent.sent_at > cold_until

    def record_bad(sent):
        sent.is_bad = True
        sent.counts.add(sent.key, 0, 0, 1)
        if sent.key.is_target:
            metrics.count("rollout_bad_responses")
            by_upstream = sent.key._replace(upstream=sent.upstream.id)
            sent.counts.add(by_upstream, 0, 0, 1)

    def check_overdue():
        for sent in list(sent_by_number.values()):
            if not sent.is_bad and is_slow(sent):
                record_bad(sent)

    def update_cold_times(upstream_by_id):
        for upstream_id in set(cold_until_by_id) - set(upstream_by_id):
            del cold_until_by_id[upstream_id]
        for upstream in upstream_by_id.values():
            known = cold_until_by_id.get(upstream.id)
            if known is None or known[0] != upstream.born:
                cold_until = now() + upstream.cold_remaining + COLD_GRACE_SECONDS
                if not upstream.cold_remaining:
                    cold_until = float("-inf")
                cold_until_by_id[upstream.id] = (upstream.born, cold_until)

    def count_rows(is_same_zone):
        """Return the counts for a relay while rollouts run.

        A relay of this zone gets this host's counts and all sums, one of another zone
        only the sums of this zone, as traffic between zones is costly.
        """
        rows: list[CountRow] = []
        for _, rollout in orders.list_all():
            if rollout.order is None or rollout.record.state != RUNNING:
                continue
            if is_same_zone:
                add_rows(rows, rollout, "", rollout.counts.own())
            if not rollout.counts.has_reports():
                continue
            for zone, counts_by_key in rollout.counts.by_zone().items():
                if is_same_zone or zone == own.zone:
                    add_rows(rows, rollout, zone, counts_by_key)
        return tuple(rows)

    def add_rows(rows, rollout, zone, counts_by_key):
        record = rollout.record
        labels = (record.pool, target_of(rollout), record.generation, zone)
        for key, counts in counts_by_key.items():
            rows.append(CountRow(*labels, key, counts))

    def merge_records(records):
        for record in records:
            orders.merge(record)

    def merge_counts(host, zone, rows):
        for row in rows:
            rollout = orders.find(row.pool)
            if rollout is None or row.target != target_of(rollout):
                continue
            if row.generation != rollout.record.generation:
                continue
            if row.zone:
                rollout.counts.merge_zone(row.zone, row.key, row.counts)
            elif zone == own.zone:
                rollout.counts.merge_host(host, row.key, row.counts)

    document_cache.subscribe(UPSTREAMS, update_cold_times)
    metrics.gauge("rollout_share", lambda: largest_share(orders, traffic_of))
    service = Rollouts(
        choose,
        release,
        check_overdue,
        orders.records,
        count_rows,
        merge_records,
        merge_counts,
        orders.subscribe,
        orders,
        usable,
    )
    kernel.register("rollouts", service)
    return service


def largest_share(orders, traffic_of):
    """Return the largest share that a version under trial gets from this host."""
    shares = [traffic_of(rollout).share for _, rollout in orders.list_all()]
    return max(shares, default=NO_TRAFFIC.share)

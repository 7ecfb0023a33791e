"""Load balancing: fewest requests in flight of two random choices, own zone preferred.

Cold upstreams are chosen first while this host has an unused concurrency grant for
them, since only requests warm them up. Other zones get a share of the choices that
makes up for missing upstreams in the own zone, and always a small share, so that the
health of each upstream is observed from several zones.

Source: Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
Transactions on Parallel and Distributed Systems 12(10), 2001.
"""

import zlib
from typing import NamedTuple

from returns.result import Failure, Success

from trefoilpin import caps, events
from trefoilpin.messages import Choice
from trefoilpin.records import Upstream
from trefoilpin.services import Balancers
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

RETRY_AFTER_SECONDS = 1.0
MAX_OWN_ZONE_SHARE = 0.95
OTHER_ZONE_PENALTY = 1

NO_UPSTREAM = Refusal(
    Reason.NO_UPSTREAM,
    Verdict.NOT_RUN,
    "no upstream of the pool is in service",
    RETRY_AFTER_SECONDS,
)
OVERLOADED = Refusal(
    Reason.OVERLOADED,
    Verdict.NOT_RUN,
    "every upstream of the pool that may be used is at its limit",
    RETRY_AFTER_SECONDS,
)


class Candidate(NamedTuple):
    """An upstream with its concurrency limit on this host."""

    upstream: Upstream
    key: tuple[str, str]
    cap: caps.Cap


class PoolIndex(NamedTuple):
    """Upstreams of a pool that this host can choose from.

    Attributes
    ----------
    view : PoolView
        View from which the index was built.
    own_zone, other_zones : tuple of Candidate
        Warm upstreams in this host's zone and in other zones.
    cold : tuple of Upstream
    own_zone_share : float
        Share of the choices that start in the own zone.
    """

    view: object
    own_zone: tuple[Candidate, ...]
    other_zones: tuple[Candidate, ...]
    cold: tuple[Upstream, ...]
    own_zone_share: float


class BalancerState:
    """Pool indexes, concurrency limits, and this host's position in the fleet."""

    def __init__(self):
        self.index_by_pool: dict[str, PoolIndex] = {}
        self.cap_by_upstream: dict[tuple[str, str], caps.Cap] = {}
        self.host_index = 0
        self.fleet_size = 1
        self.own_zone_hosts = 1


def create(kernel):
    """Create the service ``balancers``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Balancers
    """
    state = BalancerState()
    rng = kernel.rng
    now = kernel.clock.now
    emit = kernel.find("events").emit
    memberships = kernel.find("memberships")
    upstream_states = kernel.find("upstream_states")
    slow_starts = kernel.find("slow_starts")
    drains = kernel.find("drains")
    attempts = kernel.find("attempts")
    health = kernel.find("health")
    in_flight_by_upstream = attempts.in_flight_by_upstream

    def on_membership_change():
        own = memberships.own()
        live = memberships.live()
        state.fleet_size = max(len(live), 1)
        state.host_index = live.index(own) if own in live else 0
        state.own_zone_hosts = max(sum(host.zone == own.zone for host in live), 1)
        state.index_by_pool.clear()

    def create_candidate(pool, upstream):
        key = (pool.id, upstream.id)
        host_count = min(state.fleet_size, pool.connections)
        cap = state.cap_by_upstream.get(key)
        if cap is None:
            cap = caps.create_cap(upstream.slots, pool.connections, host_count)
            state.cap_by_upstream[key] = cap
        else:
            caps.resize(cap, upstream.slots, pool.connections, host_count)
        return Candidate(upstream, key, cap)

    def is_in_subset(pool, upstream):
        if state.fleet_size <= pool.connections:
            return True
        offset = zlib.crc32(upstream.id.encode())
        return caps.in_subset(
            state.host_index, offset, state.fleet_size, pool.connections
        )

    def build_index(pool, view):
        own_zone_id = memberships.own().zone
        own_zone, other_zones = [], []
        for upstream in view.warm:
            if not is_in_subset(pool, upstream):
                continue
            group = own_zone if upstream.zone == own_zone_id else other_zones
            group.append(create_candidate(pool, upstream))
        proportional_share = (
            len(own_zone) * state.fleet_size / max(len(own_zone) + len(other_zones), 1)
        )
        own_zone_share = min(
            MAX_OWN_ZONE_SHARE, proportional_share / state.own_zone_hosts
        )
        return PoolIndex(
            view,
            tuple(own_zone),
            tuple(other_zones),
            view.cold,
            own_zone_share,
        )

    def index_of(pool):
        view = upstream_states.pool_view(pool)
        pool_index = state.index_by_pool.get(pool.id)
        if pool_index is None or pool_index.view is not view:
            pool_index = state.index_by_pool[pool.id] = build_index(pool, view)
        return pool_index

    def load_of(candidate):
        return in_flight_by_upstream.get(candidate.key, 0)

    def pick_of_two(group, excluded):
        """Return the less loaded of two random candidates below limit, or None."""
        sampled = [
            group[int(rng.random() * len(group))] for _ in range(2 if group else 0)
        ]
        return pick_least_loaded(sampled, excluded)

    def pick_least_loaded(group, excluded):
        """Return the least loaded candidate below its limit, or None."""
        best = None
        for candidate in group:
            if candidate.upstream.id in excluded:
                continue
            if not caps.may_start(candidate.cap, load_of(candidate), now()):
                continue
            if best is None or load_of(candidate) < load_of(best):
                best = candidate
        return best

    def pick_warm(pool_index, excluded):
        if rng.random() >= pool_index.own_zone_share:
            return pick_of_two(pool_index.other_zones or pool_index.own_zone, excluded)
        own = pick_of_two(pool_index.own_zone, excluded)
        if own is None or not load_of(own):
            return own or pick_of_two(pool_index.other_zones, excluded)
        other = pick_of_two(pool_index.other_zones, excluded)
        if other is not None and load_of(other) + OTHER_ZONE_PENALTY < load_of(own):
            return other
        return own

    def pick_cold(pool, pool_index, excluded):
        for upstream in pool_index.cold:
            if upstream.id in excluded:
                continue
            in_flight = in_flight_by_upstream.get((pool.id, upstream.id), 0)
            if in_flight < slow_starts.units(pool.id, upstream.id):
                return upstream
        return None

    def pick_upstream(pool, pool_index, excluded):
        if pool_index.cold:
            health.record_demand(pool.id)
            upstream = pick_cold(pool, pool_index, excluded)
            if upstream is not None:
                return upstream
        candidate = pick_warm(pool_index, excluded)
        candidate = (
            candidate
            or pick_least_loaded(pool_index.own_zone, excluded)
            or pick_least_loaded(pool_index.other_zones, excluded)
        )
        if candidate is not None:
            return candidate.upstream
        if pool_index.cold and health.ask(pool.id):
            return pick_cold(pool, index_of(pool), excluded)
        return None

    def choose(pool, excluded, account=None):
        pool_index = index_of(pool)
        upstream = pick_upstream(pool, pool_index, excluded)
        if upstream is None:
            usable = [
                item.upstream for item in pool_index.own_zone + pool_index.other_zones
            ]
            usable.extend(pool_index.cold)
            has_untried = any(item.id not in excluded for item in usable)
            return Failure(OVERLOADED if has_untried else NO_UPSTREAM)
        in_flight = in_flight_by_upstream.get((pool.id, upstream.id), 0)
        number = attempts.begin(pool.id, upstream.id, account)
        emit(
            events.UPSTREAM_CHOSEN,
            pool=pool.id,
            upstream=upstream.id,
            zone=upstream.zone,
            in_flight=in_flight,
        )
        return Success(Choice(upstream, pool.id, number))

    def release(choice, attempt, account, fingerprint):
        key = (choice.pool, choice.upstream.id)
        in_flight = in_flight_by_upstream.get(key, 1)
        attempts.end(choice.number, attempt, account, fingerprint)
        if attempt.draining:
            drains.report(*key, "answer")
        cap = state.cap_by_upstream.get(key)
        if cap is None:
            return
        if attempt.shed:
            caps.on_shed(cap, now())
        elif attempt.answer is not None:
            caps.on_success(cap, in_flight, attempt.seconds, now())

    memberships.subscribe(on_membership_change)
    on_membership_change()
    service = Balancers(choose, release)
    kernel.register("balancers", service)
    return service

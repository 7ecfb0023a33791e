"""Choice of an upstream: least in flight of two random choices, own zone first.

Cold upstreams come first while this host holds a grant for them that is not used
up, since only work warms them. A share of the choices goes to other zones, as much
as the own zone lacks in upstreams, and a small one always, so that each upstream is
seen from several zones.

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
MOST_NEAR_SHARE = 0.95
FAR_PENALTY = 1

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
    """An upstream with its place in this host's tables."""

    upstream: Upstream
    name: tuple[str, str]
    cap: caps.Cap


class PoolIndex(NamedTuple):
    """A pool's upstreams as this host chooses among them.

    Attributes
    ----------
    pool_view : PoolView
        What it was made from.
    near, far : tuple of Candidate
        Warm upstreams in the own zone and in others.
    cold : tuple of Upstream
    near_share : float
        Share of the choices made in the own zone.
    """

    view: object
    near: tuple[Candidate, ...]
    far: tuple[Candidate, ...]
    cold: tuple[Upstream, ...]
    near_share: float


class BalancerState:
    """Indexes by pool and caps by upstream."""

    def __init__(self):
        self.index_by_pool: dict[str, PoolIndex] = {}
        self.cap_by_upstream: dict[tuple[str, str], caps.Cap] = {}
        self.position = 0
        self.fleet = 1
        self.near_hosts = 1


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

    def follow_members():
        own = memberships.own()
        live = memberships.live()
        state.fleet = max(len(live), 1)
        state.position = live.index(own) if own in live else 0
        state.near_hosts = max(sum(host.zone == own.zone for host in live), 1)
        state.index_by_pool.clear()

    def candidate(pool, upstream):
        name = (pool.id, upstream.id)
        users = min(state.fleet, pool.connections)
        cap = state.cap_by_upstream.get(name)
        if cap is None:
            cap = caps.create_cap(upstream.slots, pool.connections, users)
            state.cap_by_upstream[name] = cap
        else:
            caps.resize(cap, upstream.slots, pool.connections, users)
        return Candidate(upstream, name, cap)

    def is_in_subset(pool, upstream):
        if state.fleet <= pool.connections:
            return True
        offset = zlib.crc32(upstream.id.encode())
        return caps.in_subset(state.position, offset, state.fleet, pool.connections)

    def build(pool, view):
        own_zone = memberships.own().zone
        near, far = [], []
        for upstream in view.warm:
            if not is_in_subset(pool, upstream):
                continue
            group = near if upstream.zone == own_zone else far
            group.append(candidate(pool, upstream))
        fair = len(near) * state.fleet / max(len(near) + len(far), 1)
        share = min(MOST_NEAR_SHARE, fair / state.near_hosts)
        return PoolIndex(view, tuple(near), tuple(far), view.cold, share)

    def index(pool):
        view = upstream_states.pool_view(pool)
        found = state.index_by_pool.get(pool.id)
        if found is None or found.view is not view:
            found = state.index_by_pool[pool.id] = build(pool, view)
        return found

    def load(item):
        return in_flight_by_upstream.get(item.name, 0)

    def pick_two(group, excluded):
        """Return the less loaded of two random candidates with room, or None."""
        drawn = [
            group[int(rng.random() * len(group))] for _ in range(2 if group else 0)
        ]
        return pick_any(drawn, excluded)

    def pick_any(group, excluded):
        """Return the least loaded candidate with room, or None."""
        best = None
        for item in group:
            if item.upstream.id in excluded:
                continue
            if not caps.may_start(item.cap, load(item), now()):
                continue
            if best is None or load(item) < load(best):
                best = item
        return best

    def pick_warm(found, excluded):
        if rng.random() >= found.near_share:
            return pick_two(found.far or found.near, excluded)
        near = pick_two(found.near, excluded)
        if near is None or not load(near):
            return near or pick_two(found.far, excluded)
        far = pick_two(found.far, excluded)
        if far is not None and load(far) + FAR_PENALTY < load(near):
            return far
        return near

    def pick_cold(pool, found, excluded):
        for upstream in found.cold:
            if upstream.id in excluded:
                continue
            in_flight = in_flight_by_upstream.get((pool.id, upstream.id), 0)
            if in_flight < slow_starts.units(pool.id, upstream.id):
                return upstream
        return None

    def pick(pool, found, excluded):
        if found.cold:
            health.record_demand(pool.id)
            upstream = pick_cold(pool, found, excluded)
            if upstream is not None:
                return upstream
        item = pick_warm(found, excluded)
        item = item or pick_any(found.near, excluded) or pick_any(found.far, excluded)
        if item is not None:
            return item.upstream
        if found.cold and health.ask(pool.id):
            return pick_cold(pool, index(pool), excluded)
        return None

    def choose(pool, excluded, account=None):
        found = index(pool)
        upstream = pick(pool, found, excluded)
        if upstream is None:
            usable = [item.upstream for item in found.near + found.far]
            usable.extend(found.cold)
            is_left = any(item.id not in excluded for item in usable)
            return Failure(OVERLOADED if is_left else NO_UPSTREAM)
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
        name = (choice.pool, choice.upstream.id)
        in_flight = in_flight_by_upstream.get(name, 1)
        attempts.end(choice.number, attempt, account, fingerprint)
        if attempt.draining:
            drains.report(*name, "answer")
        cap = state.cap_by_upstream.get(name)
        if cap is None:
            return
        if attempt.shed:
            caps.on_shed(cap, now())
        elif attempt.answer is not None:
            caps.on_success(cap, in_flight - 1, attempt.seconds, now())

    memberships.subscribe(follow_members)
    follow_members()
    service = Balancers(choose, release)
    kernel.register("balancers", service)
    return service

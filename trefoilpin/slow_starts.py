"""Slow start of cold upstreams, with concurrency granted by the pool's coordinator.

The coordinator keeps a level for each cold upstream: the concurrency of all hosts
together. It doubles after successes (1, 2, 4 and so on), and is halved on overload,
failures or rising latency. Hosts request units of the level. The coordinator counts a
unit as in use until the host reports otherwise, or until the grant has expired and the
longest deadline of a route has passed. A host measures a grant from before its request.

A coordinator gives grants only while it reaches a majority, and only when no grant of
an earlier coordinator can be in use. That is so once every host of the roster has
surrendered its grants and reported its requests in flight, or once this host has been
coordinator for so long that earlier grants and their requests must have ended.
"""

from typing import NamedTuple

from trefoilpin import events, ramps
from trefoilpin.reports import Grant
from trefoilpin.services import SlowStarts

__all__ = ["GRANT_SECONDS", "create"]

GRANT_SECONDS = 2.0
DEFAULT_DEADLINE_SECONDS = 10.0


class OutstandingGrant(NamedTuple):
    """Units that a host may be using, as counted by the coordinator."""

    units: int
    expires_at: float


class HeldGrant(NamedTuple):
    """Units that this host may use."""

    units: int
    expires_at: float


class SlowStartState:
    """Outstanding grants as coordinator, and held grants as host."""

    def __init__(self):
        self.outstanding_by_upstream: dict[
            tuple[str, str], dict[str, OutstandingGrant]
        ] = {}
        self.ramp_by_upstream: dict[tuple[str, str], ramps.Ramp] = {}
        self.grant_by_upstream: dict[tuple[str, str], HeldGrant] = {}
        self.coordinator_since_by_pool: dict[str, float] = {}
        self.membership_changed_at = 0.0
        self.surrendered_by_pool: dict[str, set[str]] = {}


def create(kernel, freshness):
    """Create the service ``slow_starts``.

    Parameters
    ----------
    kernel : Kernel
    freshness : float
        Longest age in seconds of the contact with a majority.

    Returns
    -------
    SlowStarts
    """
    state = SlowStartState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    upstream_states = kernel.find("upstream_states")
    state.membership_changed_at = now()

    def longest_deadline(pool):
        deadlines = [
            route.deadline
            for route in configurations.routes_by_id.values()
            if route.pool == pool
        ]
        return max(deadlines, default=DEFAULT_DEADLINE_SECONDS)

    def is_coordinator(pool):
        own = memberships.own().incarnation
        return memberships.first(f"pool/{pool}").incarnation == own

    def on_membership_change():
        state.membership_changed_at = now()
        for pool in list(state.coordinator_since_by_pool):
            coordinator_since(pool)

    def coordinator_since(pool):
        """Return since when this host is the pool's coordinator; None if it is not."""
        if not is_coordinator(pool):
            state.coordinator_since_by_pool.pop(pool, None)
            state.surrendered_by_pool.pop(pool, None)
            return None
        return state.coordinator_since_by_pool.setdefault(
            pool, state.membership_changed_at
        )

    def pending_hosts(pool):
        """Return the hosts that have not surrendered their grants to this one."""
        own = memberships.own().incarnation
        surrendered = state.surrendered_by_pool.get(pool, ())
        return tuple(
            host
            for host in memberships.roster()
            if host.incarnation != own and host.incarnation not in surrendered
        )

    def record_surrender(host, pool, held):
        """Record that a host surrendered its grants of a pool to this coordinator."""
        replace_outstanding(host, pool, held)
        state.surrendered_by_pool.setdefault(pool, set()).add(host)

    def resign(pool):
        """Stop giving grants, because another host has become coordinator."""
        state.surrendered_by_pool.pop(pool, None)
        if pool in state.coordinator_since_by_pool:
            state.coordinator_since_by_pool[pool] = now()

    def may_grant(pool):
        since = coordinator_since(pool)
        if since is None or not memberships.has_majority():
            return False
        if now() - since >= 2 * freshness + GRANT_SECONDS + longest_deadline(pool):
            return True
        return not pending_hosts(pool)

    def replace_outstanding(sender, pool, held):
        """Replace a host's outstanding grants by its reported requests in flight."""
        expires_at = now() + GRANT_SECONDS + longest_deadline(pool)
        in_flight_by_upstream = {item.upstream: item.in_flight for item in held}
        for (pool_id, upstream), by_host in state.outstanding_by_upstream.items():
            if pool_id == pool and upstream not in in_flight_by_upstream:
                by_host.pop(sender, None)
        for upstream, in_flight in in_flight_by_upstream.items():
            outstanding_by_host = state.outstanding_by_upstream.setdefault(
                (pool, upstream), {}
            )
            outstanding_by_host[sender] = OutstandingGrant(in_flight, expires_at)

    def outstanding_units(pool, upstream):
        """Return the units outstanding, after dropping expired ones."""
        outstanding_by_host = state.outstanding_by_upstream.setdefault(
            (pool, upstream), {}
        )
        instant = now()
        for host in [
            host
            for host, outstanding in outstanding_by_host.items()
            if outstanding.expires_at <= instant
        ]:
            del outstanding_by_host[host]
        return sum(outstanding.units for outstanding in outstanding_by_host.values())

    def ramp_of(pool, upstream):
        key = (pool, upstream)
        ramp = state.ramp_by_upstream.get(key)
        if ramp is None:
            ramp = state.ramp_by_upstream[key] = ramps.Ramp(now())
        return ramp

    def grant(sender, report):
        """Replace a host's outstanding grants and grant requested units if available.

        Parameters
        ----------
        sender : str
        report : PoolReport

        Returns
        -------
        tuple of Grant
        """
        pool = configurations.pools_by_id[report.pool]
        replace_outstanding(sender, pool.id, report.held)
        if not report.wanted or not may_grant(pool.id):
            return ()
        available_by_upstream = {}
        for upstream in upstream_states.pool_view(pool).cold:
            level = ramp_of(pool.id, upstream.id).level
            available = min(level, upstream.slots) - outstanding_units(
                pool.id, upstream.id
            )
            available_by_upstream[upstream.id] = available
        held = {item.upstream: item.in_flight for item in report.held}
        additional_units = max(0, report.wanted - sum(held.values()))
        additional_by_upstream = distribute_units(
            available_by_upstream, additional_units
        )
        grants = []
        for upstream, available in available_by_upstream.items():
            units = held.get(upstream, 0) + additional_by_upstream.get(upstream, 0)
            if units and available >= 0:
                grants.append(give_grant(sender, pool.id, upstream, units))
        return tuple(grants)

    def give_grant(sender, pool, upstream, units):
        expires_at = now() + GRANT_SECONDS + longest_deadline(pool)
        state.outstanding_by_upstream[(pool, upstream)][sender] = OutstandingGrant(
            units, expires_at
        )
        emit(
            events.GRANT_GIVEN,
            pool=pool,
            upstream=upstream,
            host=sender,
            units=units,
            level=state.ramp_by_upstream[(pool, upstream)].level,
        )
        return Grant(upstream, units)

    def drop_grants(pool):
        """Drop this host's grants of a pool, before it requests new ones."""
        for key in [key for key in state.grant_by_upstream if key[0] == pool]:
            del state.grant_by_upstream[key]

    def store_grants(pool, grants, asked_at):
        """Store the grants in the reply to a report that was sent at ``asked_at``."""
        for item in grants:
            held = HeldGrant(item.units, asked_at + GRANT_SECONDS)
            state.grant_by_upstream[(pool, item.upstream)] = held

    def units(pool, upstream):
        """Return the concurrency granted to this host at present."""
        held = state.grant_by_upstream.get((pool, upstream))
        return held.units if held is not None and now() < held.expires_at else 0

    def restart(pool, upstream):
        """Restart an upstream's slow start."""
        state.ramp_by_upstream[(pool, upstream)] = ramps.Ramp(now())

    memberships.subscribe(on_membership_change)
    service = SlowStarts(
        grant,
        drop_grants,
        store_grants,
        units,
        ramp_of,
        restart,
        coordinator_since,
        pending_hosts,
        record_surrender,
        resign,
    )
    kernel.register("slow_starts", service)
    return service


def distribute_units(available_by_upstream, additional_units):
    """Return units by upstream, taken one by one where most are available."""
    available_by_upstream = dict(available_by_upstream)
    units_by_upstream = {}
    for _ in range(additional_units):
        upstream = max(
            available_by_upstream, key=available_by_upstream.get, default=None
        )
        if upstream is None or available_by_upstream[upstream] <= 0:
            break
        available_by_upstream[upstream] -= 1
        units_by_upstream[upstream] = units_by_upstream.get(upstream, 0) + 1
    return units_by_upstream

"""Slow start: concurrency on cold upstreams, granted by the coordinator alone.

For each cold upstream the coordinator has a level, the concurrency of all hosts
together: 1, 2, 4 and so on after successes, back by half on overload, failures or
rising latency. It lends units of the level to hosts that ask, and takes a unit as
used until the host reports otherwise, or until the grant's end plus the longest
deadline of a route. A host counts a grant from before it asked.

A coordinator grants only while a majority is in reach, and only once nothing that an
earlier one granted can be in use: either every host of the roster gave up its grants
to it and told what still runs, or it has been first for so long that an earlier one
can't grant any more and everything granted has ended.
"""

from typing import NamedTuple

from trefoilpin import events, ramps
from trefoilpin.reports import Grant
from trefoilpin.services import SlowStarts

__all__ = ["GRANT_SECONDS", "create"]

GRANT_SECONDS = 2.0
DEFAULT_DEADLINE_SECONDS = 10.0


class Loan(NamedTuple):
    """Units that a host may be using."""

    units: int
    ends_at: float


class HeldGrant(NamedTuple):
    """Units this host may use."""

    units: int
    ends_at: float


class SlowStartState:
    """Loans given as coordinator, and grants held as host."""

    def __init__(self):
        self.loan_by_host_by_upstream: dict[tuple[str, str], dict[str, Loan]] = {}
        self.ramp_by_upstream: dict[tuple[str, str], ramps.Ramp] = {}
        self.grant_by_upstream: dict[tuple[str, str], HeldGrant] = {}
        self.first_since_by_pool: dict[str, float] = {}
        self.live_since = 0.0
        self.surrendered_by_pool: dict[str, set[str]] = {}


def create(kernel, freshness):
    """Create the service ``slow_starts``.

    Parameters
    ----------
    kernel : Kernel
    freshness : float
        Seconds within which a majority must have been in contact.

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
    state.live_since = now()

    def work_seconds(pool):
        deadlines = [
            route.deadline
            for route in configurations.routes_by_id.values()
            if route.pool == pool
        ]
        return max(deadlines, default=DEFAULT_DEADLINE_SECONDS)

    def is_first(pool):
        own = memberships.own().incarnation
        return memberships.first(f"pool/{pool}").incarnation == own

    def follow_members():
        state.live_since = now()
        for pool in list(state.first_since_by_pool):
            coordinator_since(pool)

    def coordinator_since(pool):
        """Return since when this host is the pool's coordinator, None if not."""
        if not is_first(pool):
            state.first_since_by_pool.pop(pool, None)
            state.surrendered_by_pool.pop(pool, None)
            return None
        return state.first_since_by_pool.setdefault(pool, state.live_since)

    def pending_hosts(pool):
        """Return the hosts that have not yet given up their grants to this one."""
        own = memberships.own().incarnation
        record_surrender = state.surrendered_by_pool.get(pool, ())
        return tuple(
            host
            for host in memberships.roster()
            if host.incarnation != own and host.incarnation not in record_surrender
        )

    def record_surrender(host, pool, held):
        """Note that a host gave up its grants of a pool to this coordinator."""
        settle(host, pool, held)
        state.surrendered_by_pool.setdefault(pool, set()).add(host)

    def resign(pool):
        """Stop granting, since another host takes over as coordinator."""
        state.surrendered_by_pool.pop(pool, None)
        if pool in state.first_since_by_pool:
            state.first_since_by_pool[pool] = now()

    def may_grant(pool):
        since = coordinator_since(pool)
        if since is None or not memberships.has_majority():
            return False
        if now() - since >= 2 * freshness + GRANT_SECONDS + work_seconds(pool):
            return True
        return not pending_hosts(pool)

    def settle(sender, pool, held):
        """Replace what a host may be using by what it reports."""
        ends_at = now() + GRANT_SECONDS + work_seconds(pool)
        in_flight_by_upstream = {item.upstream: item.in_flight for item in held}
        for (name, upstream), loan_by_host in state.loan_by_host_by_upstream.items():
            if name == pool and upstream not in in_flight_by_upstream:
                loan_by_host.pop(sender, None)
        for upstream, in_flight in in_flight_by_upstream.items():
            loans = state.loan_by_host_by_upstream.setdefault((pool, upstream), {})
            loans[sender] = Loan(in_flight, ends_at)

    def lent(pool, upstream):
        """Return the units out on loan, dropping loans that ended."""
        loan_by_host = state.loan_by_host_by_upstream.setdefault((pool, upstream), {})
        at = now()
        for host in [host for host, loan in loan_by_host.items() if loan.ends_at <= at]:
            del loan_by_host[host]
        return sum(loan.units for loan in loan_by_host.values())

    def ramp_of(pool, upstream):
        name = (pool, upstream)
        ramp = state.ramp_by_upstream.get(name)
        if ramp is None:
            ramp = state.ramp_by_upstream[name] = ramps.Ramp(now())
        return ramp

    def grant(sender, report):
        """Settle a host's loans and lend what it asks for, as far as it is free.

        Parameters
        ----------
        sender : str
        record_break : PoolReport

        Returns
        -------
        tuple of Grant
        """
        pool = configurations.pools_by_id[report.pool]
        settle(sender, pool.id, report.held)
        if not report.wanted or not may_grant(pool.id):
            return ()
        free_by_upstream = {}
        for upstream in upstream_states.pool_view(pool).cold:
            level = ramp_of(pool.id, upstream.id).level
            free = min(level, upstream.slots) - lent(pool.id, upstream.id)
            free_by_upstream[upstream.id] = free
        held = {item.upstream: item.in_flight for item in report.held}
        wanted = max(0, report.wanted - sum(held.values()))
        extra = share_out(free_by_upstream, wanted)
        grants = []
        for upstream, free in free_by_upstream.items():
            units = held.get(upstream, 0) + extra.get(upstream, 0)
            if units and free >= 0:
                grants.append(lend(sender, pool.id, upstream, units))
        return tuple(grants)

    def lend(sender, pool, upstream, units):
        ends_at = now() + GRANT_SECONDS + work_seconds(pool)
        state.loan_by_host_by_upstream[(pool, upstream)][sender] = Loan(units, ends_at)
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
        """Drop this host's grants of a pool, before it asks again."""
        for name in [name for name in state.grant_by_upstream if name[0] == pool]:
            del state.grant_by_upstream[name]

    def store_grants(pool, grants, asked_at):
        """Hold grants that came in answer to a report sent at a time."""
        for item in grants:
            held = HeldGrant(item.units, asked_at + GRANT_SECONDS)
            state.grant_by_upstream[(pool, item.upstream)] = held

    def units(pool, upstream):
        """Return the concurrency granted to this host now."""
        held = state.grant_by_upstream.get((pool, upstream))
        return held.units if held is not None and now() < held.ends_at else 0

    def restart(pool, upstream):
        """Begin an upstream's slow start anew."""
        state.ramp_by_upstream[(pool, upstream)] = ramps.Ramp(now())

    memberships.subscribe(follow_members)
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


def share_out(free_by_upstream, wanted):
    """Return units by upstream, one at a time from the one with the most free."""
    free_by_upstream = dict(free_by_upstream)
    given_by_upstream = {}
    for _ in range(wanted):
        upstream = max(free_by_upstream, key=free_by_upstream.get, default=None)
        if upstream is None or free_by_upstream[upstream] <= 0:
            break
        free_by_upstream[upstream] -= 1
        given_by_upstream[upstream] = given_by_upstream.get(upstream, 0) + 1
    return given_by_upstream

"""Reports of this host to the coordinators of its pools, and their replies.

Once a second everything counted goes to the coordinators, one message for each. A
host that wants work on a cold upstream asks at once. Before it asks, a host gives
up every grant of the pool, so the coordinator may lend the units anew; grants count
only from the coordinator that was told last.
"""

from returns.result import Success

from trefoilpin.reports import HealthReply, HealthReport, PoolReply, PoolReport, Told
from trefoilpin.services import Health

__all__ = ["METHOD", "TELL_METHOD", "create"]

METHOD = "health"
TELL_METHOD = "standings"
REPORT_SECONDS = 1.0
CALL_SECONDS = 0.5
DEMAND_SECONDS = 2.0
ASK_PAUSE_SECONDS = 0.05
MOST_WANTED = 64


class Demand:
    """How much work a pool had for its cold upstreams lately."""

    def __init__(self):
        self.last_at = 0.0
        self.unmet = 0
        self.asked_at = 0.0
        self.level = 1


class HealthState:
    """Reports under way and demand by pool."""

    def __init__(self):
        self.sequence = 0
        self.reporting: set[str] = set()
        self.coordinator_by_pool: dict[str, str] = {}
        self.demand_by_pool: dict[str, Demand] = {}


def create(kernel):
    """Create the service ``health``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Health
    """
    state = HealthState()
    now = kernel.clock.now
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    peers = kernel.find("peers")
    queues = kernel.find("queues")
    drains = kernel.find("drains")
    upstream_states = kernel.find("upstream_states")
    slow_starts = kernel.find("slow_starts")
    attempts = kernel.find("attempts")
    coordinators = kernel.find("coordinators")

    def wanted(pool, held):
        """Return the concurrency wanted on cold upstreams."""
        demand = state.demand_by_pool.get(pool)
        if demand is None or now() - demand.last_at > DEMAND_SECONDS:
            return 0
        running = sum(item.in_flight for item in held)
        least = max(1, running + demand.unmet)
        demand.unmet = 0
        return min(least, MOST_WANTED)

    def surrender(pool_id, coordinator):
        """Give up the pool's grants; return what still runs on cold upstreams.

        From now on only grants of this coordinator are taken.
        """
        state.coordinator_by_pool[pool_id] = coordinator
        slow_starts.drop_grants(pool_id)
        pool = configurations.pools_by_id.get(pool_id)
        return (
            attempts.held(pool_id, upstream_states.pool_view(pool).cold) if pool else ()
        )

    def describe(pool_id, coordinator):
        """Give up the pool's grants and return its part of a report."""
        held = surrender(pool_id, coordinator)
        return PoolReport(
            pool_id,
            upstream_states.counter_total(pool_id),
            attempts.take_samples(pool_id),
            wanted(pool_id, held),
            held,
            drains.draining(pool_id),
        )

    def send(coordinator, pools):
        """Report on pools to their coordinator and take in its reply."""
        state.reporting.update(pools)
        try:
            asked_at = now()
            described = tuple(describe(pool, coordinator.incarnation) for pool in pools)
            state.sequence += 1
            own = memberships.own()
            report = HealthReport(state.sequence, own.zone, described)
            if coordinator.incarnation == own.incarnation:
                replies = coordinators.receive(own.incarnation, report)
            else:
                replies = call(coordinator, report)
        finally:
            state.reporting.difference_update(pools)
        for reply in replies:
            take(reply, coordinator.incarnation, asked_at)

    def call(coordinator, report):
        called = peers.call(coordinator.peer_address, METHOD, report, CALL_SECONDS)
        return called.unwrap().pools if isinstance(called, Success) else ()

    def take(reply, coordinator, asked_at):
        upstream_states.merge(reply.pool, reply.entries)
        for upstream in reply.draining:
            drains.report(reply.pool, upstream, "host")
        if state.coordinator_by_pool[reply.pool] != coordinator:
            return
        slow_starts.store_grants(reply.pool, reply.grants, asked_at)
        if reply.grants:
            queues.notify_release(reply.pool)

    def active_pools():
        """Return the pools with something to report or to ask."""
        pools = set(attempts.counted_pools())
        for pool, demand in state.demand_by_pool.items():
            if now() - demand.last_at <= DEMAND_SECONDS:
                pools.add(pool)
        known = configurations.pools_by_id
        return sorted(pool for pool in pools - state.reporting if pool in known)

    def report():
        """Report once on every pool that had traffic."""
        attempts.count_stalls()
        pools_by_coordinator = {}
        for pool in active_pools():
            coordinator = memberships.first(f"pool/{pool}")
            pools_by_coordinator.setdefault(coordinator, []).append(pool)
        for coordinator, pools in pools_by_coordinator.items():
            if coordinator.incarnation == memberships.own().incarnation:
                send(coordinator, pools)
            else:
                kernel.spawn(send, coordinator, pools)

    def ask(pool):
        """Ask for work on cold upstreams; True when an answer may be here already."""
        demand = state.demand_by_pool.setdefault(pool, Demand())
        demand.last_at = now()
        demand.unmet += 1
        if pool in state.reporting or now() - demand.asked_at < ASK_PAUSE_SECONDS:
            return False
        demand.asked_at = now()
        coordinator = memberships.first(f"pool/{pool}")
        if coordinator.incarnation == memberships.own().incarnation:
            send(coordinator, [pool])
            return True
        kernel.spawn(send, coordinator, [pool])
        return False

    def record_demand(pool):
        """Remember that a pool with cold upstreams has work for them."""
        state.demand_by_pool.setdefault(pool, Demand()).last_at = now()

    def answer(sender, message):
        return HealthReply(coordinators.receive(sender, message))

    def learn_told(sender, message):
        upstream_states.merge(message.pool, message.entries)
        return Told(message.pool)

    def tell(pool, entry):
        """Tell every host at once of an ejection; notices follow."""
        message = PoolReply(pool, (entry,), (), ())
        for host in memberships.live():
            if host.incarnation != memberships.own().incarnation:
                arguments = (host.peer_address, TELL_METHOD, message, CALL_SECONDS)
                kernel.spawn(peers.call, *arguments)

    def run_forever():
        while True:
            kernel.clock.sleep(REPORT_SECONDS)
            report()

    peers.serve(METHOD, answer)
    peers.serve(TELL_METHOD, learn_told)
    coordinators.on_ejection(tell)
    service = Health(report, ask, record_demand, surrender)
    kernel.register("health", service, lambda: kernel.spawn(run_forever))
    return service

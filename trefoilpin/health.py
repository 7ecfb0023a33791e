"""Health reports of this host to the coordinators of its pools, and their replies.

The counts are sent once a second, in one message per coordinator. A host that needs
concurrency on a cold upstream reports at once. A report surrenders all of the host's
grants of a pool, so that the coordinator can grant them again. Grants are accepted only
from the coordinator to which the pool was last reported.
"""

from returns.result import Success

from trefoilpin.reports import HealthReply, HealthReport, PoolReply, PoolReport, Told
from trefoilpin.services import Health

__all__ = ["EJECTION_METHOD", "METHOD", "create"]

METHOD = "health"
EJECTION_METHOD = "standings"
REPORT_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.5
DEMAND_EXPIRY_SECONDS = 2.0
MIN_ASK_INTERVAL_SECONDS = 0.05
MAX_WANTED_CONCURRENCY = 64


class Demand:
    """Recent demand of a pool for concurrency on its cold upstreams."""

    def __init__(self):
        self.last_demand_at = 0.0
        self.unmet_requests = 0
        self.last_asked_at = 0.0


class HealthState:
    """Reports in flight, coordinator last reported to and demand by pool."""

    def __init__(self):
        self.sequence = 0
        self.pools_in_report: set[str] = set()
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

    def wanted_concurrency(pool, held):
        """Return the concurrency to request on cold upstreams."""
        demand = state.demand_by_pool.get(pool)
        if demand is None or now() - demand.last_demand_at > DEMAND_EXPIRY_SECONDS:
            return 0
        running_requests = sum(item.in_flight for item in held)
        concurrency = max(1, running_requests + demand.unmet_requests)
        demand.unmet_requests = 0
        return min(concurrency, MAX_WANTED_CONCURRENCY)

    def surrender(pool_id, coordinator):
        """Surrender the pool's grants; return the requests on its cold upstreams.

        From now on, only grants of this coordinator are accepted.
        """
        state.coordinator_by_pool[pool_id] = coordinator
        slow_starts.drop_grants(pool_id)
        pool = configurations.pools_by_id.get(pool_id)
        return (
            attempts.held(pool_id, upstream_states.pool_view(pool).cold) if pool else ()
        )

    def create_pool_report(pool_id, coordinator):
        """Surrender the pool's grants and return its part of a report."""
        held = surrender(pool_id, coordinator)
        return PoolReport(
            pool_id,
            upstream_states.counter_total(pool_id),
            attempts.take_samples(pool_id),
            wanted_concurrency(pool_id, held),
            held,
            drains.draining(pool_id),
        )

    def send_report(coordinator, pools):
        """Report pools to their coordinator and apply its reply."""
        state.pools_in_report.update(pools)
        try:
            asked_at = now()
            pool_reports = tuple(
                create_pool_report(pool, coordinator.incarnation) for pool in pools
            )
            state.sequence += 1
            own = memberships.own()
            report = HealthReport(state.sequence, own.zone, pool_reports)
            if coordinator.incarnation == own.incarnation:
                replies = coordinators.receive(own.incarnation, report)
            else:
                replies = call_coordinator(coordinator, report)
        finally:
            state.pools_in_report.difference_update(pools)
        for reply in replies:
            apply_reply(reply, coordinator.incarnation, asked_at)

    def call_coordinator(coordinator, report):
        outcome = peers.call(
            coordinator.peer_address, METHOD, report, CALL_TIMEOUT_SECONDS
        )
        return outcome.unwrap().pools if isinstance(outcome, Success) else ()

    def apply_reply(reply, coordinator, asked_at):
        upstream_states.merge(reply.pool, reply.entries)
        for upstream in reply.draining:
            drains.report(reply.pool, upstream, "host")
        if state.coordinator_by_pool[reply.pool] != coordinator:
            return
        slow_starts.store_grants(reply.pool, reply.grants, asked_at)
        if reply.grants:
            queues.notify_release(reply.pool)

    def active_pools():
        """Return the pools with counts or demand and without a report in flight."""
        pools = set(attempts.counted_pools())
        for pool, demand in state.demand_by_pool.items():
            if now() - demand.last_demand_at <= DEMAND_EXPIRY_SECONDS:
                pools.add(pool)
        configured = configurations.pools_by_id
        return sorted(
            pool for pool in pools - state.pools_in_report if pool in configured
        )

    def report():
        """Send one report on all active pools to each coordinator."""
        attempts.count_stalls()
        pools_by_coordinator = {}
        for pool in active_pools():
            coordinator = memberships.first(f"pool/{pool}")
            pools_by_coordinator.setdefault(coordinator, []).append(pool)
        for coordinator, pools in pools_by_coordinator.items():
            if coordinator.incarnation == memberships.own().incarnation:
                send_report(coordinator, pools)
            else:
                kernel.spawn(send_report, coordinator, pools)

    def ask(pool):
        """Request concurrency on cold upstreams; True if the reply may have arrived."""
        demand = state.demand_by_pool.setdefault(pool, Demand())
        demand.last_demand_at = now()
        demand.unmet_requests += 1
        if (
            pool in state.pools_in_report
            or now() - demand.last_asked_at < MIN_ASK_INTERVAL_SECONDS
        ):
            return False
        demand.last_asked_at = now()
        coordinator = memberships.first(f"pool/{pool}")
        if coordinator.incarnation == memberships.own().incarnation:
            send_report(coordinator, [pool])
            return True
        kernel.spawn(send_report, coordinator, [pool])
        return False

    def record_demand(pool):
        """Record that a pool has requests for its cold upstreams."""
        state.demand_by_pool.setdefault(pool, Demand()).last_demand_at = now()

    def handle_report(sender, message):
        return HealthReply(coordinators.receive(sender, message))

    def handle_ejection(sender, message):
        upstream_states.merge(message.pool, message.entries)
        return Told(message.pool)

    def broadcast_ejection(pool, entry):
        """Send an ejection to every host at once, ahead of the notices."""
        message = PoolReply(pool, (entry,), (), ())
        for host in memberships.live():
            if host.incarnation != memberships.own().incarnation:
                arguments = (
                    host.peer_address,
                    EJECTION_METHOD,
                    message,
                    CALL_TIMEOUT_SECONDS,
                )
                kernel.spawn(peers.call, *arguments)

    def run_forever():
        while True:
            kernel.clock.sleep(REPORT_INTERVAL_SECONDS)
            report()

    peers.serve(METHOD, handle_report)
    peers.serve(EJECTION_METHOD, handle_ejection)
    coordinators.on_ejection(broadcast_ejection)
    service = Health(report, ask, record_demand, surrender)
    kernel.register("health", service, lambda: kernel.spawn(run_forever))
    return service

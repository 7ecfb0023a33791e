"""Change of a pool's coordinator while upstreams are in slow start.

The new coordinator asks every host of the roster to surrender its grants and to report
its requests in flight. A previous coordinator stops granting when it replies.
"""

from returns.result import Success

from trefoilpin.reports import TakeOverReply, TakeOverRequest
from trefoilpin.services import CoordinatorHandovers

__all__ = ["METHOD", "create"]

METHOD = "take_over"
STEP_INTERVAL_SECONDS = 0.25
CALL_TIMEOUT_SECONDS = 0.5
RETRY_INTERVAL_SECONDS = 2.0


class HandoverState:
    """Time of the latest unanswered request to each host."""

    def __init__(self):
        self.asked_at_by_pool_and_host: dict[tuple[str, str], float] = {}


def create(kernel):
    """Create the service ``coordinator_handovers``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    CoordinatorHandovers
    """
    state = HandoverState()
    now = kernel.clock.now
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    peers = kernel.find("peers")
    upstream_states = kernel.find("upstream_states")
    slow_starts = kernel.find("slow_starts")
    health = kernel.find("health")

    def request_surrender(pool, host):
        request = TakeOverRequest(pool)
        outcome = peers.call(host.peer_address, METHOD, request, CALL_TIMEOUT_SECONDS)
        if not isinstance(outcome, Success):
            return
        pending_since = state.asked_at_by_pool_and_host.pop(
            (pool, host.incarnation), None
        )
        if (
            pending_since is not None
            and slow_starts.coordinator_since(pool) is not None
        ):
            slow_starts.record_surrender(host.incarnation, pool, outcome.unwrap().held)

    def step():
        """Ask the hosts with outstanding grants, for every pool with cold upstreams."""
        for pool in tuple(configurations.pools_by_id.values()):
            if slow_starts.coordinator_since(pool.id) is None:
                continue
            if not upstream_states.pool_view(pool).cold:
                continue
            for host in slow_starts.pending_hosts(pool.id):
                key = (pool.id, host.incarnation)
                asked_at = state.asked_at_by_pool_and_host.get(key)
                if asked_at is not None and now() - asked_at < RETRY_INTERVAL_SECONDS:
                    continue
                state.asked_at_by_pool_and_host[key] = now()
                kernel.spawn(request_surrender, pool.id, host)

    def handle_take_over(sender, message):
        slow_starts.resign(message.pool)
        for key in [
            key for key in state.asked_at_by_pool_and_host if key[0] == message.pool
        ]:
            del state.asked_at_by_pool_and_host[key]
        return TakeOverReply(health.surrender(message.pool, sender))

    def run_forever():
        while True:
            kernel.clock.sleep(STEP_INTERVAL_SECONDS)
            if memberships.has_majority():
                step()

    peers.serve(METHOD, handle_take_over)
    service = CoordinatorHandovers(step)
    kernel.register("coordinator_handovers", service, lambda: kernel.spawn(run_forever))
    return service

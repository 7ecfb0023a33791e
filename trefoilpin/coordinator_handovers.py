"""Change of a pool's coordinator while upstreams are in slow start.

The new coordinator has every host of the roster give up its grants and tell what
still runs. A host that coordinated the pool itself stops granting with its answer.
"""

from returns.result import Success

from trefoilpin.reports import TakeOverReply, TakeOverRequest
from trefoilpin.services import CoordinatorHandovers

__all__ = ["METHOD", "create"]

METHOD = "take_over"
STEP_SECONDS = 0.25
CALL_SECONDS = 0.5
RETRY_SECONDS = 2.0


class TakeOverState:
    """When each host was asked last, by pool and host."""

    def __init__(self):
        self.asked_at: dict[tuple[str, str], float] = {}


def create(kernel):
    """Create the service ``coordinator_handovers``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    CoordinatorHandovers
    """
    state = TakeOverState()
    now = kernel.clock.now
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")
    peers = kernel.find("peers")
    upstream_states = kernel.find("upstream_states")
    slow_starts = kernel.find("slow_starts")
    health = kernel.find("health")

    def ask(pool, host):
        request = TakeOverRequest(pool)
        called = peers.call(host.peer_address, METHOD, request, CALL_SECONDS)
        if not isinstance(called, Success):
            return
        still_asked = state.asked_at.pop((pool, host.incarnation), None)
        if still_asked is not None and slow_starts.coordinator_since(pool) is not None:
            slow_starts.record_surrender(host.incarnation, pool, called.unwrap().held)

    def step():
        """Ask the hosts that are missing, for every pool that needs it."""
        for pool in tuple(configurations.pools_by_id.values()):
            if slow_starts.coordinator_since(pool.id) is None:
                continue
            if not upstream_states.pool_view(pool).cold:
                continue
            for host in slow_starts.pending_hosts(pool.id):
                name = (pool.id, host.incarnation)
                asked_at = state.asked_at.get(name)
                if asked_at is not None and now() - asked_at < RETRY_SECONDS:
                    continue
                state.asked_at[name] = now()
                kernel.spawn(ask, pool.id, host)

    def answer(sender, message):
        slow_starts.resign(message.pool)
        for name in [name for name in state.asked_at if name[0] == message.pool]:
            del state.asked_at[name]
        return TakeOverReply(health.surrender(message.pool, sender))

    def step_forever():
        while True:
            kernel.clock.sleep(STEP_SECONDS)
            if memberships.has_majority():
                step()

    peers.serve(METHOD, answer)
    service = CoordinatorHandovers(step)
    kernel.register(
        "coordinator_handovers", service, lambda: kernel.spawn(step_forever)
    )
    return service

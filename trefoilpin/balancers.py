"""Choice of an upstream: least in flight of two random choices."""

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.messages import Choice
from trefoilpin.services import Balancers
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

RETRY_AFTER_SECONDS = 1.0

NO_UPSTREAM = Refusal(
    Reason.NO_UPSTREAM,
    Verdict.NOT_RUN,
    "no upstream of the pool is in service",
    RETRY_AFTER_SECONDS,
)


class BalancerState:
    """Attempts under way on this host."""

    def __init__(self):
        self.in_flight_by_upstream: dict[tuple[str, str], int] = {}
        self.choices = 0


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
    emit = kernel.find("events").emit
    configurations = kernel.find("configurations")

    def usable(upstream, excluded):
        if upstream.id in excluded or upstream.draining:
            return False
        return not configurations.zones_by_id[upstream.zone].out

    def in_flight(pool, upstream):
        return state.in_flight_by_upstream.get((pool.id, upstream.id), 0)

    def choose(pool, excluded):
        candidates = [item for item in pool.upstreams if usable(item, excluded)]
        if not candidates:
            return Failure(NO_UPSTREAM)
        pair = rng.sample(candidates, min(2, len(candidates)))
        upstream = min(pair, key=lambda item: in_flight(pool, item))
        count = in_flight(pool, upstream)
        state.in_flight_by_upstream[(pool.id, upstream.id)] = count + 1
        state.choices += 1
        emit(
            events.UPSTREAM_CHOSEN,
            pool=pool.id,
            upstream=upstream.id,
            zone=upstream.zone,
            in_flight=count,
        )
        return Success(Choice(upstream, pool.id, state.choices))

    def release(choice, attempt, account, fingerprint):
        state.in_flight_by_upstream[(choice.pool, choice.upstream.id)] -= 1

    service = Balancers(choose, release)
    kernel.register("balancers", service)
    return service

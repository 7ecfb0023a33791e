"""What happens to a caller's request, from the route to the answer."""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway.document_cache import CONFIGURATION
from trefoilpin.gateway.request_contexts import (
    MISSING_KEY,
    NO_CONFIGURATION,
    NOT_CURRENT,
    STOPPING,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
    IncomingRequest,
    RequestContext,
    conclude,
)

__all__ = ["IncomingRequest", "Proxies", "create"]

# Without a read of the store for this long an unknown route or key may be a new one.
TRUSTED_AGE_SECONDS = 2.5


class Proxies(NamedTuple):
    """``proxies``: ``handle(arrival)`` gives the ``Answer`` or a ``Refusal``.

    ``under_way()`` counts the requests being handled. ``close()`` has every further
    request refused.
    """

    handle: Callable
    under_way: Callable[[], int]
    close: Callable[[], None]


class ProxyState:
    """How many requests are being handled."""

    def __init__(self):
        self.under_way = 0
        self.is_closed = False


def create(kernel):
    """Create the service ``proxies``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Proxies
    """
    state = ProxyState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    routing = kernel.find("routing")
    rate_limits = kernel.find("rate_limits")
    poison_requests = kernel.find("poison_requests")
    retries = kernel.find("retries")
    dispatchers = kernel.find("dispatchers")

    def handle(arrival):
        members.note_request()
        state.under_way += 1
        try:
            return decide(arrival)
        finally:
            state.under_way -= 1

    def decide(arrival):
        request = arrival.request
        if state.is_closed:
            return refuse(request, None, None, STOPPING)
        if not document_cache.stamp(CONFIGURATION).revision:
            return refuse(request, None, None, NO_CONFIGURATION)
        route = routing.match(request.host, request.path)
        if route is None:
            return refuse(request, None, None, distrust(UNKNOWN_ROUTE))
        account = None
        if not route.is_open:
            found = find_account(arrival.key)
            if isinstance(found, Failure):
                return refuse(request, route, None, found.failure())
            account = found.unwrap()
        outcome = admit_and_run(arrival, route, account)
        if isinstance(outcome, Failure):
            return refuse(request, route, account, outcome.failure())
        return outcome

    def distrust(refusal):
        """Keep a final refusal only while the configuration is known to be in force."""
        if document_cache.age(CONFIGURATION) > TRUSTED_AGE_SECONDS:
            return NOT_CURRENT
        return refusal

    def find_account(key):
        if key is None:
            return Failure(MISSING_KEY)
        if dispatchers.is_key_doubtful():
            return Failure(NOT_CURRENT)
        account = routing.account(key)
        if account is None:
            return Failure(distrust(UNKNOWN_KEY))
        return Success(account)

    def refuse(request, route, account, refusal):
        metrics.count(f'refused{{reason="{refusal.reason.value.code}"}}')
        emit(
            events.GATEWAY_REFUSED,
            request_id=request.request_id,
            route=route and route.id,
            account=account and account.id,
            reason=refusal.reason.value.code,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after,
            configuration_age=round(document_cache.age(CONFIGURATION), 3),
            milliseconds=round((now() - request.arrived_at) * 1000, 1),
        )
        return Failure(refusal)

    def admit_and_run(arrival, route, account):
        work = RequestContext(
            arrival, route, account, routing.pool(route), dispatchers.usual(route)
        )
        suspected = poison_requests.check(work.fingerprint)
        if suspected is not None:
            return Failure(suspected)
        if account is not None:
            admitted = rate_limits.admit(account)
            if isinstance(admitted, Failure):
                return admitted
        retries.deposit(work.pool)
        dispatchers.send(work)
        if work.sent == 0 and account is not None:
            rate_limits.take_back(account)
        outcome = conclude(work)
        if isinstance(outcome, Success):
            note_answer(work, outcome.unwrap())
        return outcome

    def note_answer(work, answer):
        seconds = now() - work.request.arrived_at
        metrics.time("request_seconds", seconds)
        emit(
            events.GATEWAY_ANSWERED,
            request_id=work.request.request_id,
            route=work.route.id,
            account=work.account and work.account.id,
            pool=work.pool,
            upstream=work.upstream.id,
            status=answer.status,
            attempts=work.sent,
            milliseconds=round(seconds * 1000, 1),
        )

    def close():
        state.is_closed = True

    service = Proxies(handle, lambda: state.under_way, close)
    kernel.register("proxies", service)
    return service

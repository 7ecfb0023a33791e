"""Handling of a caller's request, from the route to the answer."""

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
    final_result,
)

__all__ = ["IncomingRequest", "Proxies", "create"]

# Without a read of the store for this long an unknown route or key may be a new one.
TRUSTED_AGE_SECONDS = 2.5


class Proxies(NamedTuple):
    """``proxies``: ``handle(incoming)`` returns the ``Answer`` or a ``Refusal``.

    ``under_way()`` is the number of requests in progress. After ``close()`` every
    further request is refused.
    """

    handle: Callable
    under_way: Callable[[], int]
    close: Callable[[], None]


class ProxyState:
    """Number of requests in progress."""

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

    def handle(incoming):
        members.count_request()
        state.under_way += 1
        try:
            return decide(incoming)
        finally:
            state.under_way -= 1

    def decide(incoming):
        request = incoming.request
        if state.is_closed:
            return refuse(request, None, None, STOPPING)
        if not document_cache.version(CONFIGURATION).revision:
            return refuse(request, None, None, NO_CONFIGURATION)
        route = routing.match(request.host, request.path)
        if route is None:
            return refuse(request, None, None, distrust(UNKNOWN_ROUTE))
        account = None
        if not route.is_open:
            found = find_account(incoming.key)
            if isinstance(found, Failure):
                return refuse(request, route, None, found.failure())
            account = found.unwrap()
        outcome = admit_and_run(incoming, route, account)
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
        if dispatchers.are_keys_stale():
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

    def admit_and_run(incoming, route, account):
        context = RequestContext(
            incoming,
            route,
            account,
            routing.pool(route),
            dispatchers.typical_seconds(route),
        )
        suspected = poison_requests.check(context.fingerprint)
        if suspected is not None:
            return Failure(suspected)
        if account is not None:
            admitted = rate_limits.admit(account)
            if isinstance(admitted, Failure):
                return admitted
        retries.deposit(context.pool)
        dispatchers.dispatch(context)
        if context.attempt_count == 0 and account is not None:
            rate_limits.refund(account)
        outcome = final_result(context)
        if isinstance(outcome, Success):
            note_answer(context, outcome.unwrap())
        return outcome

    def note_answer(context, answer):
        seconds = now() - context.request.arrived_at
        metrics.time("request_seconds", seconds)
        emit(
            events.GATEWAY_ANSWERED,
            request_id=context.request.request_id,
            route=context.route.id,
            account=context.account and context.account.id,
            pool=context.pool,
            upstream=context.upstream.id,
            status=answer.status,
            attempts=context.attempt_count,
            milliseconds=round(seconds * 1000, 1),
        )

    def close():
        state.is_closed = True

    service = Proxies(handle, lambda: state.under_way, close)
    kernel.register("proxies", service)
    return service

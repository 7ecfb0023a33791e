"""Handling of a caller's request, from the route to the answer."""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway.requests.request_contexts import (
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
from trefoilpin.gateway.store.document_cache import CONFIGURATION
from trefoilpin.verdicts import Verdict

__all__ = ["IncomingRequest", "Proxies", "create"]

# An unknown route or key may have been created since the last read of the store. It is
# refused for good only while the configuration is at most this old.
MAX_FRESH_AGE_SECONDS = 2.5


class Proxies(NamedTuple):
    """``proxies``: ``handle(incoming)`` returns the ``Answer`` or a ``Refusal``.

    ``may_run_ahead(request)`` tells whether a request may run before earlier ones of
    its connection were answered, as it may run more than once.
    ``under_way()`` is the number of requests in progress. After ``close()`` every
    further request is refused. ``record_refusal(request, refusal)`` logs and counts a
    refusal that a front end decided on, and returns it as a failure.
    """

    handle: Callable
    may_run_ahead: Callable
    under_way: Callable[[], int]
    close: Callable[[], None]
    record_refusal: Callable


class ProxyState:
    """Number of requests in progress, and whether new ones are refused."""

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
    first_documents = kernel.find("first_documents")
    routing = kernel.find("routing")
    rate_limits = kernel.find("rate_limits")
    poison_requests = kernel.find("poison_requests")
    pool_pressure = kernel.find("pool_pressure")
    retry_budgets = kernel.find("retry_budgets")
    dispatchers = kernel.find("dispatchers")

    def handle(incoming):
        members.count_request()
        state.under_way += 1
        try:
            return route_request(incoming)
        finally:
            state.under_way -= 1

    def route_request(incoming):
        request = incoming.request
        if state.is_closed:
            return refuse(request, None, None, STOPPING)
        if not first_documents.wait(incoming.caller_timeout):
            return refuse(request, None, None, NO_CONFIGURATION)
        route = routing.match(request.host, request.path)
        if route is None:
            return refuse(request, None, None, final_unless_stale(UNKNOWN_ROUTE))
        account = None
        if not route.is_open:
            authenticated = authenticate(incoming.key)
            if isinstance(authenticated, Failure):
                return refuse(request, route, None, authenticated.failure())
            account = authenticated.unwrap()
        outcome = admit_and_dispatch(incoming, route, account)
        if isinstance(outcome, Failure):
            return refuse(request, route, account, outcome.failure())
        return outcome

    def final_unless_stale(refusal):
        """Return a final refusal, or a retryable one if the configuration is stale."""
        is_old = document_cache.age(CONFIGURATION) > MAX_FRESH_AGE_SECONDS
        if is_old or document_cache.is_unproven(CONFIGURATION):
            return NOT_CURRENT
        return refusal

    def authenticate(key):
        if key is None:
            return Failure(MISSING_KEY)
        if dispatchers.are_keys_stale():
            return Failure(NOT_CURRENT)
        account = routing.account(key)
        if account is None:
            return Failure(final_unless_stale(UNKNOWN_KEY))
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

    def admit_and_dispatch(incoming, route, account):
        context = RequestContext(
            incoming,
            route,
            account,
            routing.pool(route),
            dispatchers.typical_seconds(route),
        )
        refusal = poison_requests.check(context.fingerprint)
        if refusal is not None:
            return Failure(refusal)
        if account is not None:
            key = (context.fingerprint, incoming.request.peer)
            seconds_left = context.deadline - now()
            admitted = rate_limits.admit(account, key, seconds_left)
            if isinstance(admitted, Failure):
                return admitted
        retry_budgets.deposit(context.pool)
        try:
            outcome = dispatch(context)
        except BaseException:
            if account is not None and not context.tried_upstreams:
                rate_limits.refund(account)
            raise
        if account is not None and is_not_run(outcome):
            rate_limits.refund(account)
        if isinstance(outcome, Success):
            record_answer(context, outcome.unwrap())
        return outcome

    def is_not_run(outcome):
        if not isinstance(outcome, Failure):
            return False
        return outcome.failure().verdict is Verdict.NOT_RUN

    def dispatch(context):
        dispatchers.dispatch(context)
        return final_result(
            context,
            lambda: pool_pressure.return_seconds(
                context.pool,
                context.priority,
                context.deadline - now(),
                context.typical_seconds,
            ),
        )

    def record_answer(context, answer):
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

    def may_run_ahead(request):
        route = routing.match(request.host, request.path)
        return route is not None and route.idempotent and not state.is_closed

    service = Proxies(
        handle,
        may_run_ahead,
        lambda: state.under_way,
        close,
        lambda request, refusal: refuse(request, None, None, refusal),
    )
    kernel.register("proxies", service)
    return service

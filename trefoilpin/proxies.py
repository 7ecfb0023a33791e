"""What happens to a caller's request, from the route to the answer."""

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.messages import Answer
from trefoilpin.services import Proxies
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

MAX_ATTEMPTS = 3
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


def create(kernel):
    """Create the service ``proxies``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Proxies
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    configurations = kernel.find("configurations")
    routes = kernel.find("routes")
    keys = kernel.find("keys")
    limits = kernel.find("limits")
    operations = kernel.find("operations")
    queues = kernel.find("queues")
    balancers = kernel.find("balancers")
    forwarders = kernel.find("forwarders")

    def handle(request):
        matched = routes.match(request.host, request.path, request.method)
        if isinstance(matched, Failure):
            return refuse(request, None, None, matched.failure())
        route = matched.unwrap()
        checked = keys.check(route, request)
        if isinstance(checked, Failure):
            return refuse(request, route, None, checked.failure())
        account = checked.unwrap()
        outcome = admit_and_run(request, route, account)
        if isinstance(outcome, Failure):
            return refuse(request, route, account, outcome.failure())
        return outcome

    def refuse(request, route, account, refusal):
        metrics.count(f'refused{{reason="{refusal.reason.value.code}"}}')
        emit(
            events.REQUEST_REFUSED,
            request_id=request.request_id,
            route=route and route.id,
            account=account and account.id,
            reason=refusal.reason.value.code,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
        )
        return Failure(refusal)

    def admit_and_run(request, route, account):
        deadline = request.arrived_at + route.deadline
        parsed = operations.parse(account, request)
        if isinstance(parsed, Failure):
            return parsed
        if account is not None:
            admitted = limits.admit(account, deadline)
            if isinstance(admitted, Failure):
                return admitted
        begun = operations.begin(parsed.unwrap(), route, account, deadline)
        if isinstance(begun, Failure) or isinstance(begun.unwrap(), Answer):
            return begun
        return run(request, route, account, deadline, begun.unwrap())

    def run(request, route, account, deadline, permit):
        stripped = request._replace(headers=keys.strip(request.headers))
        pool = configurations.pools_by_id[route.pool]
        idempotent = route.idempotent or request.method in SAFE_METHODS
        tried = frozenset()
        last = None
        for _ in range(MAX_ATTEMPTS):
            taken = queues.enter(
                pool, account, deadline, lambda: balancers.choose(pool, tried)
            )
            if isinstance(taken, Failure):
                break
            choice = taken.unwrap()
            last = forwarders.exchange(choice.upstream, stripped, deadline, idempotent)
            balancers.release(choice, last, account and account.id, "")
            queues.released(pool.id)
            tried = tried | {choice.upstream.id}
            if not may_send_again(last, idempotent) or now() >= deadline:
                break
        operations.finish(permit, last)
        if last is None:
            return taken
        return conclude(request, route, account, choice, last)

    def conclude(request, route, account, choice, attempt):
        if attempt.answer is None:
            return Failure(Refusal(attempt.reason, attempt.verdict, attempt.detail))
        seconds = now() - request.arrived_at
        metrics.time("request_seconds", seconds)
        emit(
            events.REQUEST_ROUTED,
            request_id=request.request_id,
            route=route.id,
            account=account and account.id,
            upstream=choice.upstream.id,
            status=attempt.answer.status,
            milliseconds=round(seconds * 1000, 3),
        )
        return Success(attempt.answer)

    service = Proxies(handle)
    kernel.register("proxies", service)
    return service


def may_send_again(attempt, idempotent):
    """Tell whether a request may go to another upstream after an attempt."""
    if attempt.verdict is Verdict.NOT_RUN:
        return True
    return idempotent and attempt.reason is Reason.UPSTREAM_BROKEN

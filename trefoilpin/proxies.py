"""Handling of a caller's request, from the choice of a route to the answer."""

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.messages import Answer, Attempt, Permit
from trefoilpin.operations import fingerprint
from trefoilpin.retries import attempt_deadline, may_retry
from trefoilpin.services import Proxies
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

MAX_ATTEMPTS = 3
MAX_BROKEN_CONNECTIONS = 2
RETRY_AFTER_SECONDS = 1.0
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))

INTERRUPTED = Attempt(
    Verdict.MAY_HAVE_RUN, None, Reason.INTERNAL, "the attempt was interrupted", 0.0
)
NOT_CURRENT = Refusal(
    Reason.NOT_CURRENT,
    Verdict.NOT_RUN,
    "this host can't tell whether its configuration is in force",
    RETRY_AFTER_SECONDS,
)
DEADLINE_PASSED = Refusal(
    Reason.OVERLOADED,
    Verdict.NOT_RUN,
    "the deadline passed before an upstream was asked",
    RETRY_AFTER_SECONDS,
)


class RequestContext:
    """State of a request while it is sent to upstreams.

    Attributes
    ----------
    request : CallerRequest
        Without the caller's key.
    idempotent : bool
    fingerprint : str
    deadline : float
        Seconds of the kernel's clock.
    tried_upstreams : frozenset of str
        Ids of the upstreams that were already tried.
    broken_connections : int
        Connections that broke after the request was written.
    last_attempt : Attempt or None
    upstream : Upstream or None
        Upstream of the last attempt.
    may_have_run : bool
        True once any attempt may have run.
    refusal : Refusal or None
        Why no upstream was chosen for another attempt.
    """

    def __init__(self, request, route, account, pool, idempotent, request_fingerprint):
        self.request = request
        self.route = route
        self.account = account
        self.pool = pool
        self.idempotent = idempotent
        self.fingerprint = request_fingerprint
        self.deadline = request.arrived_at + route.deadline
        self.tried_upstreams = frozenset()
        self.broken_connections = 0
        self.last_attempt = None
        self.upstream = None
        self.may_have_run = False
        self.refusal = None


def release_when_closed(rest, release):
    """Return an iterator over a streamed body that calls ``release`` once at its end.

    The generator is advanced to its first ``yield`` here: ``close`` on a generator that
    was never started would skip the ``finally`` block and never release.
    """

    def stream():
        try:
            yield b""
            yield from rest
        finally:
            if hasattr(rest, "close"):
                rest.close()
            release()

    started = stream()
    next(started)
    return started


def retry_after(answer):
    """Return the seconds of an answer's ``Retry-After``, or the default."""
    for name, value in answer.headers:
        if name == "retry-after" and value.isdigit():
            return float(value)
    return RETRY_AFTER_SECONDS


def final_result(context):
    """Return the upstream's answer, or the refusal with its verdict."""
    last = context.last_attempt
    if last is not None and last.answer is not None and not last.shed:
        return Success(last.answer)
    if last is None:
        refusal = context.refusal or DEADLINE_PASSED
    elif last.shed:
        wait = retry_after(last.answer) if last.answer else RETRY_AFTER_SECONDS
        detail = "every upstream that was asked refused without running"
        refusal = Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, detail, wait)
    else:
        wait = RETRY_AFTER_SECONDS if last.verdict is Verdict.NOT_RUN else None
        refusal = Refusal(last.reason, last.verdict, last.detail, wait)
    if context.may_have_run and refusal.verdict is Verdict.NOT_RUN:
        refusal = refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return Failure(refusal)


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
    memberships = kernel.find("memberships")
    configurations = kernel.find("configurations")
    routes = kernel.find("routes")
    keys = kernel.find("keys")
    limits = kernel.find("limits")
    operations = kernel.find("operations")
    poison_requests = kernel.find("poison_requests")
    retries = kernel.find("retries")
    queues = kernel.find("queues")
    balancers = kernel.find("balancers")
    forwarders = kernel.find("forwarders")

    def handle(request):
        if not memberships.is_current():
            return refuse(request, None, None, NOT_CURRENT)
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
        context = RequestContext(
            request._replace(headers=keys.strip(request.headers)),
            route,
            account,
            configurations.pools_by_id[route.pool],
            route.idempotent or request.method in SAFE_METHODS,
            fingerprint(account, request),
        )
        refusal = poison_requests.check(context.fingerprint)
        if refusal is not None:
            return Failure(refusal)
        if account is not None:
            admission = limits.admit(account, context.deadline)
            if isinstance(admission, Failure):
                return admission
        begun = begin_operation(context)
        if isinstance(begun, Failure) or isinstance(begun.unwrap(), Answer):
            return begun
        return run_operation(context, begun.unwrap())

    def begin_operation(context):
        if context.idempotent:
            return Success(Permit(None, "", context.route, context.account))
        parsed = operations.parse(context.account, context.request)
        if isinstance(parsed, Failure):
            return parsed
        return operations.begin(
            parsed.unwrap(), context.route, context.account, context.deadline
        )

    def run_operation(context, permit):
        retries.deposit(context.pool.id)
        try:
            send_with_retries(context)
        finally:
            operations.finish(permit, context.last_attempt)
        outcome = final_result(context)
        if isinstance(outcome, Success):
            report_answer(context, outcome.unwrap())
        return outcome

    def send_with_retries(context):
        for number in range(MAX_ATTEMPTS):
            if now() >= context.deadline:
                return
            choice_result = queues.enter(
                context.pool,
                context.account,
                context.deadline,
                lambda: balancers.choose(
                    context.pool,
                    context.tried_upstreams,
                    context.account and context.account.id,
                ),
            )
            if isinstance(choice_result, Failure):
                context.refusal = choice_result.failure()
                return
            send_once(context, choice_result.unwrap(), number)
            if not should_retry(context, number):
                return

    def should_retry(context, number):
        if (
            number + 1 >= MAX_ATTEMPTS
            or context.broken_connections >= MAX_BROKEN_CONNECTIONS
        ):
            return False
        if (
            not may_retry(context.last_attempt, context.idempotent)
            or now() >= context.deadline
        ):
            return False
        if not retries.withdraw(context.pool.id):
            metrics.count("retries_over_budget")
            return False
        emit(
            events.REQUEST_RETRIED,
            request_id=context.request.request_id,
            pool=context.pool.id,
            upstream=context.upstream.id,
            verdict=context.last_attempt.verdict.value,
            detail=context.last_attempt.detail,
        )
        return True

    def send_once(context, choice, number):
        context.upstream = choice.upstream
        context.tried_upstreams = context.tried_upstreams | {choice.upstream.id}
        can_retry = number + 1 < MAX_ATTEMPTS and retries.balance(context.pool.id) >= 1
        ends_at = attempt_deadline(
            now(), context.deadline, context.idempotent, can_retry
        )
        context.last_attempt = INTERRUPTED
        try:
            context.last_attempt = forwarders.exchange(
                choice.upstream, context.request, ends_at, context.idempotent
            )
        finally:
            finish_attempt(context, choice)

    def finish_attempt(context, choice):
        last = context.last_attempt
        if last.verdict is not Verdict.NOT_RUN:
            context.may_have_run = True
        account_id = context.account.id if context.account else None

        def release():
            balancers.release(choice, last, account_id, context.fingerprint)
            queues.notify_release(context.pool.id)

        if last.answer is not None and last.answer.rest is not None:
            rest = release_when_closed(last.answer.rest, release)
            context.last_attempt = last._replace(answer=last.answer._replace(rest=rest))
        else:
            release()
        if last.broke_connection:
            context.broken_connections += 1
            poison_requests.record_break(
                context.fingerprint, choice.upstream.id, account_id or ""
            )
        elif last.verdict is Verdict.RAN:
            poison_requests.record_answer(context.fingerprint)

    def report_answer(context, answer):
        seconds = now() - context.request.arrived_at
        metrics.time("request_seconds", seconds)
        emit(
            events.REQUEST_ROUTED,
            request_id=context.request.request_id,
            route=context.route.id,
            account=context.account and context.account.id,
            upstream=context.upstream.id,
            status=answer.status,
            milliseconds=round(seconds * 1000, 3),
        )

    service = Proxies(handle)
    kernel.register("proxies", service)
    return service

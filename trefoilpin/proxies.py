"""What happens to a caller's request, from the route to the answer."""

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.messages import Answer, Attempt, Permit
from trefoilpin.operations import fingerprint
from trefoilpin.retries import attempt_deadline, may_send_again
from trefoilpin.services import Proxies
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

MAX_ATTEMPTS = 3
MAX_BREAKS = 2
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
TOO_LATE = Refusal(
    Reason.OVERLOADED,
    Verdict.NOT_RUN,
    "the deadline passed before an upstream was asked",
    RETRY_AFTER_SECONDS,
)


class Work:
    """A request on its way to upstreams.

    Attributes
    ----------
    request : CallerRequest
        Without the caller's key.
    tried : frozenset of str
        Upstreams already asked.
    last : Attempt or None
        Outcome of the attempt made last.
    may_have_run : bool
        True once any attempt may have run.
    refusal : Refusal or None
        Why no upstream was taken for a further attempt.
    """

    def __init__(self, request, route, account, pool, idempotent, shape):
        self.request = request
        self.route = route
        self.account = account
        self.pool = pool
        self.idempotent = idempotent
        self.fingerprint = shape
        self.deadline = request.arrived_at + route.deadline
        self.tried = frozenset()
        self.breaks = 0
        self.last = None
        self.upstream = None
        self.may_have_run = False
        self.refusal = None


def release_at_end(rest, release):
    """Return an iterator over the rest of an answer that calls ``release`` once.

    It is started at once, so that closing it unread releases too.
    """

    def iterate():
        try:
            yield b""
            yield from rest
        finally:
            if hasattr(rest, "close"):
                rest.close()
            release()

    started = iterate()
    next(started)
    return started


def retry_after(answer):
    """Return the seconds that an upstream asks callers to wait."""
    for name, value in answer.headers:
        if name == "retry-after" and value.isdigit():
            return float(value)
    return RETRY_AFTER_SECONDS


def conclude(work):
    """Return the answer of a work, or the refusal with its verdict."""
    last = work.last
    if last is not None and last.answer is not None and not last.shed:
        return Success(last.answer)
    if last is None:
        refusal = work.refusal or TOO_LATE
    elif last.shed:
        wait = retry_after(last.answer) if last.answer else RETRY_AFTER_SECONDS
        detail = "every upstream that was asked refused without running"
        refusal = Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, detail, wait)
    else:
        wait = RETRY_AFTER_SECONDS if last.verdict is Verdict.NOT_RUN else None
        refusal = Refusal(last.reason, last.verdict, last.detail, wait)
    if work.may_have_run and refusal.verdict is Verdict.NOT_RUN:
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
        work = Work(
            request._replace(headers=keys.strip(request.headers)),
            route,
            account,
            configurations.pools_by_id[route.pool],
            route.idempotent or request.method in SAFE_METHODS,
            fingerprint(account, request),
        )
        quarantined = poison_requests.check(work.fingerprint)
        if quarantined is not None:
            return Failure(quarantined)
        if account is not None:
            admitted = limits.admit(account, work.deadline)
            if isinstance(admitted, Failure):
                return admitted
        begun = begin(work)
        if isinstance(begun, Failure) or isinstance(begun.unwrap(), Answer):
            return begun
        return run(work, begun.unwrap())

    def begin(work):
        if work.idempotent:
            return Success(Permit(None, "", work.route, work.account))
        parsed = operations.parse(work.account, work.request)
        if isinstance(parsed, Failure):
            return parsed
        return operations.begin(
            parsed.unwrap(), work.route, work.account, work.deadline
        )

    def run(work, permit):
        retries.deposit(work.pool.id)
        try:
            send_until_done(work)
        finally:
            operations.finish(permit, work.last)
        outcome = conclude(work)
        if isinstance(outcome, Success):
            note_answer(work, outcome.unwrap())
        return outcome

    def send_until_done(work):
        for number in range(MAX_ATTEMPTS):
            if now() >= work.deadline:
                return
            taken = queues.enter(
                work.pool,
                work.account,
                work.deadline,
                lambda: balancers.choose(
                    work.pool, work.tried, work.account and work.account.id
                ),
            )
            if isinstance(taken, Failure):
                work.refusal = taken.failure()
                return
            send_once(work, taken.unwrap(), number)
            if not is_retried(work, number):
                return

    def is_retried(work, number):
        if number + 1 >= MAX_ATTEMPTS or work.breaks >= MAX_BREAKS:
            return False
        if not may_send_again(work.last, work.idempotent) or now() >= work.deadline:
            return False
        if not retries.withdraw(work.pool.id):
            metrics.count("retries_over_budget")
            return False
        emit(
            events.REQUEST_RETRIED,
            request_id=work.request.request_id,
            pool=work.pool.id,
            upstream=work.upstream.id,
            verdict=work.last.verdict.value,
            detail=work.last.detail,
        )
        return True

    def send_once(work, choice, number):
        work.upstream = choice.upstream
        work.tried = work.tried | {choice.upstream.id}
        further = number + 1 < MAX_ATTEMPTS and retries.balance(work.pool.id) >= 1
        ends_at = attempt_deadline(now(), work.deadline, work.idempotent, further)
        work.last = INTERRUPTED
        try:
            work.last = forwarders.exchange(
                choice.upstream, work.request, ends_at, work.idempotent
            )
        finally:
            finish_attempt(work, choice)

    def finish_attempt(work, choice):
        last = work.last
        if last.verdict is not Verdict.NOT_RUN:
            work.may_have_run = True
        account_id = work.account.id if work.account else None

        def release():
            balancers.release(choice, last, account_id, work.fingerprint)
            queues.notify_release(work.pool.id)

        if last.answer is not None and last.answer.rest is not None:
            rest = release_at_end(last.answer.rest, release)
            work.last = last._replace(answer=last.answer._replace(rest=rest))
        else:
            release()
        if last.broke_connection:
            work.breaks += 1
            poison_requests.record_break(
                work.fingerprint, choice.upstream.id, account_id or ""
            )
        elif last.verdict is Verdict.RAN:
            poison_requests.record_answer(work.fingerprint)

    def note_answer(work, answer):
        seconds = now() - work.request.arrived_at
        metrics.time("request_seconds", seconds)
        emit(
            events.REQUEST_ROUTED,
            request_id=work.request.request_id,
            route=work.route.id,
            account=work.account and work.account.id,
            upstream=work.upstream.id,
            status=answer.status,
            milliseconds=round(seconds * 1000, 3),
        )

    service = Proxies(handle)
    kernel.register("proxies", service)
    return service

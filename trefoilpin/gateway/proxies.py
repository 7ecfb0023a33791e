"""What happens to a caller's request, from the route to the answer."""

from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.gateway.knowledge import CONFIGURATION
from trefoilpin.gateway.placements import Need
from trefoilpin.gateway.queues import Wait
from trefoilpin.gateway.races import Race
from trefoilpin.gateway.works import (
    CALLER_LEFT,
    INTERRUPTED,
    MISSING_KEY,
    NO_CONFIGURATION,
    NOT_CURRENT,
    SERVER_ERRORS,
    STOPPING,
    UNKNOWN_KEY,
    UNKNOWN_ROUTE,
    Arrival,
    Work,
    conclude,
    is_failed,
    is_unreached,
)
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["Arrival", "Proxies", "ProxyTerms", "create"]

# Upstreams that one request may fail to reach, because no connection was made or
# another upstream answered at the address; nothing was run then.
MAX_UNREACHED = 4
# Without a read of the store for this long an unknown route or key may be a new one.
TRUSTED_AGE_SECONDS = 2.5
# A request that may be repeated gets a second attempt beside the first when that takes
# this many times longer than usual. Source: Dean and Barroso, "The tail at scale",
# Communications of the ACM 56(2), 2013. Of requests with a spread of 0.8 it is one in
# fifteen, a third of what the retry budget allows.
HEDGE_FACTOR = 2.5
LEAST_HEDGE_SECONDS = 0.25
# An attempt ends by its deadline; its task may run a little later.
LATE_SECONDS = 0.5
MOST_USUAL_FACTOR = 5.0
USUAL_WEIGHT = 0.05
FIRST_USUAL_SHARE = 0.3


class ProxyTerms(NamedTuple):
    """Bounds that the deployment sets.

    Attributes
    ----------
    key_seconds : float
        Age of the configuration from which keys are not trusted.
    account_header : str
        Header, in lower case, that names the account to the upstream.
    expected_header : str
        Header that names the upstream that the request is meant for.
    """

    key_seconds: float
    account_header: str
    expected_header: str


class Proxies(NamedTuple):
    """``proxies``: ``handle(arrival)`` gives the ``Answer`` or a ``Refusal``.

    ``under_way()`` counts the requests being handled. ``close()`` has every further
    request refused.
    """

    handle: Callable
    under_way: Callable[[], int]
    close: Callable[[], None]


class ProxyState:
    """Usual times by route, and how many requests are being handled."""

    def __init__(self):
        self.usual_by_route: dict[str, float] = {}
        self.under_way = 0
        self.is_closed = False


def create(kernel, terms, create_event):
    """Create the service ``proxies``.

    Parameters
    ----------
    kernel : Kernel
    terms : ProxyTerms
    create_event : callable
        Makes an event with ``wait(seconds)``, ``send()`` and ``ready()``.

    Returns
    -------
    Proxies
    """
    state = ProxyState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    knowledge = kernel.find("knowledge")
    members = kernel.find("members")
    routing = kernel.find("routing")
    rates = kernel.find("rates")
    suspects = kernel.find("suspects")
    retries = kernel.find("retries")
    queues = kernel.find("queues")
    upstreams = kernel.find("upstreams")
    forwarders = kernel.find("forwarders")

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
        if not knowledge.stamp(CONFIGURATION).revision:
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
        if knowledge.age(CONFIGURATION) > TRUSTED_AGE_SECONDS:
            return NOT_CURRENT
        return refusal

    def find_account(key):
        if key is None:
            return Failure(MISSING_KEY)
        if is_key_doubtful():
            return Failure(NOT_CURRENT)
        account = routing.account(key)
        if account is None:
            return Failure(distrust(UNKNOWN_KEY))
        return Success(account)

    def is_key_doubtful():
        return knowledge.age(CONFIGURATION) > terms.key_seconds

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
            configuration_age=round(knowledge.age(CONFIGURATION), 3),
            milliseconds=round((now() - request.arrived_at) * 1000, 1),
        )
        return Failure(refusal)

    def admit_and_run(arrival, route, account):
        usual = state.usual_by_route.get(route.id, route.target * FIRST_USUAL_SHARE)
        work = Work(arrival, route, account, routing.pool(route), usual)
        suspected = suspects.check(work.fingerprint)
        if suspected is not None:
            return Failure(suspected)
        if account is not None:
            admitted = rates.admit(account)
            if isinstance(admitted, Failure):
                return admitted
        retries.deposit(work.pool)
        send_until_done(work)
        if work.sent == 0 and account is not None:
            rates.take_back(account)
        outcome = conclude(work)
        if isinstance(outcome, Success):
            note_answer(work, outcome.unwrap())
        return outcome

    def send_until_done(work):
        while True:
            taken = queues.enter(
                work.pool,
                Wait(
                    work.priority,
                    work.deadline,
                    work.request.arrived_at + work.route.target,
                    work.usual,
                ),
                lambda: choose(work),
                work.request.caller_gone,
            )
            if isinstance(taken, Failure):
                work.refusal = taken.failure()
                return
            if not may_send(work):
                upstreams.release(taken.unwrap(), None, work.usual)
                return
            send = race if may_hedge(work) else send_once
            send(work, taken.unwrap())
            if not is_sent_again(work):
                return

    def choose(work):
        further = work.sent + 1 < work.route.max_attempts
        can_retry = further and retries.balance(work.pool) >= 1
        need = Need(work.route.idempotent, can_retry)
        return upstreams.choose(work.pool, work.tried, need, work.usual)

    def may_send(work):
        """Check once more, just before the send, what may have changed in a wait."""
        stopped = None
        if work.request.caller_gone():
            stopped = CALLER_LEFT
        elif work.account is not None and is_key_doubtful():
            stopped = NOT_CURRENT
        if stopped is None:
            return True
        work.refusal = stopped
        return False

    def send_once(work, choice):
        note_attempt(work, choice.upstream, exchange(work, choice))

    def exchange(work, choice):
        upstream = choice.upstream
        work.tried = work.tried | {upstream.id}
        attempt = INTERRUPTED
        try:
            attempt = forwarders.exchange(
                upstream,
                work.request,
                work.deadline,
                work.route.idempotent,
                marks(work, upstream),
            )
            return attempt
        finally:
            upstreams.release(choice, attempt, work.usual)
            queues.released(work.pool)

    def may_hedge(work):
        """Tell whether another attempt beside this one would be allowed."""
        if not work.route.idempotent or work.sent + 1 >= work.route.max_attempts:
            return False
        return retries.balance(work.pool) >= 1

    def race(work, choice):
        """Send a request, and once more when its answer takes long.

        The first good answer counts, and the other attempt ends.
        """
        attempts = Race(kernel.spawn, create_event)
        attempts.start(choice, lambda choice: exchange(work, choice))
        try:
            ended = attempts.next(hedge_seconds(work))
            if ended is None:
                start_second(work, attempts)
                ended = attempts.next(work.deadline + LATE_SECONDS - now())
            while ended is not None:
                note_attempt(work, ended.choice.upstream, ended.attempt or INTERRUPTED)
                if not attempts.under_way or not is_failed(work.last):
                    return
                ended = attempts.next(work.deadline + LATE_SECONDS - now())
        finally:
            attempts.stop()

    def hedge_seconds(work):
        return max(work.usual * HEDGE_FACTOR, LEAST_HEDGE_SECONDS)

    def start_second(work, attempts):
        """Begin another attempt if an upstream has room and there is time for it."""
        if now() + work.usual >= work.deadline or not may_hedge(work):
            return
        need = Need(is_idempotent=True, can_retry=False)
        chosen = upstreams.choose(work.pool, work.tried, need, work.usual)
        if isinstance(chosen, Failure):
            return
        retries.withdraw(work.pool)
        metrics.count("hedges")
        attempts.start(chosen.unwrap(), lambda choice: exchange(work, choice))

    def marks(work, upstream):
        found = [(terms.expected_header, upstream.id)]
        if work.account is not None:
            found.append((terms.account_header, work.account.id))
        return tuple(found)

    def note_attempt(work, upstream, attempt):
        work.upstream = upstream
        last = work.last = attempt
        if is_unreached(last):
            work.unreached += 1
        else:
            work.sent += 1
        if last.verdict is not Verdict.NOT_RUN:
            work.may_have_run = True
        if last.broke_connection:
            suspects.broke(work.fingerprint, upstream.id)
        elif last.verdict is Verdict.RAN:
            suspects.answered(work.fingerprint)
            if last.answer.status not in SERVER_ERRORS:
                note_usual(work, last.seconds)
        emit(
            events.ATTEMPT_ENDED,
            request_id=work.request.request_id,
            pool=work.pool,
            upstream=upstream.id,
            verdict=last.verdict.value,
            status=last.answer and last.answer.status,
            detail=last.detail,
            milliseconds=round(last.seconds * 1000, 1),
            number=work.sent,
        )

    def note_usual(work, seconds):
        known = state.usual_by_route.get(work.route.id, work.usual)
        bounded = min(seconds, known * MOST_USUAL_FACTOR)
        state.usual_by_route[work.route.id] = known + (bounded - known) * USUAL_WEIGHT

    def is_sent_again(work):
        last = work.last
        if now() >= work.deadline or last.reason is Reason.CALLER_GONE:
            return False
        if is_unreached(last):
            if work.unreached >= MAX_UNREACHED:
                return False
            # Another upstream that answered at the address counts as an arrival.
            return not last.shed or is_in_budget(work)
        if work.sent >= work.route.max_attempts:
            return False
        if last.verdict is not Verdict.NOT_RUN:
            if not (work.route.idempotent and is_failed(last)):
                return False
        return is_in_budget(work)

    def is_in_budget(work):
        """Take a retry out of the budget; False when there is none left."""
        if retries.withdraw(work.pool):
            return True
        metrics.count("retries_over_budget")
        return False

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

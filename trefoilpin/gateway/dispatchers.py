"""Sending a request to upstreams until it is done: attempts, hedges, retries.

Each attempt has its verdict. What may have run is sent again only where the route
allows it, and every further send takes from the retry budget.
"""

from typing import Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.document_cache import CONFIGURATION
from trefoilpin.gateway.upstream_selection import RetryPolicy
from trefoilpin.gateway.queues import QueueRequest
from trefoilpin.gateway.concurrent_attempts import ConcurrentAttempts
from trefoilpin.gateway.request_contexts import (
    CALLER_LEFT,
    INTERRUPTED,
    NOT_CURRENT,
    SERVER_ERRORS,
    is_failed,
    is_unreached,
)
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["DispatchSettings", "Dispatchers", "create"]

# Upstreams that one request may fail to reach, because no connection was made or
# another upstream answered at the address; nothing was run then.
MAX_UNREACHED = 4
# A request that may be repeated gets a second attempt beside the first when that takes
# this many times longer than usual. Source: Dean and Barroso, "The tail at scale",
# Communications of the ACM 56(2), 2013. Of requests with a spread of 0.8 it is one in
# fifteen, a third of what the retry budget allows.
HEDGE_FACTOR = 2.5
LEAST_HEDGE_SECONDS = 0.25
# Retries that requests of each rank leave to more urgent ones; in a storm of sheds
# there is one for each third failed attempt, so few are enough. Less urgent ranks than
# these, and hedges, leave as much as the last.
KEPT_BY_PRIORITY = (0.0, 2.0, 4.0)
# An attempt ends by its deadline; its task may run a little later.
LATE_SECONDS = 0.5
MOST_USUAL_FACTOR = 5.0
# The usual time of a route follows its answers; until there are some it is taken to be
# this share of the target time.
USUAL_WEIGHT = 0.05
FIRST_USUAL_SHARE = 0.3


class DispatchSettings(NamedTuple):
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


class Dispatchers(NamedTuple):
    """``dispatchers``: attempts at upstreams.

    ``send(work)`` sends a ``RequestContext`` until it is done and leaves in it what came of that.
    ``usual(route)`` gives the seconds that a route's requests usually take, and
    ``is_key_doubtful()`` tells whether keys may have been withdrawn unheard.
    """

    send: Callable
    usual: Callable
    is_key_doubtful: Callable[[], bool]


class DispatchState:
    """Usual times by route."""

    def __init__(self):
        self.usual_by_route: dict[str, float] = {}


def create(kernel, terms, create_event):
    """Create the service ``dispatchers``.

    Parameters
    ----------
    kernel : Kernel
    terms : DispatchSettings
    create_event : callable
        Makes an event with ``wait(seconds)``, ``send()`` and ``ready()``.

    Returns
    -------
    Dispatchers
    """
    state = DispatchState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")
    poison_requests = kernel.find("poison_requests")
    retries = kernel.find("retries")
    queues = kernel.find("queues")
    upstreams = kernel.find("upstreams")
    forwarders = kernel.find("forwarders")

    def send(work):
        while True:
            taken = queues.enter(
                work.pool,
                QueueRequest(
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
            if may_hedge(work):
                race(work, taken.unwrap())
            else:
                send_once(work, taken.unwrap())
            if not is_sent_again(work):
                return

    def choose(work):
        further = work.sent + 1 < work.route.max_attempts
        can_retry = further and retries.balance(work.pool, kept(work)) >= 1
        need = RetryPolicy(work.route.idempotent, can_retry)
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
        return retries.balance(work.pool, KEPT_BY_PRIORITY[-1]) >= 1

    def race(work, choice):
        """Send a request, and once more when its answer takes long.

        The first good answer counts, and the other attempt ends.
        """
        attempts = ConcurrentAttempts(kernel.spawn, create_event)
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
        if not may_send(work):
            return
        need = RetryPolicy(is_idempotent=True, can_retry=False)
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
            poison_requests.broke(work.fingerprint, upstream.id)
        elif last.verdict is Verdict.RAN:
            poison_requests.answered(work.fingerprint)
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

    def usual(route):
        known = state.usual_by_route.get(route.id)
        return route.target * FIRST_USUAL_SHARE if known is None else known

    def note_usual(work, seconds):
        known = usual(work.route)
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

    def kept(work):
        """Return the retries that a request leaves to more urgent ones."""
        return KEPT_BY_PRIORITY[min(work.priority, len(KEPT_BY_PRIORITY) - 1)]

    def is_in_budget(work):
        """Take a retry out of the budget; False when there is none left."""
        if retries.withdraw(work.pool, kept(work)):
            return True
        metrics.count("retries_over_budget")
        return False

    def is_key_doubtful():
        return document_cache.age(CONFIGURATION) > terms.key_seconds

    service = Dispatchers(send, usual, is_key_doubtful)
    kernel.register("dispatchers", service)
    return service

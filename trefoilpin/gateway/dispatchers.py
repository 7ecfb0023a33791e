"""Dispatch of a request to upstreams: attempts, hedged requests, retries.

Each attempt has a verdict. A request that may have run is sent again only where the
route allows it, and every further attempt is charged to the retry budget.
"""

from typing import Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.concurrent_attempts import ConcurrentAttempts
from trefoilpin.gateway.document_cache import CONFIGURATION
from trefoilpin.gateway.queues import QueueRequest
from trefoilpin.gateway.request_contexts import (
    CALLER_LEFT,
    INTERRUPTED,
    NOT_CURRENT,
    SERVER_ERRORS,
    is_failed,
    is_unreached,
)
from trefoilpin.gateway.upstream_selection import RetryPolicy
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
MAX_TYPICAL_FACTOR = 5.0
# The usual time of a route follows its answers; until there are some it is taken to be
# this share of the target time.
TYPICAL_WEIGHT = 0.05
FIRST_TYPICAL_SHARE = 0.3


class DispatchSettings(NamedTuple):
    """Settings of the dispatch.

    Attributes
    ----------
    key_seconds : float
        Age of the configuration from which keys are not trusted.
    account_header : str
        Header, in lower case, that names the account to the upstream.
    expected_header : str
        Header that names the upstream for which the request is meant.
    """

    key_seconds: float
    account_header: str
    expected_header: str


class Dispatchers(NamedTuple):
    """``dispatchers``: dispatch of requests to upstreams.

    ``dispatch(context)`` runs attempts until the request is done and stores the outcome
    in the ``RequestContext``. ``typical_seconds(route)`` is the typical duration of a
    route's requests, and ``are_keys_stale()`` tells whether the configuration is too
    old to trust keys.
    """

    dispatch: Callable
    typical_seconds: Callable
    are_keys_stale: Callable[[], bool]


class DispatchState:
    """Typical durations by route."""

    def __init__(self):
        self.typical_seconds_by_route: dict[str, float] = {}


def create(kernel, settings, create_event):
    """Create the service ``dispatchers``.

    Parameters
    ----------
    kernel : Kernel
    settings : DispatchSettings
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

    def dispatch(context):
        while True:
            taken = queues.enter(
                context.pool,
                QueueRequest(
                    context.priority,
                    context.deadline,
                    context.request.arrived_at + context.route.target,
                    context.typical_seconds,
                ),
                lambda: choose(context),
                context.request.caller_gone,
            )
            if isinstance(taken, Failure):
                context.refusal = taken.failure()
                return
            if not may_send(context):
                upstreams.release(taken.unwrap(), None, context.typical_seconds)
                return
            if may_hedge(context):
                race(context, taken.unwrap())
            else:
                send_once(context, taken.unwrap())
            if not should_retry(context):
                return

    def choose(context):
        further = context.attempt_count + 1 < context.route.max_attempts
        can_retry = further and retries.balance(context.pool, kept(context)) >= 1
        retry_policy = RetryPolicy(context.route.idempotent, can_retry)
        return upstreams.choose(
            context.pool, context.tried_upstreams, retry_policy, context.typical_seconds
        )

    def may_send(context):
        """Check once more, just before the send, what may have changed in a wait."""
        stopped = None
        if context.request.caller_gone():
            stopped = CALLER_LEFT
        elif context.account is not None and are_keys_stale():
            stopped = NOT_CURRENT
        if stopped is None:
            return True
        context.refusal = stopped
        return False

    def send_once(context, choice):
        note_attempt(context, choice.upstream, exchange(context, choice))

    def exchange(context, choice):
        upstream = choice.upstream
        context.tried_upstreams = context.tried_upstreams | {upstream.id}
        attempt = INTERRUPTED
        try:
            attempt = forwarders.exchange(
                upstream,
                context.request,
                context.deadline,
                context.route.idempotent,
                upstream_headers(context, upstream),
            )
            return attempt
        finally:
            upstreams.release(choice, attempt, context.typical_seconds)
            queues.notify_release(context.pool)

    def may_hedge(context):
        """Tell whether another attempt beside this one would be allowed."""
        if (
            not context.route.idempotent
            or context.attempt_count + 1 >= context.route.max_attempts
        ):
            return False
        return retries.balance(context.pool, KEPT_BY_PRIORITY[-1]) >= 1

    def race(context, choice):
        """Send a request, and once more when its answer takes long.

        The first good answer counts, and the other attempt ends.
        """
        attempts = ConcurrentAttempts(kernel.spawn, create_event)
        attempts.start(choice, lambda choice: exchange(context, choice))
        try:
            ended = attempts.next(hedge_seconds(context))
            if ended is None:
                start_second(context, attempts)
                ended = attempts.next(context.deadline + LATE_SECONDS - now())
            while ended is not None:
                note_attempt(
                    context, ended.choice.upstream, ended.attempt or INTERRUPTED
                )
                if not attempts.in_flight or not is_failed(context.last_attempt):
                    return
                ended = attempts.next(context.deadline + LATE_SECONDS - now())
        finally:
            attempts.stop()

    def hedge_seconds(context):
        return max(context.typical_seconds * HEDGE_FACTOR, LEAST_HEDGE_SECONDS)

    def start_second(context, attempts):
        """Begin another attempt if an upstream has room and there is time for it."""
        if now() + context.typical_seconds >= context.deadline or not may_hedge(
            context
        ):
            return
        if not may_send(context):
            return
        retry_policy = RetryPolicy(is_idempotent=True, can_retry=False)
        chosen = upstreams.choose(
            context.pool, context.tried_upstreams, retry_policy, context.typical_seconds
        )
        if isinstance(chosen, Failure):
            return
        retries.withdraw(context.pool)
        metrics.count("hedges")
        attempts.start(chosen.unwrap(), lambda choice: exchange(context, choice))

    def upstream_headers(context, upstream):
        found = [(settings.expected_header, upstream.id)]
        if context.account is not None:
            found.append((settings.account_header, context.account.id))
        return tuple(found)

    def note_attempt(context, upstream, attempt):
        context.upstream = upstream
        last = context.last_attempt = attempt
        if is_unreached(last):
            context.unreached_count += 1
        else:
            context.attempt_count += 1
        if last.verdict is not Verdict.NOT_RUN:
            context.may_have_run = True
        if last.broke_connection:
            poison_requests.record_break(context.fingerprint, upstream.id)
        elif last.verdict is Verdict.RAN:
            poison_requests.record_answer(context.fingerprint)
            if last.answer.status not in SERVER_ERRORS:
                update_typical_seconds(context, last.seconds)
        emit(
            events.ATTEMPT_ENDED,
            request_id=context.request.request_id,
            pool=context.pool,
            upstream=upstream.id,
            verdict=last.verdict.value,
            status=last.answer and last.answer.status,
            detail=last.detail,
            milliseconds=round(last.seconds * 1000, 1),
            number=context.attempt_count,
        )

    def typical_seconds(route):
        known = state.typical_seconds_by_route.get(route.id)
        return route.target * FIRST_TYPICAL_SHARE if known is None else known

    def update_typical_seconds(context, seconds):
        known = typical_seconds(context.route)
        bounded = min(seconds, known * MAX_TYPICAL_FACTOR)
        state.typical_seconds_by_route[context.route.id] = (
            known + (bounded - known) * TYPICAL_WEIGHT
        )

    def should_retry(context):
        last = context.last_attempt
        if now() >= context.deadline or last.reason is Reason.CALLER_GONE:
            return False
        if is_unreached(last):
            if context.unreached_count >= MAX_UNREACHED:
                return False
            # Another upstream that answered at the address counts as an arrival.
            return not last.shed or is_in_budget(context)
        if context.attempt_count >= context.route.max_attempts:
            return False
        if last.verdict is not Verdict.NOT_RUN:
            if not (context.route.idempotent and is_failed(last)):
                return False
        return is_in_budget(context)

    def kept(context):
        """Return the retries that a request leaves to more urgent ones."""
        return KEPT_BY_PRIORITY[min(context.priority, len(KEPT_BY_PRIORITY) - 1)]

    def is_in_budget(context):
        """Take a retry out of the budget; False when there is none left."""
        if retries.withdraw(context.pool, kept(context)):
            return True
        metrics.count("retries_over_budget")
        return False

    def are_keys_stale():
        return document_cache.age(CONFIGURATION) > settings.key_seconds

    service = Dispatchers(dispatch, typical_seconds, are_keys_stale)
    kernel.register("dispatchers", service)
    return service

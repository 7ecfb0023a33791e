"""Dispatch of a request to upstreams: attempts, hedged requests, retries.

Each attempt has a verdict. A request that may have run is sent again only where the
route allows it, and every further attempt is charged to the retry budget.
"""

from typing import Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.admission.body_memory import SMALL_BODY_BYTES
from trefoilpin.gateway.admission.poison_requests import name_incarnation
from trefoilpin.gateway.admission.queues import QueueRequest, Release
from trefoilpin.gateway.admission.send_pacing import RESERVED_RETRIES_BY_PRIORITY
from trefoilpin.gateway.balancing.pool_refusals import SATURATED
from trefoilpin.gateway.balancing.upstream_health import is_unreached
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.requests import retry_decisions, typical_durations
from trefoilpin.gateway.requests.concurrent_attempts import ConcurrentAttempts
from trefoilpin.gateway.requests.request_contexts import (
    CALLER_LEFT,
    INTERRUPTED,
    NOT_CURRENT,
    SERVER_ERRORS,
    STOPPING,
    is_served,
)
from trefoilpin.gateway.store.document_cache import CONFIGURATION
from trefoilpin.verdicts import Verdict

__all__ = ["DispatchSettings", "Dispatchers", "create"]

# An idempotent request is hedged once its first attempt has taken this multiple of the
# typical duration. Source: Dean and Barroso, "The tail at scale", Communications of the
# ACM 56(2), 2013. For durations with a spread of 0.8 this hedges one request in
# fifteen, which uses a third of the retry budget.
HEDGE_FACTOR = 2.5
MIN_HEDGE_SECONDS = 0.25
# Retries that hedges leave for others.
HEDGE_RESERVE = RESERVED_RETRIES_BY_PRIORITY[-1]
# The task of an attempt may end this much later than the deadline of the attempt.
ATTEMPT_GRACE_SECONDS = 0.5
# Time in which the fleet may grant a retry to a request that is due to be hedged.
HEDGE_GRANT_SECONDS = 0.25


class DispatchSettings(NamedTuple):
    """Settings of the dispatch.

    Attributes
    ----------
    key_seconds : float
        Age of the configuration in seconds above which API keys are not accepted.
    account_header : str
        Header, in lower case, that names the account to the upstream.
    expected_header : str
        Header that names the intended upstream to the receiver.
    """

    key_seconds: float
    account_header: str
    expected_header: str


class Dispatchers(NamedTuple):
    """``dispatchers``: dispatch of requests to upstreams.

    ``dispatch(context)`` runs attempts until the request is done and stores the outcome
    in the ``RequestContext``. ``typical_seconds(route)`` is the typical duration of a
    route's requests, and ``are_keys_stale()`` tells whether the configuration is too
    old, or may be an earlier one, so that keys can't be trusted. After ``end_by(time)``
    no attempt is started that would typically take until after that time of the clock.
    """

    dispatch: Callable
    typical_seconds: Callable
    are_keys_stale: Callable[[], bool]
    end_by: Callable[[float], None]


class DispatchState:
    """The time at which this host ends."""

    def __init__(self):
        self.ends_at = float("inf")


def create(kernel, settings, create_event, rollouts=None):
    """Create the service ``dispatchers``.

    Parameters
    ----------
    kernel : Kernel
    settings : DispatchSettings
    create_event : callable
        Creates an event with ``wait(seconds)``, ``send()`` and ``ready()``.
    rollouts : Rollouts, optional
        Chooses the version of an upstream where rollouts are ordered.

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
    retry_budgets = kernel.find("retry_budgets")
    decisions = retry_decisions.create(kernel)
    durations = typical_durations.create()
    queues = kernel.find("queues")
    pool_pressure = kernel.find("pool_pressure")
    send_pacing = kernel.find("send_pacing")
    upstreams = kernel.find("upstreams")
    forwarders = kernel.find("forwarders")
    forwarders.on_broken_answer(upstreams.record_broken_answer)
    release = upstreams.release if rollouts is None else rollouts.release

    def dispatch(context):
        while True:
            outcome = queues.enter(
                context.pool,
                QueueRequest(
                    context.priority,
                    context.deadline,
                    context.request.arrived_at + context.route.target,
                    context.typical_seconds,
                    account_id(context),
                    context.route.id,
                ),
                lambda: choose(context),
                context.request.caller_gone,
            )
            if isinstance(outcome, Failure):
                decisions.give_back(context)
                context.refusal = outcome.failure()
                return
            if not (decisions.may_send(context) and may_send(context)):
                decisions.give_back(context)
                release(outcome.unwrap(), None, context.typical_seconds)
                queues.notify_release(
                    context.pool,
                    Release(account_id(context), 0.0, context.typical_seconds),
                )
                return
            if may_hedge(context):
                send_with_hedge(context, outcome.unwrap())
            else:
                send(context, outcome.unwrap())
            if not decisions.should_retry(context):
                return

    def account_id(context):
        return "" if context.account is None else context.account.id

    def choose(context):
        seconds_left = context.request.arrived_at + context.route.target - now()
        if seconds_left < context.typical_seconds:
            # The request will be late, so only its deadline counts.
            seconds_left = context.deadline - now()
        if not send_pacing.may_send(
            context.pool, seconds_left, context.typical_seconds
        ):
            return SATURATED
        retry_policy = RetryPolicy(
            context.route.idempotent, decisions.can_retry(context)
        )
        return choose_upstream(context, retry_policy)

    def choose_upstream(context, retry_policy):
        body_bytes = len(context.request.body)
        arguments = (
            context.pool,
            context.tried_upstreams,
            retry_policy,
            context.typical_seconds,
            body_bytes,
        )
        if rollouts is None:
            outcome = upstreams.choose(*arguments)
        else:
            outcome = rollouts.choose(context.route.id, *arguments)
        is_held_back = body_bytes > SMALL_BODY_BYTES and outcome is SATURATED
        if is_held_back and not context.is_held_back:
            context.is_held_back = True
            metrics.count("bodies_held_back")
            emit(
                events.BODY_HELD_BACK,
                request_id=context.request.request_id,
                pool=context.pool,
                bytes=body_bytes,
            )
        return outcome

    def may_send(context):
        """Repeat the checks whose result may have changed while the request waited."""
        early_refusal = None
        if context.request.caller_gone():
            early_refusal = CALLER_LEFT
        elif now() + context.typical_seconds > state.ends_at:
            early_refusal = STOPPING
        elif context.account is not None and are_keys_stale():
            early_refusal = NOT_CURRENT
        else:
            early_refusal = poison_requests.check(context.fingerprint)
        if early_refusal is None:
            return True
        context.refusal = early_refusal
        return False

    def send(context, choice):
        attempt = exchange(context, choice, context.typical_seconds, context.retry_by)
        record_attempt(context, choice.upstream, attempt)

    def exchange(context, choice, charged_seconds, retry_by):
        """Run an attempt, of whose time ``queues.enter`` counted a part.

        A retry has to be sent by the clock time ``retry_by``, a first attempt by none.
        """
        upstream = choice.upstream
        started_at = now()
        send_pacing.record_send(context.pool)
        # A copied refusal of the earlier attempt would bear the id of this one.
        is_return = context.start_attempt(upstream)
        attempt = INTERRUPTED
        try:
            attempt = forwarders.exchange(
                upstream,
                context.request,
                context.deadline,
                context.route.idempotent,
                upstream_headers(context, upstream),
                is_return
                or is_sent_without_decoys(context, choice)
                or poison_requests.is_suspect(context.fingerprint),
                choice.send_by if retry_by is None else min(choice.send_by, retry_by),
                not choice.is_cold,
            )
            return attempt
        finally:
            release(choice, attempt, context.typical_seconds)
            if not is_unreached(attempt):
                pool_pressure.record_end(context.pool, upstream.id, attempt.shed)
            if attempt.shed:
                send_pacing.record_shed(context.pool, now() - attempt.seconds)
            queues.notify_release(
                context.pool,
                Release(account_id(context), now() - started_at, charged_seconds),
            )

    def is_sent_without_decoys(context, choice):
        """Tell whether a refusal could not be told from a copy on a kept connection."""
        return choice.is_cold and not context.route.idempotent

    def may_hedge(context):
        """Tell whether the route and the retry budget allow a concurrent attempt."""
        if (
            not context.route.idempotent
            or context.attempt_count + 1 >= context.route.max_attempts
            or send_pacing.is_paced(context.pool)
        ):
            return False
        return retry_budgets.balance(context.pool, HEDGE_RESERVE) >= 1

    def send_with_hedge(context, choice):
        """Send a request, and send it to a second upstream if the answer takes long.

        The first attempt that ran without failing decides; the other one is cancelled.
        One that was refused, or reached no upstream, leaves the other one at work.
        """
        attempts = ConcurrentAttempts(kernel.spawn, create_event)
        charged_seconds, retry_by = context.typical_seconds, context.retry_by
        attempts.start(
            choice,
            lambda choice: exchange(context, choice, charged_seconds, retry_by),
        )
        try:
            finished = attempts.next_finished(hedge_delay(context))
            if finished is None and not start_hedge(context, attempts):
                # The fleet was asked for a retry.
                finished = attempts.next_finished(HEDGE_GRANT_SECONDS)
                if finished is None:
                    start_hedge(context, attempts)
            if finished is None:
                finished = attempts.next_finished(
                    context.deadline + ATTEMPT_GRACE_SECONDS - now()
                )
            while finished is not None:
                record_attempt(
                    context, finished.choice.upstream, finished.attempt or INTERRUPTED
                )
                if not attempts.in_flight or is_served(context.last_attempt):
                    return
                finished = attempts.next_finished(
                    context.deadline + ATTEMPT_GRACE_SECONDS - now()
                )
        finally:
            attempts.stop()

    def hedge_delay(context):
        return max(context.typical_seconds * HEDGE_FACTOR, MIN_HEDGE_SECONDS)

    def start_hedge(context, attempts):
        """Start a second attempt if an upstream has room and the deadline allows it.

        Return False when the host lacked a retry for it.
        """
        if now() + context.typical_seconds >= context.deadline or not may_hedge(
            context
        ):
            return True
        if not may_send(context):
            return True
        send_by = retry_budgets.withdraw(context.pool, HEDGE_RESERVE)
        if send_by is None:
            return False
        retry_policy = RetryPolicy(is_idempotent=True, can_retry=False)
        second = choose_upstream(context, retry_policy)
        if isinstance(second, Failure):
            retry_budgets.give_back(context.pool, send_by)
            return True
        metrics.count("hedges")
        context.retry_by = send_by
        attempts.start(
            second.unwrap(), lambda choice: exchange(context, choice, 0.0, send_by)
        )
        return True

    def upstream_headers(context, upstream):
        headers = [(settings.expected_header, upstream.id)]
        if context.account is not None:
            headers.append((settings.account_header, context.account.id))
        return tuple(headers)

    def record_attempt(context, upstream, attempt):
        context.upstream = upstream
        last = context.last_attempt = attempt
        if is_unreached(last):
            context.unreached_count += 1
        else:
            context.attempt_count += 1
        if last.verdict is not Verdict.NOT_RUN:
            context.may_have_run = True
        if last.broke_connection:
            incarnation = name_incarnation(upstream)
            poison_requests.record_break(context.fingerprint, incarnation)
        elif last.broke_idle_connection:
            poison_requests.record_doubt(context.fingerprint)
        elif last.verdict is Verdict.RAN:
            if last.answer.status not in SERVER_ERRORS:
                # An upstream that fails may answer before it runs what crashes others.
                poison_requests.record_answer(context.fingerprint)
                durations.update(context.route, last.seconds)
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

    def are_keys_stale():
        is_old = document_cache.age(CONFIGURATION) > settings.key_seconds
        return is_old or document_cache.is_unproven(CONFIGURATION)

    def end_by(time):
        state.ends_at = time

    service = Dispatchers(dispatch, durations.seconds, are_keys_stale, end_by)
    kernel.register("dispatchers", service)
    return service

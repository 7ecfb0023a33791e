"""Tells what the head of an upstream's answer says, and whether it can be believed."""

import re
from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.headers import read_retry_after

__all__ = ["MAX_PAUSE_SECONDS", "AnswerChecks", "create", "read_max_idle"]

# An upstream may close an idle connection this much sooner than it announced.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
KEEP_ALIVE = re.compile(r"timeout\s*=\s*(\d+)")
UNAVAILABLE_STATUS = 503
# Longest time for which an upstream's request to pause is followed.
MAX_PAUSE_SECONDS = 60.0


class AnswerChecks(NamedTuple):
    """Functions that check the heads of answers in a dialect.

    ``is_refusal(response)`` tells whether a head was read that is a refusal, though
    maybe a copy. ``identity_fault(connection, outgoing, response, value_by_name)``
    returns why an answer may belong to another request, or None.
    ``makes_false_promise(outgoing, status, value_by_name)`` tells whether an answer's
    status would promise to the caller what its upstream does not say.
    ``read_pause(outgoing, status, value_by_name)`` returns the time for which the
    upstream wants no request, in seconds.
    """

    is_refusal: Callable
    identity_fault: Callable
    makes_false_promise: Callable
    read_pause: Callable


def read_max_idle(value_by_name, max_idle):
    """Return the idle timeout of a connection in seconds, as its upstream announced it.

    Parameters
    ----------
    value_by_name : dict
        Headers of an answer.
    max_idle : float or None
        Returned when the answer announces none.
    """
    announced = KEEP_ALIVE.search(value_by_name.get("keep-alive", ""))
    if announced is None:
        return max_idle
    return float(announced.group(1)) - KEEP_ALIVE_MARGIN_SECONDS


def create(kernel, dialect):
    """Return the ``AnswerChecks`` of a dialect.

    Parameters
    ----------
    kernel : Kernel
    dialect : Dialect
    """
    emit = kernel.find("events").emit

    def is_refusal(response):
        if response is None:
            return False
        value_by_name = dict(response.fields)
        return dialect.states_not_run(response.status, value_by_name)

    def identity_fault(connection, outgoing, response, value_by_name):
        echoed = value_by_name.get(dialect.request_id)
        expects_echo = connection.echoes_request_id or dialect.skips_mismatched_answers
        connection.echoes_request_id = echoed is not None
        if echoed not in (None, outgoing.request.request_id):
            return "the answer belongs to another request"
        if echoed is not None or not expects_echo:
            return None
        if dialect.states_not_run(response.status, value_by_name):
            return None
        return "the answer names no request"

    def makes_false_promise(outgoing, status, value_by_name):
        if outgoing.idempotent or status not in dialect.promise_statuses:
            return False
        return not dialect.states_not_run(status, value_by_name)

    def read_pause(outgoing, status, value_by_name):
        stated = value_by_name.get("retry-after")
        if status != UNAVAILABLE_STATUS or stated is None:
            return 0.0
        seconds = read_retry_after(stated, kernel.clock.wall())
        if seconds is None or seconds > MAX_PAUSE_SECONDS:
            emit(
                events.RETRY_AFTER_LIMITED,
                upstream=outgoing.upstream,
                stated=stated[:64],
                seconds=None if seconds is None else MAX_PAUSE_SECONDS,
            )
        return min(seconds or 0.0, MAX_PAUSE_SECONDS)

    return AnswerChecks(is_refusal, identity_fault, makes_false_promise, read_pause)

"""Decisions of this host on the idempotency keys that it issued or took over.

Only the incarnation named in a key decides on it, or the successor that took over its
table, so neither a lease nor the store is needed to prevent two hosts from deciding. A
stopping host stops deciding before it transfers its tables to its successor.
"""

from typing import NamedTuple

from trefoilpin import answers, events, key_tables
from trefoilpin.operation_messages import (
    ClaimReply,
    Decision,
    ReportReply,
)
from trefoilpin.services import Issuers
from trefoilpin.verdicts import Verdict

__all__ = ["CLAIM", "REPORT", "IssuerBounds", "IssuerState", "create"]

CLAIM = "operations.claim"
REPORT = "operations.report"
LOGGED_KEY_CHARACTERS = 16


class IssuerBounds(NamedTuple):
    """Bounds of this host's own table and of the adopted ones.

    Attributes
    ----------
    max_keys : int
        Rows of a table from which on no further key is granted.
    max_adopted_keys : int
        Rows of all adopted tables together; beyond it the oldest table is dropped.
    answers : AnswerBounds
    """

    max_keys: int
    max_adopted_keys: int
    answers: answers.AnswerBounds


class IssuerState:
    """Tables by issuer in the order of their adoption, and their saved answers."""

    def __init__(self, own):
        self.table_by_issuer = {own: key_tables.KeyTable()}
        self.ever_held_issuers = {own}
        self.saved = answers.SavedAnswers()
        self.is_deciding = True
        self.successor = ""


def create(kernel, bounds):
    """Create the service ``issuers``.

    Parameters
    ----------
    kernel : Kernel
    bounds : IssuerBounds

    Returns
    -------
    Issuers
    """
    is_host_running = kernel.find("departed_hosts").is_running
    emit = kernel.find("events").emit
    now = kernel.clock.now
    own = kernel.find("memberships").own().incarnation
    state = IssuerState(own)

    def claim(message):
        if not state.is_deciding:
            return ClaimReply(Decision.MOVED.value, state.successor)
        table = state.table_by_issuer.get(message.issuer)
        if table is None:
            return ClaimReply(Decision.ABSENT.value)
        decision = key_tables.claim(table, message, bounds.max_keys, is_host_running)
        emit(
            events.OPERATION_DECIDED,
            key=message.key.hex()[:LOGGED_KEY_CHARACTERS],
            attempt=message.attempt_id,
            decision=decision.value,
        )
        if decision is not Decision.RAN:
            return ClaimReply(decision.value)
        saved_answer = answers.find(
            state.saved, message.issuer, message.key, now(), bounds.answers
        )
        return ClaimReply(decision.value, answer=saved_answer)

    def report(message):
        if not state.is_deciding:
            return ReportReply(Decision.MOVED.value, state.successor)
        table = state.table_by_issuer.get(message.issuer)
        if table is None:
            return ReportReply(Decision.ABSENT.value)
        held = key_tables.report(table, message, bounds.max_keys)
        has_run = message.verdict == Verdict.RAN.value
        if held and has_run and message.answer is not None:
            answers.save(
                state.saved,
                message.issuer,
                message.key,
                message.answer,
                now(),
                now(),
                bounds.answers,
            )
        return ReportReply(Decision.TAKEN.value)

    def takes_keys():
        table = state.table_by_issuer[own]
        return state.is_deciding and not key_tables.is_full(table, bounds.max_keys)

    def count_keys():
        return sum(map(key_tables.count_rows, state.table_by_issuer.values()))

    metrics = kernel.find("metrics")
    metrics.gauge("operation_keys", count_keys)
    metrics.gauge("saved_answer_bytes", lambda: state.saved.total_bytes)
    peers = kernel.find("peers")
    peers.serve(CLAIM, lambda sender, message: claim(message))
    peers.serve(REPORT, lambda sender, message: report(message))
    service = Issuers(claim, report, takes_keys, state)
    kernel.register("issuers", service)
    return service

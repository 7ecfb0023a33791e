"""Writes under drawn faults: doubled runs, untrue refusals, differing answers.

Each history runs the real decisions of several hosts on one clock. Afterwards every
fault is healed and each write is sent once more: its outcome is compared with that
of a naive dictionary that knew everything at once. Baselines are the same histories
with a mechanism switched off.
"""

import sys
from collections import Counter
from unittest import mock

from returns.result import Success

from bench.results import Result, finish
from bench.write_histories import run_history
from trefoilpin import claims, key_tables, outboxes
from trefoilpin.fakes import writers
from trefoilpin.operation_messages import ClaimReply, Decision
from trefoilpin.services import Claims
from trefoilpin.verdicts import Reason, Verdict

__all__ = ["check_history"]

decide, take_report = key_tables.claim, key_tables.report

HISTORIES = 2000
BASELINE_HISTORIES = 200
FORGETFUL_HISTORIES = 1000


def table_is_lost(history, issuer):
    """Tell whether no host can decide on an issuer's keys any more."""
    while issuer:
        if issuer in history.lost_tables:
            return True
        if issuer not in history.stopped:
            return issuer in history.crashed
        issuer = history.successor_by_host[issuer]
    return True


def expect(history, operation):
    """Return what a naive dictionary that knew everything would answer.

    Returns
    -------
    set of str
        Of ``answer``, ``run`` and ``uncertain``: more than one where a crash hid the
        truth from every host that remains.
    """
    truth = history.fleet.upstream_state
    if operation.issuer and table_is_lost(history, operation.issuer):
        return {"uncertain"}
    senders = {sent.host for sent in history.sends if sent.operation is operation}
    hidden = {"uncertain"} if senders & history.crashed else set()
    if operation.name in truth.uncertain_operations:
        return {"uncertain"}
    if truth.bodies_by_operation.get(operation.name):
        return {"answer"} | hidden
    return {"run"} | hidden


def classify(sent, bodies_before):
    """Return what a send after the faults got, in the words of ``expect``."""
    if sent.outcome is None:
        return "nothing"
    if isinstance(sent.outcome, Success):
        body = sent.outcome.unwrap().body
        if not bodies_before:
            return "run"
        return "answer" if body == bodies_before[0] else "another answer"
    reason = sent.outcome.failure().reason
    return "uncertain" if reason is Reason.OPERATION_UNCERTAIN else reason.value.code


def check_history(seed, bounds=writers.Variant(), details=None):
    """Run a history and count what must not happen.

    Parameters
    ----------
    seed : int
    bounds : Bounds
    details : callable, optional
        Called with a line of text for each violation.

    Returns
    -------
    Counter
    """
    history, last = run_history(seed, bounds)
    truth, counts = history.fleet.upstream_state, Counter(histories=1)

    def violate(name, text):
        counts[name] += 1
        if details is not None:
            details(f"seed {seed}: {name}: {text}")

    for name, bodies in truth.bodies_by_operation.items():
        counts["runs"] += len(bodies)
        if len(bodies) > 1:
            violate("doubled", name)
    for sent in history.sends:
        if sent.outcome is None:
            continue
        counts["sends"] += 1
        if isinstance(sent.outcome, Success):
            body = sent.outcome.unwrap().body
            if (
                body
                != truth.bodies_by_operation[writers.name_operation(sent.request)][0]
            ):
                violate("differing", sent.request.request_id)
            continue
        refusal = sent.outcome.failure()
        counts[refusal.reason.value.code] += 1
        ran = sent.request.request_id in truth.ran_requests
        if refusal.verdict is Verdict.NOT_RUN and ran:
            violate("untrue", f"{sent.request.request_id} {refusal}")
        moving = sent.operation.issuer in history.stopped
        if refusal.reason is Reason.ISSUER_UNREACHABLE and not moving:
            if not sent.task.had_message_fault:
                violate("refused", f"{sent.request.request_id} {refusal}")
    for sent in last:
        ran_now = sent.request.request_id in truth.ran_requests
        bodies = truth.bodies_by_operation.get(sent.operation.name, [])
        got = classify(sent, [] if ran_now and len(bodies) == 1 else bodies)
        expected = expect_before(history, sent, ran_now)
        reused = got == Reason.OPERATION_KEY_REUSED.value.code
        if reused and was_sent_otherwise(history, sent.operation):
            continue
        if got not in expected:
            violate("refused", f"{sent.operation.name}: got {got}, not {expected}")
    return counts


def was_sent_otherwise(history, operation):
    """Tell whether a key came with another request before."""
    for sent in history.sends:
        other = sent.request.body != operation.text.encode()
        if other and sent.operation is operation:
            return True
    return False


def expect_before(history, sent, ran_now):
    """Return the naive answer, the send itself left out of what is known."""
    bodies_by_operation = history.fleet.upstream_state.bodies_by_operation
    name = sent.operation.name
    if not ran_now:
        return expect(history, sent.operation)
    kept = bodies_by_operation[name]
    bodies_by_operation[name] = kept[:-1]
    expected = expect(history, sent.operation)
    bodies_by_operation[name] = kept
    return expected


def claim_nothing(kernel):
    """Register ``claims`` that grant whatever is asked."""
    granted = ClaimReply(Decision.GRANTED.value)
    outbox = outboxes.create_outbox(kernel, lambda destination, message: True)
    service = Claims(lambda *claim: granted, lambda message: None, outbox)
    kernel.register("claims", service)


def claim_here(kernel):
    """Register ``claims`` under which each entry host decides by itself."""
    held = {}
    inner = claims.create(kernel._replace(register=held.__setitem__))
    own = kernel.find("memberships").own().incarnation

    def claim(issuer, *rest):
        return inner.claim(own, *rest)

    def report(message):
        inner.report(message._replace(issuer=own))

    kernel.register("claims", inner._replace(claim=claim, report=report))


def grant_after_expiry(table, message, max_keys, runs):
    """Decide like ``key_tables.claim``, but have the grant of an absent host expire."""
    holder = table.attempt_by_key.get(message.key)
    if holder is not None and not runs(key_tables.entry_host(holder)):
        table.attempt_by_key[message.key] = message.attempt_id
    return decide(table, message, max_keys, runs)


def report_without_memory(table, message, max_keys):
    """Take a report like ``key_tables.report``, but forget cancelled attempts."""
    held = take_report(table, message, max_keys)
    table.cancelled_attempts.clear()
    return held


def count_all(seeds, bounds=writers.Variant(), details=None):
    """Return the counts of several histories together."""
    counts = Counter()
    for seed in seeds:
        counts += check_history(seed, bounds, details)
    return counts


def main():
    """Measure, with the baselines."""
    found = count_all(
        range(HISTORIES), details=lambda text: print(text, file=sys.stderr)
    )
    few = range(BASELINE_HISTORIES)
    none = count_all(few, writers.Variant(claim_nothing))
    local = count_all(few, writers.Variant(claim_here))
    kept = count_all(few, writers.Variant(hand_over=False))
    with mock.patch.object(key_tables, "claim", grant_after_expiry):
        expiring = count_all(few)
    with mock.patch.object(key_tables, "report", report_without_memory):
        forgetful = count_all(range(FORGETFUL_HISTORIES))
    finish(results(found, none, local, kept, expiring, forgetful))


def results(found, none, local, kept, expiring, forgetful):
    """Yield the figures, each beside the one without a mechanism."""

    def result(name, value, bound=0, baseline=None):
        return Result(f"at_most_once_{name}", value, "count", bound, 0, baseline)

    yield result("histories", found["histories"], None)
    yield result("sends", found["sends"], None)
    yield result("runs", found["runs"], None)
    doubled, refused = found["doubled"], found["refused"]
    yield result("doubled_runs", doubled, 0, none["doubled"])
    yield result("doubled_runs_no_issuer", doubled, 0, local["doubled"])
    yield result("doubled_runs_grants_expire", doubled, 0, expiring["doubled"])
    yield result("untrue_not_run", found["untrue"])
    yield result("differing_answers", found["differing"], 0, none["differing"])
    yield result("refused_in_reach", refused)
    yield result("refused_in_reach_no_hand_over", refused, 0, kept["refused"])
    yield result("refused_in_reach_no_cancel", refused, 0, forgetful["refused"])


if __name__ == "__main__":
    main()

"""Writes under random faults: doubled runs, false refusals, differing answers.

Each history runs the real decision logic of several hosts on one simulated clock. At
the end every fault is removed and each write is sent once more. The outcome is compared
with a reference dictionary that has complete knowledge of what ran. Baselines run
histories with one mechanism disabled.
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

decide_claim, record_report = key_tables.claim, key_tables.report

HISTORIES = 2000
BASELINE_HISTORIES = 200
NO_CANCEL_HISTORIES = 1000


def is_table_lost(history, issuer):
    """Return whether no running host holds the key table of an issuer any more."""
    while issuer:
        if issuer in history.lost_tables:
            return True
        if issuer not in history.stopped:
            return issuer in history.crashed
        issuer = history.successor_by_host[issuer]
    return True


def expected_outcomes(history, operation):
    """Return the outcomes that complete knowledge of what ran allows.

    Returns
    -------
    set of str
        Of ``answer``, ``run`` and ``uncertain``: more than one where a crash left no
        running host that knows the outcome of an earlier send.
    """
    truth = history.fleet.upstream_state
    if operation.issuer and is_table_lost(history, operation.issuer):
        return {"uncertain"}
    entry_hosts = {sent.host for sent in history.sends if sent.operation is operation}
    unknown_outcomes = {"uncertain"} if entry_hosts & history.crashed else set()
    if operation.name in truth.uncertain_operations:
        return {"uncertain"}
    if truth.bodies_by_operation.get(operation.name):
        return {"answer"} | unknown_outcomes
    return {"run"} | unknown_outcomes


def classify_outcome(sent, bodies_before):
    """Return the outcome of a final send, in the terms of ``expected_outcomes``."""
    if sent.outcome is None:
        return "nothing"
    if isinstance(sent.outcome, Success):
        body = sent.outcome.unwrap().body
        if not bodies_before:
            return "run"
        return "answer" if body == bodies_before[0] else "another answer"
    reason = sent.outcome.failure().reason
    return "uncertain" if reason is Reason.OPERATION_UNCERTAIN else reason.value.code


def check_history(seed, bounds=writers.Variant(), log_violation=None):
    """Run a history and count the violations of at-most-once execution.

    Parameters
    ----------
    seed : int
    bounds : Variant
    log_violation : callable, optional
        Called with a line of text for each violation.

    Returns
    -------
    Counter
        ``doubled``: operations that ran more than once; ``differing``: answers that
        differ from the first run's; ``untrue``: refusals as not run of requests that
        ran; ``refused``: refusals without cause. Beside them ``histories``, ``sends``,
        ``runs`` and the refusals by reason.
    """
    history, final_sends = run_history(seed, bounds)
    truth, counts = history.fleet.upstream_state, Counter(histories=1)

    def count_violation(name, text):
        counts[name] += 1
        if log_violation is not None:
            log_violation(f"seed {seed}: {name}: {text}")

    for name, bodies in truth.bodies_by_operation.items():
        counts["runs"] += len(bodies)
        if len(bodies) > 1:
            count_violation("doubled", name)
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
                count_violation("differing", sent.request.request_id)
            continue
        refusal = sent.outcome.failure()
        counts[refusal.reason.value.code] += 1
        ran = sent.request.request_id in truth.ran_requests
        if refusal.verdict is Verdict.NOT_RUN and ran:
            count_violation("untrue", f"{sent.request.request_id} {refusal}")
        is_moving = sent.operation.issuer in history.stopped
        if refusal.reason is Reason.ISSUER_UNREACHABLE and not is_moving:
            if not sent.task.had_message_fault:
                count_violation("refused", f"{sent.request.request_id} {refusal}")
    for sent in final_sends:
        ran_now = sent.request.request_id in truth.ran_requests
        bodies = truth.bodies_by_operation.get(sent.operation.name, [])
        final_outcome = classify_outcome(
            sent, [] if ran_now and len(bodies) == 1 else bodies
        )
        expected = expected_before(history, sent, ran_now)
        is_reused = final_outcome == Reason.OPERATION_KEY_REUSED.value.code
        if is_reused and was_sent_with_other_text(history, sent.operation):
            continue
        if final_outcome not in expected:
            count_violation(
                "refused",
                f"{sent.operation.name}: got {final_outcome}, expected {expected}",
            )
    return counts


def was_sent_with_other_text(history, operation):
    """Return whether the key of an operation was sent with another body as well."""
    for sent in history.sends:
        is_other_text = sent.request.body != operation.text.encode()
        if is_other_text and sent.operation is operation:
            return True
    return False


def expected_before(history, sent, ran_now):
    """Return the expected outcomes as they were before the final send ran."""
    bodies_by_operation = history.fleet.upstream_state.bodies_by_operation
    name = sent.operation.name
    if not ran_now:
        return expected_outcomes(history, sent.operation)
    bodies = bodies_by_operation[name]
    bodies_by_operation[name] = bodies[:-1]
    outcomes = expected_outcomes(history, sent.operation)
    bodies_by_operation[name] = bodies
    return outcomes


def grant_every_claim(kernel):
    """Register ``claims`` that grant every claim and record nothing."""
    granted = ClaimReply(Decision.GRANTED.value)
    outbox = outboxes.create_outbox(kernel, lambda destination, message: True)
    service = Claims(lambda *claim: granted, lambda message: None, outbox)
    kernel.register("claims", service)


def create_local_claims(kernel):
    """Register ``claims`` by which each entry host decides with its own key table."""
    registered_services = {}
    real_claims = claims.create(
        kernel._replace(register=registered_services.__setitem__)
    )
    own = kernel.find("memberships").own().incarnation

    def claim(issuer, *rest):
        return real_claims.claim(own, *rest)

    def report(message):
        real_claims.report(message._replace(issuer=own))

    kernel.register("claims", real_claims._replace(claim=claim, report=report))


def grant_after_expiry(table, message, max_keys, is_running):
    """Decide like ``key_tables.claim``, except that grants of absent hosts expire."""
    holding_attempt = table.attempt_by_key.get(message.key)
    if holding_attempt is not None and not is_running(
        key_tables.entry_host(holding_attempt)
    ):
        table.attempt_by_key[message.key] = message.attempt_id
    return decide_claim(table, message, max_keys, is_running)


def report_without_cancellation(table, message, max_keys):
    """Record a report like ``key_tables.report``, but keep no cancelled attempts."""
    held = record_report(table, message, max_keys)
    table.cancelled_attempts.clear()
    return held


def count_all(seeds, bounds=writers.Variant(), log_violation=None):
    """Return the summed counts of several histories."""
    counts = Counter()
    for seed in seeds:
        counts += check_history(seed, bounds, log_violation)
    return counts


def main():
    """Run the histories and the baselines."""
    counts = count_all(
        range(HISTORIES), log_violation=lambda text: print(text, file=sys.stderr)
    )
    baseline_seeds = range(BASELINE_HISTORIES)
    without_claims = count_all(baseline_seeds, writers.Variant(grant_every_claim))
    with_local_claims = count_all(baseline_seeds, writers.Variant(create_local_claims))
    without_hand_over = count_all(baseline_seeds, writers.Variant(hand_over=False))
    with mock.patch.object(key_tables, "claim", grant_after_expiry):
        with_expiring_grants = count_all(baseline_seeds)
    with mock.patch.object(key_tables, "report", report_without_cancellation):
        without_cancellation = count_all(range(NO_CANCEL_HISTORIES))
    finish(
        results(
            counts,
            without_claims,
            with_local_claims,
            without_hand_over,
            with_expiring_grants,
            without_cancellation,
        )
    )


def results(
    counts,
    without_claims,
    with_local_claims,
    without_hand_over,
    with_expiring_grants,
    without_cancellation,
):
    """Yield the figures, each with that of its baseline."""

    def result(name, value, bound=0, baseline=None):
        return Result(f"at_most_once_{name}", value, "count", bound, 0, baseline)

    yield result("histories", counts["histories"], None)
    yield result("sends", counts["sends"], None)
    yield result("runs", counts["runs"], None)
    doubled_runs, refused_in_reach = counts["doubled"], counts["refused"]
    yield result("doubled_runs", doubled_runs, 0, without_claims["doubled"])
    yield result(
        "doubled_runs_no_issuer", doubled_runs, 0, with_local_claims["doubled"]
    )
    yield result(
        "doubled_runs_grants_expire", doubled_runs, 0, with_expiring_grants["doubled"]
    )
    yield result("untrue_not_run", counts["untrue"])
    yield result(
        "differing_answers", counts["differing"], 0, without_claims["differing"]
    )
    yield result("refused_in_reach", refused_in_reach)
    yield result(
        "refused_in_reach_no_hand_over",
        refused_in_reach,
        0,
        without_hand_over["refused"],
    )
    yield result(
        "refused_in_reach_no_cancel",
        refused_in_reach,
        0,
        without_cancellation["refused"],
    )


if __name__ == "__main__":
    main()

"""The promises, checked from what callers and upstreams saw.

Bounds are those of the platform's pages. A check that holds for calm hosts only leaves
out what overlaps a disturbance of the host or the store, with the time in which they
count as disturbed afterwards.
"""

import collections
from typing import NamedTuple

__all__ = ["Evidence", "check_all"]

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
KEY_SECONDS = 5.0
ZONE_SECONDS = 5.0
RATE_WINDOW_SECONDS = 5.0
RATE_OVERSHOOT = 1.1
RATE_SLACK = 20
RECOVERY_SECONDS = 15.0
LEAST_SERVED = 0.25
ALL_TIME = float("inf")


class Evidence(NamedTuple):
    """What one run left behind.

    Attributes
    ----------
    records : list of callers.Sent
    executions : list of stand_ins.Execution
        Of every upstream, in order of time.
    spans : list of faults.Span
    changes : list of worlds.Change
    lives_by_ip : dict
    zone_by_upstream, pool_by_upstream : dict
    accounts : list of worlds.Account
    all_started_at : list of float
    """

    records: list
    executions: list
    spans: list
    changes: list
    lives_by_ip: dict
    zone_by_upstream: dict
    pool_by_upstream: dict
    accounts: list
    all_started_at: list


def request_id(execution):
    """Return the id of the request that an upstream ran."""
    return execution.header_by_name.get("trefoilpin-request-id", "")


def is_calm(evidence, host, at, seconds):
    """Tell whether a host and the store were undisturbed for a while before a time."""
    for span in evidence.spans:
        if not {"store", host}.intersection(span.subjects):
            continue
        if span.began_at <= at and span.ended_at >= at - seconds - CONTACT_SECONDS:
            return False
    for life in evidence.lives_by_ip.get(host, ()):
        if at - seconds - CONTACT_SECONDS <= life.started_at <= at:
            return False
    return True


def forbidden_spans(evidence, begin, end):
    """Yield subject, start and end of what was forbidden by pairs of changes."""
    open_by_subject = {}
    for change in evidence.changes:
        if change.kind == begin:
            open_by_subject.setdefault(change.subject, change.at)
        elif change.kind == end and change.subject in open_by_subject:
            yield change.subject, open_by_subject.pop(change.subject), change.at
    for subject, at in open_by_subject.items():
        yield subject, at, ALL_TIME


def check_answers(evidence):
    """Every caller gets the whole answer to its own request."""
    for sent in evidence.records:
        if not sent.is_right:
            yield f"{sent.request_id} got a wrong or unsigned answer from {sent.host}"


def check_once(evidence):
    """What may not be repeated runs once at most."""
    counts = collections.Counter()
    for execution in evidence.executions:
        if execution.method == "POST":
            counts[request_id(execution)] += 1
    for name, count in counts.items():
        if count > 1:
            yield f"{name} ran {count} times"


def check_not_run(evidence):
    """A refusal that says "not run" is true."""
    ran = {
        request_id(execution)
        for execution in evidence.executions
        if execution.method == "POST"
    }
    for sent in evidence.records:
        if sent.prefix == "/write/" and sent.is_not_run and sent.request_id in ran:
            yield f"{sent.request_id} ran and was answered {sent.status} as not run"


def check_unchanged(evidence):
    """A request reaches upstreams as it was sent, for the account of its key."""
    sent_by_id = {sent.request_id: sent for sent in evidence.records}
    for execution in evidence.executions:
        name = request_id(execution)
        sent = sent_by_id.get(name)
        body = name.encode() if execution.method == "POST" else b""
        if "authorization" in execution.header_by_name:
            yield f"{name} brought its key to {execution.upstream}"
        if not execution.target.endswith(f"/{name}") or execution.body != body:
            yield f"{name} reached {execution.upstream} changed: {execution.target}"
        account = execution.header_by_name.get("trefoilpin-tenant")
        if sent is not None and account != sent.account:
            yield f"{name} ran for {account}, not for {sent.account}"


def check_pools(evidence):
    """A request runs in a pool that its route goes to, as of its sending."""
    moves = [change for change in evidence.changes if change.kind == "route_moved"]
    sent_by_id = {sent.request_id: sent for sent in evidence.records}
    for execution in evidence.executions:
        sent = sent_by_id.get(request_id(execution))
        if sent is None or not is_calm(evidence, sent.host, sent.sent_at, 0.0):
            continue
        latest = None
        for move in moves:
            prefix, pool = move.subject.split(" ")
            if prefix == sent.prefix and move.at <= sent.finished_at:
                is_due = move.at < sent.sent_at - CONFIGURATION_SECONDS
                latest = {pool} if is_due else (latest or set()) | {pool}
        pool = evidence.pool_by_upstream[execution.upstream]
        if (
            latest
            and pool not in latest
            and len(latest) == 1
            and is_settled(sent, moves)
        ):
            yield f"{sent.request_id} ran in {pool} long after its route had moved"


def is_settled(sent, moves):
    """Tell whether a request's route had not moved for a while when it was sent."""
    for move in moves:
        prefix = move.subject.split(" ")[0]
        if prefix != sent.prefix:
            continue
        if sent.sent_at - CONFIGURATION_SECONDS <= move.at <= sent.finished_at:
            return False
    return True


def check_keys(evidence):
    """A withdrawn key stops working within seconds, at every host."""
    sent_by_id = {sent.request_id: sent for sent in evidence.records}
    spans = list(forbidden_spans(evidence, "key_withdrawn", "key_issued"))
    for execution in evidence.executions:
        sent = sent_by_id.get(request_id(execution))
        if sent is None:
            continue
        for account, began_at, ended_at in spans:
            if account != sent.account or not began_at < sent.sent_at < ended_at:
                continue
            if (
                sent.sent_at > began_at + KEY_SECONDS
                and execution.started_at < ended_at
            ):
                late = sent.sent_at - began_at
                yield f"{sent.request_id} ran with a key withdrawn {late:.2f} s before"


def check_drains(evidence):
    """A departing upstream and a zone taken out get no new work after seconds."""
    sent_by_id = {sent.request_id: sent for sent in evidence.records}
    drains = list(forbidden_spans(evidence, "draining", "undrained"))
    drains += list(forbidden_spans(evidence, "gone", "never"))
    zones = list(forbidden_spans(evidence, "zone_out", "zone_back"))
    for execution in evidence.executions:
        sent = sent_by_id.get(request_id(execution))
        if sent is None:
            continue
        zone = evidence.zone_by_upstream[execution.upstream]
        for subject, began_at, ended_at, seconds in [
            *((*span, DRAIN_SECONDS) for span in drains),
            *((*span, ZONE_SECONDS) for span in zones),
        ]:
            if (
                subject not in (execution.upstream, zone)
                or not began_at < execution.started_at < ended_at
            ):
                continue
            late = execution.started_at - began_at
            if late > seconds and is_calm(
                evidence, sent.host, execution.started_at, seconds
            ):
                yield (
                    f"{sent.request_id} reached {execution.upstream}"
                    f" {late:.2f} s too late"
                )


def check_rates(evidence):
    """No account gets more than its rate and burst over all hosts."""
    for account in evidence.accounts:
        if not account.rate:
            continue
        allowed = account.rate * RATE_WINDOW_SECONDS + account.burst
        allowed = allowed * RATE_OVERSHOOT + RATE_SLACK
        window = collections.deque()
        for execution in evidence.executions:
            if execution.header_by_name.get("trefoilpin-tenant") != account.name:
                continue
            window.append(execution.started_at)
            while window[0] < execution.started_at - RATE_WINDOW_SECONDS:
                window.popleft()
            if len(window) > allowed:
                yield f"{account.name} had {len(window)} requests in one window"
                break


def check_stops(evidence):
    """A planned stop cuts no request, and no host ends by itself."""
    for host, lives in evidence.lives_by_ip.items():
        for life in lives:
            if life.ended_by.startswith("itself"):
                yield f"{host} ended by {life.ended_by}"
    stops = [span for span in evidence.spans if span.kind == "stop"]
    ran = {request_id(execution) for execution in evidence.executions}
    for sent in evidence.records:
        if sent.status or sent.request_id not in ran:
            continue
        for span in stops:
            if sent.host not in span.subjects:
                continue
            if not span.began_at <= sent.sent_at <= span.ended_at:
                continue
            if not is_disturbed(evidence, sent, span):
                yield f"{sent.request_id} was cut while {sent.host} stopped"


def is_disturbed(evidence, sent, stop):
    """Tell whether anything but a planned stop may have broken a request off."""
    for span in evidence.spans:
        if span is stop or span.kind in ("reload", "stop"):
            continue
        if (
            span.began_at <= sent.finished_at
            and span.ended_at >= sent.sent_at - CONTACT_SECONDS
        ):
            return True
    return False


def check_recovery(evidence):
    """Requests are served again soon after all hosts were killed."""
    for at in evidence.all_started_at:
        due = [
            sent
            for sent in evidence.records
            if at + RECOVERY_SECONDS <= sent.sent_at < at + 2 * RECOVERY_SECONDS
        ]
        served = sum(sent.status == 200 for sent in due)
        if due and served < LEAST_SERVED * len(due):
            yield f"{served} of {len(due)} requests served after all had been killed"


CHECKS = (
    check_answers,
    check_once,
    check_not_run,
    check_unchanged,
    check_pools,
    check_keys,
    check_drains,
    check_rates,
    check_stops,
    check_recovery,
)


def check_all(evidence):
    """Return a sentence for each broken promise."""
    broken = []
    for check in CHECKS:
        for sentence in check(evidence):
            broken.append(f"{check.__name__.removeprefix('check_')}: {sentence}")
    return broken

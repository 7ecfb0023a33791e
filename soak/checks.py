"""Invariants, checked on the records of callers and upstreams after a run.

The bounds are those that the platform documents. Checks that hold for undisturbed hosts
only skip what overlaps a disturbance of the host or the store, or follows its end
within ``SETTLE_SECONDS`` of ``observations``.
"""

import collections

from soak.cold_checks import check_cold
from soak.observations import (
    SETTLE_SECONDS,
    Observations,
    intervals_between,
    is_undisturbed,
    request_id,
)

__all__ = ["Observations", "check_all"]

DRAIN_BOUND_SECONDS = 2.0
CONFIGURATION_BOUND_SECONDS = 2.0
KEY_BOUND_SECONDS = 5.0
ZONE_BOUND_SECONDS = 5.0
RATE_WINDOW_SECONDS = 5.0
RATE_TOLERANCE_FACTOR = 1.1
RATE_TOLERANCE_REQUESTS = 20
RECOVERY_BOUND_SECONDS = 15.0
MIN_SERVED_SHARE = 0.25


def check_answers(observations):
    """Callers get the whole response to their own request."""
    for record in observations.records:
        if not record.is_correct:
            yield (
                f"{record.request_id} got a wrong or unsigned answer"
                f" from {record.host}"
            )


def check_once(observations):
    """Non-idempotent requests are executed at most once."""
    counts = collections.Counter()
    for execution in observations.executions:
        if execution.method == "POST":
            counts[request_id(execution)] += 1
    for name, count in counts.items():
        if count > 1:
            yield f"{name} ran {count} times"


def check_not_run(observations):
    """Requests answered as not executed were not executed."""
    executed_ids = {
        request_id(execution)
        for execution in observations.executions
        if execution.method == "POST"
    }
    for record in observations.records:
        if (
            record.prefix == "/write/"
            and record.is_not_run
            and record.request_id in executed_ids
        ):
            yield f"{record.request_id} ran and was answered {record.status} as not run"


def check_unchanged(observations):
    """Requests reach upstreams unchanged, without the key and for the key's account."""
    record_by_id = {record.request_id: record for record in observations.records}
    for execution in observations.executions:
        name = request_id(execution)
        record = record_by_id.get(name)
        body = name.encode() if execution.method == "POST" else b""
        if "authorization" in execution.header_by_name:
            yield f"{name} brought its key to {execution.upstream}"
        if not execution.target.endswith(f"/{name}") or execution.body != body:
            yield f"{name} reached {execution.upstream} changed: {execution.target}"
        account = execution.header_by_name.get("trefoilpin-tenant")
        if record is not None and account != record.account:
            yield f"{name} ran for {account}, not for {record.account}"


def check_pools(observations):
    """Requests are executed by the pool that their route named when they were sent."""
    moves = [change for change in observations.changes if change.kind == "route_moved"]
    record_by_id = {record.request_id: record for record in observations.records}
    for execution in observations.executions:
        record = record_by_id.get(request_id(execution))
        if record is None or not is_undisturbed(
            observations, record.host, record.sent_at, 0.0
        ):
            continue
        allowed_pools = None
        for move in moves:
            prefix, pool = move.subject.split(" ")
            if prefix == record.prefix and move.written_at <= record.finished_at:
                is_due = move.written_at < record.sent_at - CONFIGURATION_BOUND_SECONDS
                allowed_pools = {pool} if is_due else (allowed_pools or set()) | {pool}
        pool = observations.pool_by_upstream[execution.upstream]
        if (
            allowed_pools
            and pool not in allowed_pools
            and len(allowed_pools) == 1
            and is_route_settled(record, moves)
        ):
            yield f"{record.request_id} ran in {pool} long after its route had moved"


def is_route_settled(record, moves):
    """Tell whether a request's route was stable around the time of sending."""
    for move in moves:
        prefix = move.subject.split(" ")[0]
        if prefix != record.prefix:
            continue
        if (
            record.sent_at - CONFIGURATION_BOUND_SECONDS
            <= move.written_at
            <= record.finished_at
        ):
            return False
    return True


def check_keys(observations):
    """Withdrawn keys are refused by every host once the bound has passed."""
    record_by_id = {record.request_id: record for record in observations.records}
    intervals = list(intervals_between(observations, "key_withdrawn", "key_issued"))
    for execution in observations.executions:
        record = record_by_id.get(request_id(execution))
        if record is None:
            continue
        for account, began_at, ended_at in intervals:
            if account != record.account or not began_at < record.sent_at < ended_at:
                continue
            if (
                record.sent_at > began_at + KEY_BOUND_SECONDS
                and execution.started_at < ended_at
            ):
                elapsed_seconds = record.sent_at - began_at
                yield (
                    f"{record.request_id} ran with a key withdrawn"
                    f" {elapsed_seconds:.2f} s before"
                )


def check_drains(observations):
    """Draining or removed upstreams and zones out get no requests after a bound."""
    record_by_id = {record.request_id: record for record in observations.records}
    drains = list(intervals_between(observations, "draining", "drain_ended"))
    drains += list(intervals_between(observations, "removed", "never"))
    zones = list(intervals_between(observations, "zone_out", "zone_restored"))
    for execution in observations.executions:
        record = record_by_id.get(request_id(execution))
        if record is None:
            continue
        zone = observations.zone_by_upstream[execution.upstream]
        for subject, began_at, ended_at, bound_seconds in [
            *((*interval, DRAIN_BOUND_SECONDS) for interval in drains),
            *((*interval, ZONE_BOUND_SECONDS) for interval in zones),
        ]:
            if (
                subject not in (execution.upstream, zone)
                or not began_at < execution.started_at < ended_at
            ):
                continue
            elapsed_seconds = execution.started_at - began_at
            if elapsed_seconds > bound_seconds and is_undisturbed(
                observations, record.host, execution.started_at, bound_seconds
            ):
                yield (
                    f"{record.request_id} reached {execution.upstream}"
                    f" {elapsed_seconds:.2f} s too late"
                )


def check_rates(observations):
    """Accounts stay within their rate and burst over all hosts."""
    for account in observations.accounts:
        if not account.rate:
            continue
        allowed = account.rate * RATE_WINDOW_SECONDS + account.burst
        allowed = allowed * RATE_TOLERANCE_FACTOR + RATE_TOLERANCE_REQUESTS
        window = collections.deque()
        for execution in observations.executions:
            if execution.header_by_name.get("trefoilpin-tenant") != account.name:
                continue
            window.append(execution.started_at)
            while window[0] < execution.started_at - RATE_WINDOW_SECONDS:
                window.popleft()
            if len(window) > allowed:
                yield f"{account.name} had {len(window)} requests in one window"
                break


def check_stops(observations):
    """Planned stops cut no requests, and no host process exits by itself."""
    for host, process_runs in observations.process_runs_by_ip.items():
        for process_run in process_runs:
            if process_run.exit_cause.startswith("itself"):
                yield f"{host} ended by {process_run.exit_cause}"
    stops = [
        disturbance
        for disturbance in observations.disturbances
        if disturbance.kind == "stop"
    ]
    executed_ids = {request_id(execution) for execution in observations.executions}
    for record in observations.records:
        if record.status or record.request_id not in executed_ids:
            continue
        for disturbance in stops:
            if record.host not in disturbance.subjects:
                continue
            if not disturbance.began_at <= record.sent_at <= disturbance.ended_at:
                continue
            if not may_have_other_cause(observations, record, disturbance):
                yield f"{record.request_id} was cut while {record.host} stopped"


def may_have_other_cause(observations, record, stop):
    """Tell whether a disturbance other than planned stops may have cut a request."""
    for disturbance in observations.disturbances:
        if disturbance is stop or disturbance.kind in ("reload", "stop"):
            continue
        if (
            disturbance.began_at <= record.finished_at
            and disturbance.ended_at >= record.sent_at - SETTLE_SECONDS
        ):
            return True
    return False


def check_recovery(observations):
    """Requests are served again within a bound after all hosts were killed."""
    for at in observations.full_restart_times:
        due_records = [
            record
            for record in observations.records
            if at + RECOVERY_BOUND_SECONDS
            <= record.sent_at
            < at + 2 * RECOVERY_BOUND_SECONDS
        ]
        served = sum(record.status == 200 for record in due_records)
        if due_records and served < MIN_SERVED_SHARE * len(due_records):
            yield (
                f"{served} of {len(due_records)} requests served"
                " after all had been killed"
            )


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
    check_cold,
)


def check_all(observations):
    """Return a message for each violation of an invariant."""
    violations = []
    for check in CHECKS:
        for message in check(observations):
            violations.append(f"{check.__name__.removeprefix('check_')}: {message}")
    return violations

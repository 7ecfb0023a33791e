"""What a run recorded, and when hosts were undisturbed."""

from typing import NamedTuple

__all__ = [
    "Observations",
    "SETTLE_SECONDS",
    "intervals_between",
    "is_undisturbed",
    "request_id",
]

SETTLE_SECONDS = 3.0
FOREVER = float("inf")


class Observations(NamedTuple):
    """Everything recorded during one run; times are monotonic seconds.

    Attributes
    ----------
    records : list of callers.RequestRecord
    executions : list of stand_ins.Execution
        Of every upstream, sorted by time.
    rejected : list of stand_ins.Execution
        Requests that upstreams read and shed, sorted by time.
    disturbances : list of faults.Disturbance
    changes : list of environments.Change
    process_runs_by_ip : dict
        Lists of ``hosts.ProcessRun``.
    zone_by_upstream, pool_by_upstream : dict
    accounts : list of environments.Account
    full_restart_times : list of float
        When all hosts had been started again after all were killed.
    """

    records: list
    executions: list
    rejected: list
    disturbances: list
    changes: list
    process_runs_by_ip: dict
    zone_by_upstream: dict
    pool_by_upstream: dict
    accounts: list
    full_restart_times: list


def request_id(execution):
    """Return the id of the request that an upstream executed."""
    return execution.header_by_name.get("trefoilpin-request-id", "")


def is_undisturbed(observations, host, at, seconds):
    """Tell whether host and store were undisturbed for some seconds before a time."""
    for disturbance in observations.disturbances:
        if not {"store", host}.intersection(disturbance.subjects):
            continue
        if (
            disturbance.began_at <= at
            and disturbance.ended_at >= at - seconds - SETTLE_SECONDS
        ):
            return False
    for process_run in observations.process_runs_by_ip.get(host, ()):
        if at - seconds - SETTLE_SECONDS <= process_run.started_at <= at:
            return False
    return True


def intervals_between(observations, begin, end):
    """Yield subject, start and end of the intervals between two kinds of change.

    An interval whose end was not recorded lasts forever.
    """
    open_by_subject = {}
    for change in observations.changes:
        if change.kind == begin:
            open_by_subject.setdefault(change.subject, change.written_at)
        elif change.kind == end and change.subject in open_by_subject:
            yield change.subject, open_by_subject.pop(change.subject), change.written_at
    for subject, at in open_by_subject.items():
        yield subject, at, FOREVER

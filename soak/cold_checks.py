"""The check that cold upstreams get no more requests than they bear.

Counted are the requests that reach an upstream's own socket, from all hosts together.
"""

import collections

from soak.environments import COLD_RATE
from soak.observations import request_id

__all__ = ["check_cold"]

COLD_BOUND_SECONDS = 2.0
WINDOW_SECONDS = 1.0
OVERSHOOT_FACTOR = 1.5
OVERSHOOT_REQUESTS = 5
MAX_REQUESTS = COLD_RATE * OVERSHOOT_FACTOR + OVERSHOOT_REQUESTS


def check_cold(observations):
    """Cold upstreams get no more than they bear, whatever the number of hosts."""
    record_by_id = {record.request_id: record for record in observations.records}
    arrivals_by_upstream = collections.defaultdict(list)
    for arrival in observations.executions + observations.rejected:
        arrivals_by_upstream[arrival.upstream].append(arrival)
    for change in observations.changes:
        if change.kind not in ("turned_cold", "joined_cold"):
            continue
        upstream, seconds = change.subject.rsplit(" ", 1)
        ends_at = change.written_at + float(seconds)
        is_new = change.kind == "joined_cold"
        known_since_by_host = {}
        times = []
        for arrival in arrivals_by_upstream[upstream]:
            at = arrival.started_at
            record = record_by_id.get(request_id(arrival))
            if record is None or not change.written_at <= at <= ends_at:
                continue
            if not is_new and record.host not in known_since_by_host:
                known_since_by_host[record.host] = find_known_since(
                    observations, record.host, change.written_at
                )
            if not is_new and at < known_since_by_host[record.host]:
                continue
            if not is_held_up(observations, upstream, at):
                times.append((at, record.host))
        yield from report_worst(upstream, change, sorted(times))


def find_known_since(observations, host, written_at):
    """Return when a host must know a change: after the bound without disturbance."""
    known_since = written_at + COLD_BOUND_SECONDS
    for disturbance in sorted(
        observations.disturbances, key=lambda item: item.ended_at
    ):
        is_restore = disturbance.kind == "restore_store"
        if not is_restore and not {"store", host}.intersection(disturbance.subjects):
            continue
        if (
            disturbance.began_at <= known_since
            and disturbance.ended_at > known_since - COLD_BOUND_SECONDS
        ):
            known_since = disturbance.ended_at + COLD_BOUND_SECONDS
    return known_since


def is_held_up(observations, upstream, at):
    """Tell whether a disturbed link may have delivered earlier requests at a time."""
    for disturbance in observations.disturbances:
        if disturbance.kind != "cut_upstream" or upstream not in disturbance.subjects:
            continue
        if disturbance.began_at <= at <= disturbance.ended_at + WINDOW_SECONDS:
            return True
    return False


def report_worst(upstream, change, times_and_hosts):
    """Yield a message on the window with most requests when it has too many."""
    window, worst = collections.deque(), []
    for item in times_and_hosts:
        window.append(item)
        while window[0][0] <= item[0] - WINDOW_SECONDS:
            window.popleft()
        if len(window) > len(worst):
            worst = list(window)
    if len(worst) > MAX_REQUESTS:
        hosts = {host for _, host in worst}
        yield (
            f"{upstream}, {change.kind}, had {len(worst)} requests in one second"
            f" from {len(hosts)} hosts, {worst[0][0] - change.written_at:.2f} s after"
            f" its entry; {MAX_REQUESTS:g} are allowed"
        )

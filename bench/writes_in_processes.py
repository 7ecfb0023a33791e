"""Writes through real daemons that are killed, paused and restarted meanwhile.

Callers send each write again with its key, through any host, until it has an answer or
a refusal that is final. What ran is read from the upstreams' own records. The route is
open to all, so that accounts' rates, which move slowly after a crash, play no part.
"""

import os
import random
import signal
import threading
import time
from collections import Counter

import urllib3

from bench import processes
from bench.results import Result, finish
from trefoilpin.records import ObjectChange, Route

SEED = 7
ZONES = ("a", "a", "b", "b", "c")
UPSTREAMS = 4
SLOTS = 64
CALLERS = 10
FAULT_SECONDS = 20.0
WARM_SECONDS = 60.0
WARM_WRITES = 400
MAX_SENDS = 12
SEND_TIMEOUT_SECONDS = 3.0
PAUSE_SECONDS = (1.0, 6.0)
UPSTREAM_FAULTS = {
    "reset_before_share": 0.03,
    "reset_after_share": 0.03,
    "slow_share": 0.1,
    "slow_seconds": 1.0,
}
LEAST_WRITES = 150


class Record:
    """What callers saw, and whether they go on."""

    def __init__(self):
        self.lock = threading.Lock()
        self.bodies_by_key: dict[str, set[bytes]] = {}
        self.not_run_requests: set[str] = set()
        self.counts = Counter()
        self.goes_on = True


def send(address, key, body):
    """Send one write; return status, body and request id, or None."""
    headers = {"Idempotency-Key": key}
    timeout = urllib3.Timeout(SEND_TIMEOUT_SECONDS)
    try:
        response = urllib3.request(
            "POST",
            f"http://{address}/orders",
            headers=headers,
            body=body,
            retries=False,
            timeout=timeout,
        )
    except urllib3.exceptions.HTTPError:
        return None
    return response.status, response, response.headers.get("x-request-id", "")


def find_issuer(fleet, rng):
    """Return an issuer as a host of the fleet names it, or an empty string."""
    address = rng.choice(fleet.hosts).caller_address
    headers = {"Authorization": "Bearer hielo.secret"}
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}/v1/hosts",
            headers=headers,
            retries=False,
            timeout=SEND_TIMEOUT_SECONDS,
        )
        return response.json().get("issuer", "") if response.status == 200 else ""
    except (urllib3.exceptions.HTTPError, ValueError):
        return ""


def note(record, key, sent):
    """Note one answer; return True when it is final."""
    status, response, request_id = sent
    with record.lock:
        if status == 200:
            record.bodies_by_key.setdefault(key, set()).add(response.data)
            record.counts["answered"] += 1
            return True
        row = response.json()
        record.counts[row["reason"]] += 1
        if row["verdict"] == "not_run":
            record.not_run_requests.add(request_id)
        return not row["retry"]


def write_on(fleet, record, number):
    """Send writes one after the other, each again until its outcome is final."""
    rng = random.Random(f"{SEED} {number}")
    count = 0
    while record.goes_on:
        issuer = find_issuer(fleet, rng)
        if not issuer:
            continue
        count += 1
        key, body = f"{issuer}.{number}-{count}", f"order {number} {count}".encode()
        record.counts["writes"] += 1
        for _ in range(MAX_SENDS):
            sent = send(rng.choice(fleet.hosts).caller_address, key, body)
            record.counts["sends"] += 1
            if sent is not None and note(record, key, sent) and rng.random() < 0.8:
                break
            time.sleep(rng.uniform(0.0, 0.3))


def break_hosts(fleet, rng):
    """Kill, pause and restart one host after the other for a time."""
    ends_at = time.monotonic() + FAULT_SECONDS
    while time.monotonic() < ends_at:
        host = rng.choice(fleet.hosts[1:])
        kind = rng.choice(("kill", "pause", "pause", "stop"))
        if kind == "pause":
            os.kill(host.process.pid, signal.SIGSTOP)
            time.sleep(rng.uniform(*PAUSE_SECONDS))
            os.kill(host.process.pid, signal.SIGCONT)
            continue
        if kind == "kill":
            host.process.kill()
            host.process.wait()
        else:
            processes.stop_host(host)
        processes.restart_host(fleet, host)
        time.sleep(1.0)


def read_runs(fleet):
    """Return what ran: request ids by key."""
    requests_by_key = {}
    for upstream in fleet.upstreams:
        _, runs = processes.call("GET", upstream.address, "/_runs")
        for run in runs:
            requests = requests_by_key.setdefault(run["operation"], [])
            requests.append(run["request_id"])
    return requests_by_key


def prepare(fleet):
    """Put the configuration in force and have every host serve some writes.

    They take the upstreams through their slow start, which does not go on while the
    hosts that grant it are killed one after the other.
    """
    route = Route("order", "", "/orders", ("POST",), "ledger", open=True)
    changes = (
        *processes.standard_changes(fleet),
        ObjectChange("route", "order", route),
    )
    processes.submit(fleet, 1, changes)
    processes.wait_for_ticket(fleet, 1)
    for position, host in enumerate(fleet.hosts):
        key = f"warm-{position}"

        def serves():
            sent = send(host.caller_address, key, b"warm")
            return sent is not None and sent[0] == 200

        processes.wait_for(serves, WARM_SECONDS)
    for number in range(WARM_WRITES):
        address = fleet.hosts[number % len(fleet.hosts)].caller_address
        send(address, f"warm-again-{number}", b"warm")
    for upstream in fleet.upstreams:
        processes.call("PUT", upstream.address, "/_faults", UPSTREAM_FAULTS)


def measure(fleet):
    """Yield the results of one run."""
    record = Record()
    callers = [
        threading.Thread(target=write_on, args=(fleet, record, number))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    break_hosts(fleet, random.Random(SEED))
    record.goes_on = False
    for caller in callers:
        caller.join()
    requests_by_key = read_runs(fleet)
    ran = {request for found in requests_by_key.values() for request in found}
    doubled = sum(len(found) > 1 for found in requests_by_key.values())
    differing = sum(len(found) > 1 for found in record.bodies_by_key.values())
    untrue = len(record.not_run_requests & ran)
    name = "writes_in_processes"
    yield Result(
        f"{name}_writes",
        record.counts["writes"],
        "count",
        LEAST_WRITES,
        SEED,
        at_least=True,
    )
    yield Result(f"{name}_sends", record.counts["sends"], "count")
    yield Result(f"{name}_answered", len(record.bodies_by_key), "count")
    yield Result(f"{name}_not_run_refusals", len(record.not_run_requests), "count")
    uncertain = record.counts["operation_uncertain"]
    yield Result(f"{name}_uncertain_refusals", uncertain, "count")
    yield Result(f"{name}_doubled", doubled, "count", 0, SEED)
    yield Result(f"{name}_differing", differing, "count", 0, SEED)
    yield Result(f"{name}_untrue_not_run", untrue, "count", 0, SEED)
    print(dict(record.counts))


def main():
    """Measure with daemons, upstreams and a store as processes."""
    fleet = processes.create_fleet(ZONES, UPSTREAMS, SEED, slots=SLOTS)
    try:
        prepare(fleet)
        found = list(measure(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(found)


if __name__ == "__main__":
    main()

"""Writes through real daemons that are killed, frozen and restarted.

Callers send each write again with its key, through any host, until it has an answer or
a final refusal. The requests that ran are read from the upstreams. The route is open,
so that rate limits, which move slowly to other hosts after a crash, have no effect.
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
UPSTREAM_COUNT = 4
SLOTS = 64
CALLER_COUNT = 10
FAULT_SECONDS = 20.0
WARM_UP_TIMEOUT_SECONDS = 60.0
WARM_UP_WRITES = 400
MAX_SENDS = 12
SEND_TIMEOUT_SECONDS = 3.0
FREEZE_SECONDS_RANGE = (1.0, 6.0)
UPSTREAM_FAULTS = {
    "reset_before_share": 0.03,
    "reset_after_share": 0.03,
    "slow_share": 0.1,
    "slow_seconds": 1.0,
}
MIN_WRITES = 150


class CallerResults:
    """Results seen by the callers, and whether they continue."""

    def __init__(self):
        self.lock = threading.Lock()
        self.bodies_by_key: dict[str, set[bytes]] = {}
        self.not_run_requests: set[str] = set()
        self.counts = Counter()
        self.is_running = True


def send(address, key, body):
    """Send one write; return status, response and request id, or None on an error."""
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
    """Return the issuer that a random host names, or an empty string."""
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


def record_answer(results, key, sent):
    """Record an answer; return whether it is final."""
    status, response, request_id = sent
    with results.lock:
        if status == 200:
            results.bodies_by_key.setdefault(key, set()).add(response.data)
            results.counts["answered"] += 1
            return True
        refusal = response.json()
        results.counts[refusal["reason"]] += 1
        if refusal["verdict"] == "not_run":
            results.not_run_requests.add(request_id)
        return not refusal["retry"]


def send_writes(fleet, results, number):
    """Send writes one after another, each until its outcome is final.

    One in five final writes is sent once more, to check that its answer stays the same.
    """
    rng = random.Random(f"{SEED} {number}")
    count = 0
    while results.is_running:
        issuer = find_issuer(fleet, rng)
        if not issuer:
            continue
        count += 1
        key, body = f"{issuer}.{number}-{count}", f"order {number} {count}".encode()
        results.counts["writes"] += 1
        for _ in range(MAX_SENDS):
            sent = send(rng.choice(fleet.hosts).caller_address, key, body)
            results.counts["sends"] += 1
            if (
                sent is not None
                and record_answer(results, key, sent)
                and rng.random() < 0.8
            ):
                break
            time.sleep(rng.uniform(0.0, 0.3))


def inject_host_faults(fleet, rng):
    """Kill, freeze or stop one random host after another for ``FAULT_SECONDS``."""
    ends_at = time.monotonic() + FAULT_SECONDS
    while time.monotonic() < ends_at:
        host = rng.choice(fleet.hosts[1:])
        fault = rng.choice(("kill", "pause", "pause", "stop"))
        if fault == "pause":
            os.kill(host.process.pid, signal.SIGSTOP)
            time.sleep(rng.uniform(*FREEZE_SECONDS_RANGE))
            os.kill(host.process.pid, signal.SIGCONT)
            continue
        if fault == "kill":
            host.process.kill()
            host.process.wait()
        else:
            processes.stop_host(host)
        processes.restart_host(fleet, host)
        time.sleep(1.0)


def read_runs(fleet):
    """Return the ids of the requests that ran, by idempotency key."""
    requests_by_key = {}
    for upstream in fleet.upstreams:
        _, runs = processes.call("GET", upstream.address, "/_runs")
        for run in runs:
            requests = requests_by_key.setdefault(run["operation"], [])
            requests.append(run["request_id"])
    return requests_by_key


def prepare_fleet(fleet):
    """Apply the configuration, send writes through every host, and set upstream faults.

    The writes complete the slow start of the upstreams, which makes no progress while
    the hosts that grant it are killed one after another.
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

        def is_served():
            sent = send(host.caller_address, key, b"warm")
            return sent is not None and sent[0] == 200

        processes.wait_for(is_served, WARM_UP_TIMEOUT_SECONDS)
    for number in range(WARM_UP_WRITES):
        address = fleet.hosts[number % len(fleet.hosts)].caller_address
        send(address, f"warm-again-{number}", b"warm")
    for upstream in fleet.upstreams:
        processes.call("PUT", upstream.address, "/_faults", UPSTREAM_FAULTS)


def measure(fleet):
    """Yield the results of one run."""
    results = CallerResults()
    callers = [
        threading.Thread(target=send_writes, args=(fleet, results, number))
        for number in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    inject_host_faults(fleet, random.Random(SEED))
    results.is_running = False
    for caller in callers:
        caller.join()
    requests_by_key = read_runs(fleet)
    executed_requests = {
        request for requests in requests_by_key.values() for request in requests
    }
    doubled_writes = sum(len(requests) > 1 for requests in requests_by_key.values())
    differing_answers = sum(
        len(bodies) > 1 for bodies in results.bodies_by_key.values()
    )
    false_not_run = len(results.not_run_requests & executed_requests)
    name = "writes_in_processes"
    yield Result(
        f"{name}_writes",
        results.counts["writes"],
        "count",
        MIN_WRITES,
        SEED,
        at_least=True,
    )
    yield Result(f"{name}_sends", results.counts["sends"], "count")
    yield Result(f"{name}_answered", len(results.bodies_by_key), "count")
    yield Result(f"{name}_not_run_refusals", len(results.not_run_requests), "count")
    uncertain = results.counts["operation_uncertain"]
    yield Result(f"{name}_uncertain_refusals", uncertain, "count")
    yield Result(f"{name}_doubled", doubled_writes, "count", 0, SEED)
    yield Result(f"{name}_differing", differing_answers, "count", 0, SEED)
    yield Result(f"{name}_untrue_not_run", false_not_run, "count", 0, SEED)
    print(dict(results.counts))


def main():
    """Measure with daemons, upstreams and a store as separate processes."""
    fleet = processes.create_fleet(ZONES, UPSTREAM_COUNT, SEED, slots=SLOTS)
    try:
        prepare_fleet(fleet)
        figures = list(measure(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(figures)


if __name__ == "__main__":
    main()

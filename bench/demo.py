"""Demonstration: a store, upstreams and three hosts; one upstream fails partially."""

import collections
import json
import sys
import threading
import time

import urllib3
from hdrh.histogram import HdrHistogram

from bench import processes
from trefoilpin.fakes.upstreams import expected_body

RUN_SECONDS = 10
FAULT_AFTER_SECONDS = 3
CALLERS_PER_HOST = 2
PAUSE_SECONDS = 0.02
MICROSECONDS = 1_000_000
SEED = 1
ACCOUNTS = ("hielo", "cupula")


class CallerResults:
    """Results seen by the callers, shared by their threads."""

    def __init__(self):
        self.count_by_result = collections.Counter()
        self.wrong = 0
        self.latency = HdrHistogram(1, 60 * MICROSECONDS, 3)
        self.lock = threading.Lock()


def is_correct_answer(body, path):
    """Return whether a body is what the upstream it names returns for this request."""
    row = json.loads(body)
    return body == expected_body(row["upstream"], "GET", path, "", b"")


def send_requests(host, results, stop_at, caller_name):
    """Send reads to one host until ``stop_at``, in seconds of the monotonic clock."""
    pool = urllib3.HTTPConnectionPool(*host.caller_address.split(":"), maxsize=1)
    account = ACCOUNTS[int(caller_name.rpartition("-")[2]) % len(ACCOUNTS)]
    headers = {"Authorization": f"Bearer {account}.secret"}
    sequence = 0
    while time.monotonic() < stop_at:
        sequence += 1
        path = f"/ponds/{caller_name}/{sequence}"
        started = time.monotonic()
        try:
            response = pool.request("GET", path, headers=headers, retries=False)
        except urllib3.exceptions.HTTPError as error:
            with results.lock:
                results.count_by_result[type(error).__name__] += 1
            continue
        elapsed = time.monotonic() - started
        with results.lock:
            record_answer(results, response, path, elapsed)
        time.sleep(PAUSE_SECONDS)


def record_answer(results, response, path, elapsed):
    """Record the latency and the result of one answer."""
    results.latency.record_value(int(elapsed * MICROSECONDS))
    if response.status == 200:
        results.count_by_result["answered"] += 1
        results.wrong += not is_correct_answer(response.data, path)
        return
    if response.headers.get("x-request-id") is None or b"verdict" not in response.data:
        results.count_by_result[f"upstream answered {response.status}"] += 1
        return
    row = json.loads(response.data)
    results.count_by_result[f"{row['reason']} ({row['verdict']})"] += 1


def run_load(fleet, results):
    """Send load for a fixed time; partway through, make one upstream fail partially."""
    stop_at = time.monotonic() + RUN_SECONDS
    callers = []
    for host in fleet.hosts:
        for number in range(CALLERS_PER_HOST):
            name = f"{host.name}-{number}"
            arguments = (host, results, stop_at, name)
            callers.append(threading.Thread(target=send_requests, args=arguments))
    for caller in callers:
        caller.start()
    for second in range(RUN_SECONDS):
        if second == FAULT_AFTER_SECONDS:
            faulty = fleet.upstreams[0]
            faults = {"error_share": 0.5, "reset_after_share": 0.2}
            processes.call("PUT", faulty.address, "/_faults", faults)
            print(f"{second:2d} s  upstream {faulty.name} starts to fail partially")
        total = sum(results.count_by_result.values())
        print(f"{second:2d} s  {total} requests", flush=True)
        time.sleep(1)
    for caller in callers:
        caller.join()


def count_ejections(fleet):
    """Count the ejections in the logs of all hosts."""
    count = 0
    for host in fleet.hosts:
        with open(f"{fleet.directory}/{host.name}.log", encoding="utf-8") as log:
            count += sum(" upstream_ejected " in line for line in log)
    return count


def print_table(fleet, results):
    """Print a summary of the results."""
    rows = [("requests", sum(results.count_by_result.values()))]
    rows.extend(sorted(results.count_by_result.items()))
    rows.append(("wrong answers", results.wrong))
    rows.append(("ejections", count_ejections(fleet)))
    for percentile in (50, 99):
        value = results.latency.get_value_at_percentile(percentile) / 1000
        rows.append((f"latency p{percentile} (ms)", round(value, 2)))
    for name, value in rows:
        print(f"{name:<40} {value}")


def main():
    """Run the demonstration."""
    print("starting a store, 6 upstreams and 3 hosts")
    fleet = processes.create_fleet(("a", "b", "c"), 6, SEED)
    results = CallerResults()
    try:
        changes = processes.standard_changes(fleet)
        status, row = processes.submit(fleet, 1, changes)
        print(f"ticket 1: {row['outcome']}")
        processes.wait_for_ticket(fleet, 1)
        run_load(fleet, results)
    finally:
        processes.stop_fleet(fleet)
    print_table(fleet, results)
    sys.exit(1 if results.wrong or not results.count_by_result["answered"] else 0)


if __name__ == "__main__":
    main()

"""Interrupted requests and wrong answers while every host is restarted in turn.

Callers follow the documented protocol: they cache an address answer for its lifetime,
use the hosts in the given order over persistent connections, and check that a
connection is still open before they write. A request counts as cut when no answer came
although it was sent, or when it could not be sent to a host that an unexpired address
answer names. The hosts are restarted twice: with the store up, and with the store down
throughout.
"""

import collections
import http.client
import json
import select
import threading
import time

from bench import processes
from bench.results import Result, finish
from trefoilpin.fakes.upstreams import expected_body

SEED = 1
ZONES = ("a", "b", "c", "a", "b", "c")
UPSTREAM_COUNT = 6
CALLER_COUNT = 12
PAUSE_SECONDS = 0.08
TIMEOUT_SECONDS = 15
SETTLE_SECONDS = 3.0
MIN_ANSWERED = 1000
KEY_HEADERS = {"Authorization": "Bearer hielo.secret"}


class CallerResults:
    """Results seen by the callers, shared by their threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.stop = False
        self.count_by_result = collections.Counter()
        self.cut = []
        self.wrong = []
        self.refused = []


class Caller:
    """A caller with its cached address answer and its persistent connection."""

    def __init__(self, name, seed_hosts):
        self.name = name
        self.seed_hosts = seed_hosts
        self.hosts = []
        self.expires_at = 0.0
        self.address = None
        self.connection = None


def refresh_hosts(caller, results):
    """Fetch a new address answer from the first host that returns one."""
    for address in caller.hosts + caller.seed_hosts:
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        try:
            connection.request("GET", "/v1/hosts", headers=KEY_HEADERS)
            response = connection.getresponse()
            row = json.loads(response.read())
        except (http.client.HTTPException, OSError):
            continue
        finally:
            connection.close()
        if response.status == 200:
            caller.hosts = [host["address"] for host in row["hosts"]]
            caller.expires_at = time.monotonic() + row["lifetime_seconds"]
            return
    results.count_by_result["no address answer"] += 1


def is_open(connection):
    """Return whether a connection is open and has no unread data or end of stream."""
    if connection is None or connection.sock is None:
        return False
    return not select.select([connection.sock], [], [], 0)[0]


def preferred_connection(caller):
    """Return a connection to the preferred host; reuse the current one if possible."""
    if caller.address == caller.hosts[0] and is_open(caller.connection):
        return caller.connection
    if caller.connection is not None:
        caller.connection.close()
    caller.address = caller.hosts[0]
    caller.connection = http.client.HTTPConnection(
        caller.address, timeout=TIMEOUT_SECONDS
    )
    return caller.connection


def send(caller, results, sequence):
    """Send one request and record whether the answer is correct."""
    method, prefix = ("POST", "/slots") if sequence % 4 == 0 else ("GET", "/ponds")
    path = f"{prefix}/{caller.name}/{sequence}"
    body = path.encode() if method == "POST" else b""
    connection = preferred_connection(caller)
    try:
        connection.request(method, path, body=body, headers=KEY_HEADERS)
        response = connection.getresponse()
        response_body = response.read()
    except (http.client.HTTPException, OSError) as error:
        connection.close()
        detail = (caller.address, path, repr(error), round(time.time(), 3))
        return results.cut.append(detail)
    if response.status != 200:
        results.count_by_result[f"status {response.status}"] += 1
        return results.refused.append((path, response_body[:200]))
    upstream_name = json.loads(response_body)["upstream"]
    if response_body != expected_body(upstream_name, method, path, "", body):
        return results.wrong.append((path, response_body))
    results.count_by_result["answered"] += 1


def run_caller(caller, results):
    """Send requests until ``results.stop`` is set."""
    sequence = 0
    while not results.stop:
        if time.monotonic() >= caller.expires_at:
            refresh_hosts(caller, results)
        sequence += 1
        send(caller, results, sequence)
        time.sleep(PAUSE_SECONDS)


def restart_all(fleet, results):
    """Restart every host; return how many did not exit with status 0."""
    failed_exits = 0
    for host in list(fleet.hosts):
        exit_code = processes.stop_host(host)
        failed_exits += exit_code != 0
        processes.restart_host(fleet, host)
        time.sleep(SETTLE_SECONDS)
        request_count = sum(results.count_by_result.values())
        print(
            f"# {host.name} restarted, exit code {exit_code}; {request_count} requests",
            flush=True,
        )
    return failed_exits


def run_phase(fleet, name):
    """Restart all hosts under load and yield the figures."""
    seed_hosts = [host.caller_address for host in fleet.hosts]
    results = CallerResults()
    callers = [
        threading.Thread(
            target=run_caller, args=(Caller(f"{name}{n}", seed_hosts), results)
        )
        for n in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    failed_exits = restart_all(fleet, results)
    results.stop = True
    for caller in callers:
        caller.join()
    print(f"# {name}: {dict(results.count_by_result)}", flush=True)
    for item in (*results.cut[:5], *results.refused[:5], *results.wrong[:5]):
        print(f"# {item}", flush=True)
    prefix = f"rolling_restart_{name}"
    yield Result(f"{prefix}_cut", len(results.cut), "requests", 0, SEED)
    yield Result(f"{prefix}_wrong", len(results.wrong), "answers", 0, SEED)
    yield Result(f"{prefix}_refused", len(results.refused), "requests", 0, SEED)
    yield Result(f"{prefix}_failed_exits", failed_exits, "hosts", 0, SEED)
    answered = results.count_by_result["answered"]
    yield Result(
        f"{prefix}_answered", answered, "requests", MIN_ANSWERED, SEED, None, True
    )


def main():
    """Measure with six hosts in three availability zones."""
    fleet = processes.create_fleet(ZONES, UPSTREAM_COUNT, SEED)
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        processes.wait_for_ticket(fleet, 1)
        time.sleep(SETTLE_SECONDS)
        figures = list(run_phase(fleet, "store_up"))
        processes.call("PUT", fleet.store_address, "/faults", {"down": True})
        time.sleep(SETTLE_SECONDS)
        figures += run_phase(fleet, "store_down")
    finally:
        processes.stop_fleet(fleet)
    finish(figures)


if __name__ == "__main__":
    main()

"""Requests cut and answers wrong while every host is replaced, one after the other.

Callers do what the system asks of them: they keep an address answer for its lifetime,
use the hosts in the order given over kept connections, and look whether a connection
is still open before they write. A request counts as cut when it was sent, or could not
be sent to a host that a live address answer names, and no answer came. The hosts are
replaced twice: with the store up, and with the store down throughout.
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
UPSTREAMS = 6
CALLERS = 12
PAUSE_SECONDS = 0.08
TIMEOUT_SECONDS = 15
SETTLE_SECONDS = 3.0
LEAST_ANSWERED = 1000
KEYED = {"Authorization": "Bearer hielo.secret"}


class Tally:
    """What callers saw."""

    def __init__(self):
        self.lock = threading.Lock()
        self.stop = False
        self.count_by_result = collections.Counter()
        self.cut = []
        self.wrong = []
        self.refused = []


class Caller:
    """One caller with its address answer and its kept connection."""

    def __init__(self, name, known):
        self.name = name
        self.known = known
        self.hosts = []
        self.expires_at = 0.0
        self.address = None
        self.connection = None


def ask_hosts(caller, tally):
    """Renew the address answer from any host that gives one."""
    for address in caller.hosts + caller.known:
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
        try:
            connection.request("GET", "/v1/hosts", headers=KEYED)
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
    tally.count_by_result["no address answer"] += 1


def is_open(connection):
    """Tell whether a kept connection can be written to."""
    if connection is None or connection.sock is None:
        return False
    return not select.select([connection.sock], [], [], 0)[0]


def connect(caller):
    """Have a connection to the preferred host, the kept one if it still is that."""
    if caller.address == caller.hosts[0] and is_open(caller.connection):
        return caller.connection
    if caller.connection is not None:
        caller.connection.close()
    caller.address = caller.hosts[0]
    caller.connection = http.client.HTTPConnection(
        caller.address, timeout=TIMEOUT_SECONDS
    )
    return caller.connection


def send(caller, tally, sequence):
    """Send one request and judge its answer."""
    method, prefix = ("POST", "/slots") if sequence % 4 == 0 else ("GET", "/ponds")
    path = f"{prefix}/{caller.name}/{sequence}"
    body = path.encode() if method == "POST" else b""
    connection = connect(caller)
    try:
        connection.request(method, path, body=body, headers=KEYED)
        response = connection.getresponse()
        data = response.read()
    except (http.client.HTTPException, OSError) as error:
        connection.close()
        detail = (caller.address, path, repr(error), round(time.time(), 3))
        return tally.cut.append(detail)
    if response.status != 200:
        tally.count_by_result[f"status {response.status}"] += 1
        return tally.refused.append((path, data[:200]))
    name = json.loads(data)["upstream"]
    if data != expected_body(name, method, path, "", body):
        return tally.wrong.append((path, data))
    tally.count_by_result["answered"] += 1


def run_caller(caller, tally):
    """Send requests until told to stop."""
    sequence = 0
    while not tally.stop:
        if time.monotonic() >= caller.expires_at:
            ask_hosts(caller, tally)
        sequence += 1
        send(caller, tally, sequence)
        time.sleep(PAUSE_SECONDS)


def replace_all(fleet, tally):
    """Replace every host; return how many did not exit with 0."""
    failed = 0
    for host in list(fleet.hosts):
        code = processes.stop_host(host)
        failed += code != 0
        processes.restart_host(fleet, host)
        time.sleep(SETTLE_SECONDS)
        total = sum(tally.count_by_result.values())
        print(f"# {host.name} replaced, exit {code}; {total} requests", flush=True)
    return failed


def run_phase(fleet, name):
    """Replace all hosts under load and yield the figures."""
    known = [host.caller_address for host in fleet.hosts]
    tally = Tally()
    callers = [
        threading.Thread(target=run_caller, args=(Caller(f"{name}{n}", known), tally))
        for n in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    failed = replace_all(fleet, tally)
    tally.stop = True
    for caller in callers:
        caller.join()
    print(f"# {name}: {dict(tally.count_by_result)}", flush=True)
    for item in (*tally.cut[:5], *tally.refused[:5], *tally.wrong[:5]):
        print(f"# {item}", flush=True)
    measure = f"rolling_restart_{name}"
    yield Result(f"{measure}_cut", len(tally.cut), "requests", 0, SEED)
    yield Result(f"{measure}_wrong", len(tally.wrong), "answers", 0, SEED)
    yield Result(f"{measure}_refused", len(tally.refused), "requests", 0, SEED)
    yield Result(f"{measure}_failed_exits", failed, "hosts", 0, SEED)
    answered = tally.count_by_result["answered"]
    yield Result(
        f"{measure}_answered", answered, "requests", LEAST_ANSWERED, SEED, None, True
    )


def main():
    """Measure with six hosts in three availability zones."""
    fleet = processes.create_fleet(ZONES, UPSTREAMS, SEED)
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        processes.wait_for_ticket(fleet, 1)
        time.sleep(SETTLE_SECONDS)
        found = list(run_phase(fleet, "store_up"))
        processes.call("PUT", fleet.store_address, "/faults", {"down": True})
        time.sleep(SETTLE_SECONDS)
        found += run_phase(fleet, "store_down")
    finally:
        processes.stop_fleet(fleet)
    finish(found)


if __name__ == "__main__":
    main()

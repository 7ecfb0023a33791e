"""Wrong, truncated or crossed answers under every fault of an upstream.

For each fault, callers send 1,000 requests through a real host: reads on an open route
and writes on a route that needs a key. An answer is correct only if it equals, byte for
byte, what the upstream returns for that request. The requests that ran are read from
the upstreams afterwards and compared with the results of the callers. Half of the
requests must be answered under each fault, except for the faults by which an upstream
refuses requests; these come last, because hosts remember a drain. Names of faults on
the command line select some of them.
"""

import collections
import http.client
import json
import sys
import threading

from bench import processes
from bench.results import Result, finish
from trefoilpin import codecs
from trefoilpin.fakes.upstreams import expected_body
from trefoilpin.records import ObjectChange, Pool, Route, Upstream

SEED = 1
REQUEST_COUNT = 1000
CALLER_COUNT = 20
MIN_ANSWERED = 500
DEADLINE_SECONDS = 0.4
PADDING_BYTES = 5000
MAX_BUFFERED_BYTES = 2048
CALLER_TIMEOUT_SECONDS = 10
WRITE_EVERY = 3
KEY_HEADERS = {"Authorization": "Bearer hielo.secret"}
UPSTREAM_NAMES = ("u1", "u2")
FAULT_SHARE = 0.1
SLOTS = 5000
FAULTS_BY_NAME = {
    "none": {},
    "errors": {"error_share": FAULT_SHARE},
    "slow": {"slow_share": FAULT_SHARE, "slow_seconds": 0.2},
    "stalls": {"stall_share": FAULT_SHARE},
    "resets_before": {"reset_before_share": FAULT_SHARE},
    "resets_after": {"reset_after_share": FAULT_SHARE},
    "short": {"short_share": FAULT_SHARE},
    "wrong_id": {"wrong_id_share": FAULT_SHARE},
    "crossed": {"crossed_share": FAULT_SHARE},
    "surplus": {"surplus_share": FAULT_SHARE},
    "chunked": {"chunked_share": 0.5, "cut_chunks_share": FAULT_SHARE},
    "drips": {"drip_share": FAULT_SHARE},
    "both_framings": {"both_share": FAULT_SHARE},
    "early_hints": {"hints_share": 0.5},
    "large": {"padding_bytes": PADDING_BYTES},
    "large_short": {"padding_bytes": PADDING_BYTES, "short_share": FAULT_SHARE},
    "large_cut": {"padding_bytes": PADDING_BYTES, "cut_chunks_share": FAULT_SHARE},
    "large_drips": {"padding_bytes": PADDING_BYTES, "drip_share": FAULT_SHARE},
    "together": {
        "error_share": 0.03,
        "reset_after_share": 0.03,
        "short_share": 0.03,
        "crossed_share": 0.03,
        "surplus_share": 0.03,
        "chunked_share": 0.3,
        "cut_chunks_share": 0.03,
        "drip_share": 0.03,
        "stall_share": 0.03,
        "hints_share": 0.1,
    },
    "sheds": {"sheds": True},
    "draining": {"draining": True},
}
REFUSING_FAULTS = ("sheds", "draining")


class CallerResults:
    """Results seen by the callers, shared by their threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.count_by_result = collections.Counter()
        self.wrong = []
        self.not_run = []


def send(connection, method, path, body):
    """Send one request; return status and body, or None after a connection error."""
    headers = KEY_HEADERS if method == "POST" else {}
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (http.client.HTTPException, OSError):
        connection.close()
        return None


def record_outcome(results, outcome, method, path, body, padding_bytes):
    """Record the outcome of a request."""
    if outcome is None:
        results.count_by_result["connection error"] += 1
        return
    status, response_body = outcome
    if status != 200:
        row = json.loads(response_body) if response_body else {}
        verdict = row.get("verdict", f"upstream answered {status}")
        results.count_by_result[verdict] += 1
        if row.get("verdict") == "not_run":
            results.not_run.append((method, path))
        return
    results.count_by_result["answered"] += 1
    expected_bodies = [
        expected_body(name, method, path, "", body) + b" " * padding_bytes
        for name in UPSTREAM_NAMES
    ]
    if response_body not in expected_bodies:
        results.wrong.append((method, path, response_body[:200]))


def run_caller(address, name, number, padding_bytes, results):
    """Send one caller's share of the requests on a persistent connection."""
    connection = http.client.HTTPConnection(address, timeout=CALLER_TIMEOUT_SECONDS)
    for sequence in range(number, REQUEST_COUNT, CALLER_COUNT):
        is_write = sequence % WRITE_EVERY == 0
        method = "POST" if is_write else "GET"
        path = f"/{'slots' if is_write else 'open'}/{name}/{sequence}"
        body = path.encode() if is_write else b""
        outcome = send(connection, method, path, body)
        with results.lock:
            record_outcome(results, outcome, method, path, body, padding_bytes)


def run_fault(fleet, name, faults):
    """Send all requests under one fault; return the callers' results."""
    for upstream in fleet.upstreams:
        processes.call("PUT", upstream.address, "/_faults", faults)
    results = CallerResults()
    padding_bytes = faults.get("padding_bytes", 0)
    address = fleet.hosts[0].caller_address
    callers = [
        threading.Thread(
            target=run_caller, args=(address, name, number, padding_bytes, results)
        )
        for number in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    print(f"# {name}: {dict(results.count_by_result)}", flush=True)
    for wrong in results.wrong[:3]:
        print(f"# wrong: {wrong}", flush=True)
    return results


def create_changes(fleet):
    """Return the configuration changes for the benchmark.

    Routes have short deadlines, and the pool's floor prevents ejections.
    """
    upstreams = tuple(
        Upstream(upstream.name, upstream.address, upstream.zone, SLOTS)
        for upstream in fleet.upstreams
    )
    records = (
        ("pool", Pool("ledger", upstreams, len(upstreams))),
        (
            "route",
            Route("open", "", "/open", (), "ledger", True, deadline=DEADLINE_SECONDS),
        ),
        (
            "route",
            Route("write", "", "/slots", (), "ledger", deadline=DEADLINE_SECONDS),
        ),
    )
    replacements = {(kind, record.id): record for kind, record in records}
    configuration_changes = []
    for change in processes.standard_changes(fleet, rate=100_000.0):
        record = replacements.pop((change.kind, change.id), change.state)
        configuration_changes.append(ObjectChange(change.kind, change.id, record))
    return tuple(configuration_changes)


def count_runs(fleet):
    """Return the number of runs by method and path."""
    count_by_request = collections.Counter()
    for upstream in fleet.upstreams:
        _, upstream_runs = processes.call("GET", upstream.address, "/_runs")
        for run in upstream_runs:
            count_by_request[(run["method"], run["path"])] += 1
    return count_by_request


def measure_faults(fleet):
    """Run the selected faults and yield the figures."""
    names = sys.argv[1:] or list(FAULTS_BY_NAME)
    results_by_fault = [run_fault(fleet, name, FAULTS_BY_NAME[name]) for name in names]
    for upstream in fleet.upstreams:
        processes.call("PUT", upstream.address, "/_faults", {})
    count_by_request = count_runs(fleet)
    wrong = sum(len(results.wrong) for results in results_by_fault)
    false_not_run = 0
    for results in results_by_fault:
        false_not_run += sum(
            1 for request in results.not_run if count_by_request[request]
        )
    doubled_writes = 0
    for (method, _), count in count_by_request.items():
        doubled_writes += method == "POST" and count > 1
    answered = sum(results.count_by_result["answered"] for results in results_by_fault)
    yield Result("whole_answers_wrong", wrong, "answers", 0, SEED)
    yield Result("whole_answers_false_not_run", false_not_run, "refusals", 0, SEED)
    yield Result("whole_answers_doubled_writes", doubled_writes, "requests", 0, SEED)
    yield Result("whole_answers_answered", answered, "answers", None, SEED)
    counts = [
        results.count_by_result["answered"]
        for name, results in zip(names, results_by_fault)
        if name not in REFUSING_FAULTS
    ]
    if counts:
        min_answered = min(counts)
        bound = MIN_ANSWERED
        yield Result(
            "whole_answers_least", min_answered, "answers", bound, SEED, None, True
        )


def main():
    """Measure with one host and two upstreams."""
    extra = {"proxy": {"max_buffered_answer_bytes": MAX_BUFFERED_BYTES}}
    fleet = processes.create_fleet(("a",), len(UPSTREAM_NAMES), SEED, SLOTS, 0.0, extra)
    try:
        status, row = processes.submit(fleet, 1, create_changes(fleet))
        if status != 200:
            raise SystemExit(f"ticket: {codecs.encode_record(row)}")
        figures = list(measure_faults(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(figures)


if __name__ == "__main__":
    main()

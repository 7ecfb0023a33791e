"""Answers that are wrong, cut short or crossed, against every fault of an upstream.

Callers send 1,000 requests for each fault through a real host: reads on an open
route and writes on a keyed one. An answer counts as right only if it is, byte for
byte, what the upstream gives to that very request. What ran is read from the
upstreams afterwards and compared with what callers were told. Half of the requests must
be answered under each fault but those by which an upstream refuses work; these come
last, as hosts remember a drain. Names of faults on the command line choose some.
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
REQUESTS = 1000
CALLERS = 20
LEAST_ANSWERED = 500
DEADLINE_SECONDS = 0.4
PADDING_BYTES = 5000
MAX_BUFFERED_BYTES = 2048
CALLER_TIMEOUT_SECONDS = 10
WRITE_EVERY = 3
KEYED = {"Authorization": "Bearer hielo.secret"}
UPSTREAM_NAMES = ("u1", "u2")
SHARE = 0.1
SLOTS = 5000
FAULTS_BY_NAME = {
    "none": {},
    "errors": {"error_share": SHARE},
    "slow": {"slow_share": SHARE, "slow_seconds": 0.2},
    "stalls": {"stall_share": SHARE},
    "resets_before": {"reset_before_share": SHARE},
    "resets_after": {"reset_after_share": SHARE},
    "short": {"short_share": SHARE},
    "wrong_id": {"wrong_id_share": SHARE},
    "crossed": {"crossed_share": SHARE},
    "surplus": {"surplus_share": SHARE},
    "chunked": {"chunked_share": 0.5, "cut_chunks_share": SHARE},
    "drips": {"drip_share": SHARE},
    "both_framings": {"both_share": SHARE},
    "early_hints": {"hints_share": 0.5},
    "large": {"padding_bytes": PADDING_BYTES},
    "large_short": {"padding_bytes": PADDING_BYTES, "short_share": SHARE},
    "large_cut": {"padding_bytes": PADDING_BYTES, "cut_chunks_share": SHARE},
    "large_drips": {"padding_bytes": PADDING_BYTES, "drip_share": SHARE},
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


class Tally:
    """What callers were told."""

    def __init__(self):
        self.lock = threading.Lock()
        self.count_by_result = collections.Counter()
        self.wrong = []
        self.not_run = []


def send(connection, method, path, body):
    """Send one request; return status and body, or None when it broke visibly."""
    headers = KEYED if method == "POST" else {}
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (http.client.HTTPException, OSError):
        connection.close()
        return None


def judge(tally, outcome, method, path, body, padding):
    """Count what a caller was told."""
    if outcome is None:
        tally.count_by_result["broke visibly"] += 1
        return
    status, data = outcome
    if status != 200:
        row = json.loads(data) if data else {}
        verdict = row.get("verdict", f"upstream answered {status}")
        tally.count_by_result[verdict] += 1
        if row.get("verdict") == "not_run":
            tally.not_run.append((method, path))
        return
    tally.count_by_result["answered"] += 1
    padded = [
        expected_body(name, method, path, "", body) + b" " * padding
        for name in UPSTREAM_NAMES
    ]
    if data not in padded:
        tally.wrong.append((method, path, data[:200]))


def run_caller(address, name, number, padding, tally):
    """Send one caller's share of the requests over one kept connection."""
    connection = http.client.HTTPConnection(address, timeout=CALLER_TIMEOUT_SECONDS)
    for sequence in range(number, REQUESTS, CALLERS):
        writes = sequence % WRITE_EVERY == 0
        method = "POST" if writes else "GET"
        path = f"/{'slots' if writes else 'open'}/{name}/{sequence}"
        body = path.encode() if writes else b""
        outcome = send(connection, method, path, body)
        with tally.lock:
            judge(tally, outcome, method, path, body, padding)


def run_fault(fleet, name, faults):
    """Send all requests under one fault; return the tally."""
    for upstream in fleet.upstreams:
        processes.call("PUT", upstream.address, "/_faults", faults)
    tally = Tally()
    padding = faults.get("padding_bytes", 0)
    address = fleet.hosts[0].caller_address
    callers = [
        threading.Thread(
            target=run_caller, args=(address, name, number, padding, tally)
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    print(f"# {name}: {dict(tally.count_by_result)}", flush=True)
    for wrong in tally.wrong[:3]:
        print(f"# wrong: {wrong}", flush=True)
    return tally


def changes(fleet):
    """Return the configuration: short deadlines, and upstreams never ejected."""
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
    own = {(kind, record.id): record for kind, record in records}
    found = []
    for change in processes.standard_changes(fleet, rate=100_000.0):
        record = own.pop((change.kind, change.id), change.state)
        found.append(ObjectChange(change.kind, change.id, record))
    return tuple(found)


def count_runs(fleet):
    """Return how often each method and path ran."""
    count_by_request = collections.Counter()
    for upstream in fleet.upstreams:
        _, runs = processes.call("GET", upstream.address, "/_runs")
        for run in runs:
            count_by_request[(run["method"], run["path"])] += 1
    return count_by_request


def results(fleet):
    """Yield the figures over all faults."""
    names = sys.argv[1:] or list(FAULTS_BY_NAME)
    tallies = [run_fault(fleet, name, FAULTS_BY_NAME[name]) for name in names]
    for upstream in fleet.upstreams:
        processes.call("PUT", upstream.address, "/_faults", {})
    count_by_request = count_runs(fleet)
    wrong = sum(len(tally.wrong) for tally in tallies)
    false_not_run = 0
    for tally in tallies:
        false_not_run += sum(1 for item in tally.not_run if count_by_request[item])
    doubled = 0
    for (method, _), count in count_by_request.items():
        doubled += method == "POST" and count > 1
    answered = sum(tally.count_by_result["answered"] for tally in tallies)
    yield Result("whole_answers_wrong", wrong, "answers", 0, SEED)
    yield Result("whole_answers_false_not_run", false_not_run, "refusals", 0, SEED)
    yield Result("whole_answers_doubled_writes", doubled, "requests", 0, SEED)
    yield Result("whole_answers_answered", answered, "answers", None, SEED)
    counts = [
        tally.count_by_result["answered"]
        for name, tally in zip(names, tallies)
        if name not in REFUSING_FAULTS
    ]
    if counts:
        least = min(counts)
        bound = LEAST_ANSWERED
        yield Result("whole_answers_least", least, "answers", bound, SEED, None, True)


def main():
    """Measure with one host and two upstreams."""
    extra = {"proxy": {"max_buffered_answer_bytes": MAX_BUFFERED_BYTES}}
    fleet = processes.create_fleet(("a",), len(UPSTREAM_NAMES), SEED, SLOTS, 0.0, extra)
    try:
        status, row = processes.submit(fleet, 1, changes(fleet))
        if status != 200:
            raise SystemExit(f"ticket: {codecs.encode_record(row)}")
        found = list(results(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(found)


if __name__ == "__main__":
    main()

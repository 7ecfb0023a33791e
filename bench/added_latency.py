"""Latency that a host adds on kept connections, against the upstream called directly.

Both are called in the same run, in turn, on a fixed schedule of arrivals. The figure
is the difference of the 99th percentiles.
"""

import threading
import time

import urllib3
from hdrh.histogram import HdrHistogram

from bench import processes
from bench.results import Result, finish

BOUND_MILLISECONDS = 1.3
RATES = (61, 200)
SECONDS = 12
CALLERS = 8
SEED = 1
MICROSECONDS = 1_000_000
KEYED = {"Authorization": "Bearer hielo.secret"}


def call_at(pool, path, headers, histogram, due):
    """Send one request at its time and record how long it took."""
    time.sleep(max(due - time.monotonic(), 0))
    started = time.monotonic()
    response = pool.request("GET", path, headers=headers, retries=False)
    if response.status == 200:
        elapsed = time.monotonic() - started
        histogram.record_value(max(int(elapsed * MICROSECONDS), 1))


def run_caller(number, rate, targets, histograms, started):
    """Send this caller's share of the arrivals to each target in turn."""
    pools = [urllib3.HTTPConnectionPool(*address.split(":")) for address, *_ in targets]
    turn = number
    due = started + number / rate
    while due < started + SECONDS:
        position = turn % len(targets)
        _, path, headers = targets[position]
        call_at(pools[position], path, headers, histograms[position], due)
        turn += 1
        due += CALLERS / rate


def measure(rate, targets):
    """Return percentile functions, one for each target, at a total rate."""
    histograms = [HdrHistogram(1, 60 * MICROSECONDS, 3) for _ in targets]
    started = time.monotonic() + 0.1
    callers = [
        threading.Thread(
            target=run_caller, args=(number, rate, targets, histograms, started)
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return [histogram.get_value_at_percentile for histogram in histograms]


def results(fleet):
    """Yield the added latency for each rate."""
    host, upstream = fleet.hosts[0], fleet.upstreams[0]
    targets = (
        (upstream.address, "/ponds/1", {}),
        (host.caller_address, "/open/1", {}),
        (host.caller_address, "/ponds/1", KEYED),
    )
    for rate in RATES:
        direct, opened, keyed = measure(rate * len(targets), targets)
        for kind, percentile in (("open", opened), ("keyed", keyed)):
            for quantile, bound in ((50, None), (99, BOUND_MILLISECONDS)):
                added = (percentile(quantile) - direct(quantile)) / 1000
                name = f"added_latency_{kind}_p{quantile}_{rate}rps"
                yield Result(name, round(added, 3), "ms", bound, SEED)


def main():
    """Measure with one host and one upstream."""
    fleet = processes.create_fleet(("a",), 1, SEED, slots=64)
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        time.sleep(1)
        found = list(results(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(found)


if __name__ == "__main__":
    main()

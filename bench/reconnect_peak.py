"""Peak rate at which callers reconnect when a host stops gracefully.

Each caller keeps a connection to one of two hosts and sends a request every second.
That host stops, and callers whose connection it closes connect to the other one. The
figure is the peak rate in windows of half a second when the host spreads the closing of
connections over its drain; in the baseline it closes all of them at the start of the
drain. The bound is twice the rate of an even spread.
"""

import http.client
import select
import threading
import time

from bench import processes
from bench.results import Result, finish

SEED = 1
CALLERS = 120
PERIOD_SECONDS = 1.0
DRAIN_SECONDS = 8.0
WINDOW_SECONDS = 0.5
TIMEOUT_SECONDS = 15


class CallerResults:
    """Times of reconnection, and the errors of requests without an answer."""

    def __init__(self):
        self.reconnected_at = []
        self.cut = []


def send_request(connection, results):
    """Send one request; return whether the connection is still open."""
    try:
        connection.request("GET", "/open/1")
        connection.getresponse().read()
    except (http.client.HTTPException, OSError) as error:
        results.cut.append(repr(error))
        connection.close()
    return connection.sock is not None


def run_caller(number, addresses, results):
    """Use the first host until it closes the connection, then the second one."""
    send_at = time.monotonic() + PERIOD_SECONDS * number / CALLERS
    connection = http.client.HTTPConnection(addresses[0], timeout=TIMEOUT_SECONDS)
    connection.connect()
    while True:
        wait_seconds = max(send_at - time.monotonic(), 0)
        if select.select([connection.sock], [], [], wait_seconds)[0]:
            break
        if not send_request(connection, results):
            break
        send_at += PERIOD_SECONDS
    results.reconnected_at.append(time.monotonic())
    connection = http.client.HTTPConnection(addresses[1], timeout=TIMEOUT_SECONDS)
    send_request(connection, results)
    connection.close()


def peak_rate(times):
    """Return the largest number of times within a window, as a rate per second."""
    sorted_times = sorted(times)
    max_count = 0
    for first, window_start in enumerate(sorted_times):
        last = first
        while (
            last < len(sorted_times)
            and sorted_times[last] < window_start + WINDOW_SECONDS
        ):
            last += 1
        max_count = max(max_count, last - first)
    return max_count / WINDOW_SECONDS


def measure(is_spread):
    """Stop one of two hosts under load; return the callers' results."""
    shutdown = {"drain_seconds": DRAIN_SECONDS, "spread_reconnects": is_spread}
    fleet = processes.create_fleet(("a", "b"), 2, SEED, extra={"shutdown": shutdown})
    results = CallerResults()
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        processes.wait_for_ticket(fleet, 1)
        addresses = [host.caller_address for host in fleet.hosts]
        callers = [
            threading.Thread(target=run_caller, args=(number, addresses, results))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(2 * PERIOD_SECONDS)
        processes.stop_host(fleet.hosts[0])
        for caller in callers:
            caller.join()
    finally:
        processes.stop_fleet(fleet)
    return results


def main():
    """Measure with and without spread reconnects."""
    spread_results, baseline_results = measure(True), measure(False)
    baseline = peak_rate(baseline_results.reconnected_at)
    peak = peak_rate(spread_results.reconnected_at)
    bound = 2 * CALLERS / DRAIN_SECONDS
    cut = len(spread_results.cut)
    finish(
        (
            Result("reconnect_peak", peak, "connections/s", bound, SEED, baseline),
            Result(
                "reconnect_cut", cut, "requests", 0, SEED, len(baseline_results.cut)
            ),
        )
    )


if __name__ == "__main__":
    main()

"""Peak rate at which callers connect elsewhere when a host stops by plan.

Callers keep a connection each to one of two hosts and send a request now and then.
That host stops, and as their connections end the callers connect to the other one. The
figure is the peak over windows of half a second with the ends spread over the drain;
the baseline is the same with every connection ended at the drain's start. The bound is
twice the rate of an even spread.
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


class Tally:
    """When callers connected anew, and how many requests brought no answer."""

    def __init__(self):
        self.reconnected_at = []
        self.cut = []


def call(connection, tally):
    """Send one request; return False once the connection is closed."""
    try:
        connection.request("GET", "/open/1")
        connection.getresponse().read()
    except (http.client.HTTPException, OSError) as error:
        tally.cut.append(repr(error))
        connection.close()
    return connection.sock is not None


def run_caller(number, addresses, tally):
    """Keep to the first host until it ends the connection, then use the second."""
    due = time.monotonic() + PERIOD_SECONDS * number / CALLERS
    connection = http.client.HTTPConnection(addresses[0], timeout=TIMEOUT_SECONDS)
    connection.connect()
    while True:
        wait = max(due - time.monotonic(), 0)
        if select.select([connection.sock], [], [], wait)[0]:
            break
        if not call(connection, tally):
            break
        due += PERIOD_SECONDS
    tally.reconnected_at.append(time.monotonic())
    connection = http.client.HTTPConnection(addresses[1], timeout=TIMEOUT_SECONDS)
    call(connection, tally)
    connection.close()


def peak_rate(instants):
    """Return the most connections in a window, as a rate per second."""
    ordered = sorted(instants)
    most = 0
    for first, instant in enumerate(ordered):
        last = first
        while last < len(ordered) and ordered[last] < instant + WINDOW_SECONDS:
            last += 1
        most = max(most, last - first)
    return most / WINDOW_SECONDS


def measure(spreads):
    """Stop one of two hosts under its callers; return the tally."""
    shutdown = {"drain_seconds": DRAIN_SECONDS, "spread_reconnects": spreads}
    fleet = processes.create_fleet(("a", "b"), 2, SEED, extra={"shutdown": shutdown})
    tally = Tally()
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        processes.wait_for_ticket(fleet, 1)
        addresses = [host.caller_address for host in fleet.hosts]
        callers = [
            threading.Thread(target=run_caller, args=(number, addresses, tally))
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
    return tally


def main():
    """Measure with the ends spread, and without."""
    spread, at_once = measure(True), measure(False)
    baseline = peak_rate(at_once.reconnected_at)
    peak = peak_rate(spread.reconnected_at)
    bound = 2 * CALLERS / DRAIN_SECONDS
    cut = len(spread.cut)
    finish(
        (
            Result("reconnect_peak", peak, "connections/s", bound, SEED, baseline),
            Result("reconnect_cut", cut, "requests", 0, SEED, len(at_once.cut)),
        )
    )


if __name__ == "__main__":
    main()

"""What control costs a host: processor, bytes, memory and calls to the store.

Idle hosts with a small configuration run as processes, more of them in each step.
Slopes over the number of hosts are fitted by least squares and carried to the planned
fleet; memory adds what each client account, key and route takes, from
``bench.state_slopes``. The whole takes less than three minutes.
"""

import os
import sys
import tempfile
import time
from typing import NamedTuple

import urllib3

from bench import processes, state_slopes
from bench.results import Result, report

COUNTS = (10, 40, 100, 200)
PLANNED_HOSTS = 460
PLANNED_COUNT_BY_KIND = {"account": 21_000, "key": 21_000, "route": 2900}
SETTLE_SECONDS = 18.0
MEASURE_SECONDS = 8.0
LIMIT_SECONDS = 170.0
START_SECONDS_PER_HOST = 0.25
ZONES = "abcdefgh"
CORE_PERCENT_BOUND = 1.0
BYTES_BOUND = 6000.0
MEMORY_BOUND_MEGABYTES = 64.0
WRITES_BOUND = 200.0
READS_BOUND = 500.0
MEGABYTE = 1_000_000


class Cost(NamedTuple):
    """Means over the hosts, and the store's totals."""

    core_percent: float
    bytes_per_second: float
    megabytes: float
    reads: float
    writes: float


def read_processor_seconds(host):
    """Return the processor time that a host has used."""
    with open(f"/proc/{host.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_megabytes(host):
    """Return the resident memory of a host."""
    with open(f"/proc/{host.process.pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def read_bytes(host):
    """Return the bytes that a host sent to and received from other hosts."""
    response = urllib3.request(
        "GET", f"http://{host.admin_address}/metrics", timeout=10
    )
    total = 0.0
    for line in response.data.decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name in ("peer_bytes_sent", "peer_bytes_received"):
            total += float(value)
    return total


def read_store(fleet):
    """Return the calls that the store has had, by kind."""
    return processes.call("GET", fleet.store_address, "/calls")[1]


def add_hosts(fleet, count):
    """Start hosts until there are so many, and wait for them."""
    for number in range(len(fleet.hosts), count):
        extra = {"log": {"level": "warning"}}
        zone = ZONES[number % len(ZONES)]
        processes.start_host(fleet, f"h{number:03d}", zone, extra)
    for host in fleet.hosts:
        processes.wait_for(
            lambda: processes.call("GET", host.admin_address, "/status")[0] == 200,
            LIMIT_SECONDS,
        )


def measure(fleet):
    """Return the ``Cost`` over some seconds."""
    started_at = time.monotonic()
    before = [(read_bytes(host), read_processor_seconds(host)) for host in fleet.hosts]
    calls_before = read_store(fleet)
    time.sleep(MEASURE_SECONDS)
    after = [(read_bytes(host), read_processor_seconds(host)) for host in fleet.hosts]
    calls = read_store(fleet)
    seconds = time.monotonic() - started_at
    count = len(fleet.hosts)
    sent = sum(b[0] - a[0] for a, b in zip(before, after))
    used = sum(b[1] - a[1] for a, b in zip(before, after))
    reads, writes = (
        (calls.get(kind, 0) - calls_before.get(kind, 0)) / seconds
        for kind in ("read", "write")
    )
    megabytes = sum(map(read_megabytes, fleet.hosts)) / count
    return Cost(
        100 * used / seconds / count, sent / seconds / count, megabytes, reads, writes
    )


def carry(points, planned):
    """Fit a straight line by least squares and return its value at the plan."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y + slope * (planned - mean_x)


def run():
    """Return the ``Cost`` by number of hosts, for as many as fit into the time."""
    began_at = time.monotonic()
    fleet = processes.Fleet(tempfile.mkdtemp(prefix="trefoilpin-"))
    cost_by_count = {}
    try:
        processes.start_store(fleet, 1)
        processes.wait_for(lambda: read_store(fleet) is not None)
        for count in COUNTS:
            if (
                time.monotonic() - began_at
                > LIMIT_SECONDS - START_SECONDS_PER_HOST * count - SETTLE_SECONDS
            ):
                break
            add_hosts(fleet, count)
            time.sleep(SETTLE_SECONDS)
            cost_by_count[count] = measure(fleet)
    finally:
        processes.stop_fleet(fleet)
    return cost_by_count


def main():
    """Print each step's figures and those carried to the planned fleet."""
    cost_by_count = run()
    for count, cost in cost_by_count.items():
        for name, value in cost._asdict().items():
            report(Result(f"control_{name}_{count}_hosts", round(value, 3), name))
    state_megabytes = 0.0
    for kind, count in PLANNED_COUNT_BY_KIND.items():
        state_megabytes += state_slopes.slope(kind)[0] * count / MEGABYTE
    bounds = (
        CORE_PERCENT_BOUND,
        BYTES_BOUND,
        MEMORY_BOUND_MEGABYTES,
        READS_BOUND,
        WRITES_BOUND,
    )
    kept = True
    for position, name in enumerate(Cost._fields):
        points = [(count, cost[position]) for count, cost in cost_by_count.items()]
        value = carry(points, PLANNED_HOSTS)
        if name == "megabytes":
            value += state_megabytes
        figure = Result(
            f"control_{name}_planned", round(value, 3), name, bounds[position]
        )
        kept = report(figure) and kept
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()

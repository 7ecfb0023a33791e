"""Control-plane cost of a host: processor time, bytes, memory and store calls.

Idle hosts with a small configuration run as processes, more of them in each step. The
cost is fitted over the number of hosts by least squares and extrapolated to the planned
fleet. Memory adds that of the planned client accounts, keys and routes, from
``bench.state_slopes``. A run takes less than three minutes.
"""

import os
import sys
import tempfile
import time
from typing import NamedTuple

import urllib3

from bench import processes, state_slopes
from bench.results import Result, report

HOST_COUNTS = (10, 40, 100, 200)
PLANNED_HOSTS = 460
PLANNED_COUNT_BY_KIND = {"account": 21_000, "key": 21_000, "route": 2900}
SETTLE_SECONDS = 18.0
MEASURE_SECONDS = 8.0
TIME_LIMIT_SECONDS = 170.0
START_SECONDS_PER_HOST = 0.25
ZONES = "abcdefgh"
CORE_PERCENT_BOUND = 1.0
BYTES_PER_SECOND_BOUND = 6000.0
MEMORY_BOUND_MEGABYTES = 64.0
WRITES_PER_SECOND_BOUND = 200.0
READS_PER_SECOND_BOUND = 500.0
MEGABYTE = 1_000_000


class Cost(NamedTuple):
    """Means over the hosts, and the store's calls a second in total."""

    core_percent: float
    bytes_per_second: float
    megabytes: float
    reads: float
    writes: float


def read_processor_seconds(host):
    """Return the processor time that a host has used, in seconds."""
    with open(f"/proc/{host.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_megabytes(host):
    """Return the resident memory of a host, in megabytes."""
    with open(f"/proc/{host.process.pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def read_bytes(host):
    """Return the bytes that a host has exchanged with other hosts, both ways."""
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
    """Return the number of calls that the store has received, by kind."""
    return processes.call("GET", fleet.store_address, "/calls")[1]


def add_hosts(fleet, count):
    """Start hosts until there are ``count``, and wait until all of them answer."""
    for number in range(len(fleet.hosts), count):
        extra = {"log": {"level": "warning"}}
        zone = ZONES[number % len(ZONES)]
        processes.start_host(fleet, f"h{number:03d}", zone, extra)
    for host in fleet.hosts:
        processes.wait_for(
            lambda: processes.call("GET", host.admin_address, "/status")[0] == 200,
            TIME_LIMIT_SECONDS,
        )


def measure(fleet):
    """Return the ``Cost`` measured over ``MEASURE_SECONDS``."""
    started_at = time.monotonic()
    before = [(read_bytes(host), read_processor_seconds(host)) for host in fleet.hosts]
    calls_before = read_store(fleet)
    time.sleep(MEASURE_SECONDS)
    after = [(read_bytes(host), read_processor_seconds(host)) for host in fleet.hosts]
    calls_after = read_store(fleet)
    seconds = time.monotonic() - started_at
    count = len(fleet.hosts)
    peer_bytes = sum(b[0] - a[0] for a, b in zip(before, after))
    processor_seconds = sum(b[1] - a[1] for a, b in zip(before, after))
    reads, writes = (
        (calls_after.get(kind, 0) - calls_before.get(kind, 0)) / seconds
        for kind in ("read", "write")
    )
    megabytes = sum(map(read_megabytes, fleet.hosts)) / count
    return Cost(
        100 * processor_seconds / seconds / count,
        peer_bytes / seconds / count,
        megabytes,
        reads,
        writes,
    )


def extrapolate(points, planned_count):
    """Fit a line by least squares and return its value at the planned count."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    return mean_y + slope * (planned_count - mean_x)


def run():
    """Return the ``Cost`` by number of hosts, for the steps that fit the time limit."""
    started_at = time.monotonic()
    fleet = processes.Fleet(tempfile.mkdtemp(prefix="trefoilpin-"))
    cost_by_host_count = {}
    try:
        processes.start_store(fleet, 1)
        processes.wait_for(lambda: read_store(fleet) is not None)
        for count in HOST_COUNTS:
            if (
                time.monotonic() - started_at
                > TIME_LIMIT_SECONDS - START_SECONDS_PER_HOST * count - SETTLE_SECONDS
            ):
                break
            add_hosts(fleet, count)
            time.sleep(SETTLE_SECONDS)
            cost_by_host_count[count] = measure(fleet)
    finally:
        processes.stop_fleet(fleet)
    return cost_by_host_count


def main():
    """Print the figures of each step and those extrapolated to the planned fleet."""
    cost_by_host_count = run()
    for count, cost in cost_by_host_count.items():
        for name, value in cost._asdict().items():
            report(Result(f"control_{name}_{count}_hosts", round(value, 3), name))
    state_megabytes = 0.0
    for kind, count in PLANNED_COUNT_BY_KIND.items():
        state_megabytes += state_slopes.slope(kind)[0] * count / MEGABYTE
    bounds = (
        CORE_PERCENT_BOUND,
        BYTES_PER_SECOND_BOUND,
        MEMORY_BOUND_MEGABYTES,
        READS_PER_SECOND_BOUND,
        WRITES_PER_SECOND_BOUND,
    )
    within_bounds = True
    for position, name in enumerate(Cost._fields):
        points = [(count, cost[position]) for count, cost in cost_by_host_count.items()]
        value = extrapolate(points, PLANNED_HOSTS)
        if name == "megabytes":
            value += state_megabytes
        result = Result(
            f"control_{name}_planned", round(value, 3), name, bounds[position]
        )
        within_bounds = report(result) and within_bounds
    sys.exit(0 if within_bounds else 1)


if __name__ == "__main__":
    main()

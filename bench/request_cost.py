"""Processor time of a host for each request, and memory for each kept connection.

Processor time comes from the system's account of the daemon's process before and after
a fixed number of keyed reads; memory from its resident size with idle connections.
"""

import os
import time

import urllib3

from bench import processes
from bench.results import Result, finish

SEED = 1
REQUESTS = 1500
CONNECTIONS = (50, 350)
PLANNED_REQUESTS_PER_HOST = 61
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
KEYED = {"Authorization": "Bearer hielo.secret"}


def processor_seconds(process):
    """Return the processor time a process has used so far."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(process):
    """Return the resident size of a process."""
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def send_reads(host, count):
    """Send keyed reads one after the other on a kept connection."""
    pool = urllib3.HTTPConnectionPool(*host.caller_address.split(":"))
    for _ in range(count):
        response = pool.request("GET", "/ponds/1", headers=KEYED, retries=False)
        if response.status != 200:
            raise RuntimeError(f"unexpected status {response.status}")


def open_connections(host, count):
    """Open connections, each used once and kept; return them."""
    connections = []
    for _ in range(count):
        connection = urllib3.HTTPConnectionPool(*host.caller_address.split(":"))
        connection.request("GET", "/ponds/1", headers=KEYED, retries=False)
        connections.append(connection)
    return connections


def measure(host):
    """Return seconds a request and bytes a connection."""
    send_reads(host, REQUESTS // 5)
    idle_before = processor_seconds(host.process)
    time.sleep(4)
    idle = (processor_seconds(host.process) - idle_before) / 4
    before, started = processor_seconds(host.process), time.monotonic()
    send_reads(host, REQUESTS)
    used = processor_seconds(host.process) - before
    used -= idle * (time.monotonic() - started)
    kept = open_connections(host, CONNECTIONS[0])
    small = resident_bytes(host.process)
    kept += open_connections(host, CONNECTIONS[1] - CONNECTIONS[0])
    large = resident_bytes(host.process)
    return used / REQUESTS, (large - small) / (CONNECTIONS[1] - CONNECTIONS[0])


def main():
    """Measure with one host and one upstream."""
    fleet = processes.create_fleet(("a",), 1, SEED, slots=64, service_seconds=0.0)
    try:
        changes = processes.standard_changes(fleet)
        processes.wait_for(lambda: processes.submit(fleet, 1, changes)[0] == 200)
        time.sleep(3)
        seconds, size = measure(fleet.hosts[0])
    finally:
        processes.stop_fleet(fleet)
    share = 100 * seconds * PLANNED_REQUESTS_PER_HOST
    finish(
        (
            Result("request_processor_time", round(seconds * 1000, 3), "ms", seed=SEED),
            Result("request_processor_share_at_61rps", round(share, 1), "%", seed=SEED),
            Result("connection_memory", round(size), "B", seed=SEED),
        )
    )


if __name__ == "__main__":
    main()

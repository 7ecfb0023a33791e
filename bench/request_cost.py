"""Processor time of a host per request, and memory per idle connection.

Processor time is read from ``/proc`` before and after a fixed number of reads with an
API key, less the idle share; memory is the growth of the resident set with idle
connections.
"""

import os
import time

import urllib3

from bench import processes
from bench.results import Result, finish

SEED = 1
REQUEST_COUNT = 1500
CONNECTION_COUNTS = (50, 350)
PLANNED_REQUESTS_PER_HOST = 61
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
KEY_HEADERS = {"Authorization": "Bearer hielo.secret"}


def processor_seconds(process):
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(process):
    """Return the resident set size of a process, in bytes."""
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def send_reads(host, count):
    """Send reads with an API key, one after another on a persistent connection."""
    pool = urllib3.HTTPConnectionPool(*host.caller_address.split(":"))
    for _ in range(count):
        response = pool.request("GET", "/ponds/1", headers=KEY_HEADERS, retries=False)
        if response.status != 200:
            raise RuntimeError(f"unexpected status {response.status}")


def open_connections(host, count):
    """Open connections, send one request on each, and return them open."""
    connections = []
    for _ in range(count):
        connection = urllib3.HTTPConnectionPool(*host.caller_address.split(":"))
        connection.request("GET", "/ponds/1", headers=KEY_HEADERS, retries=False)
        connections.append(connection)
    return connections


def measure(host):
    """Return the processor seconds per request and the bytes per connection."""
    send_reads(host, REQUEST_COUNT // 5)
    idle_seconds_before = processor_seconds(host.process)
    time.sleep(4)
    idle_share = (processor_seconds(host.process) - idle_seconds_before) / 4
    seconds_before, started_at = processor_seconds(host.process), time.monotonic()
    send_reads(host, REQUEST_COUNT)
    used_seconds = processor_seconds(host.process) - seconds_before
    used_seconds -= idle_share * (time.monotonic() - started_at)
    connections = open_connections(host, CONNECTION_COUNTS[0])
    bytes_before = resident_bytes(host.process)
    connections += open_connections(host, CONNECTION_COUNTS[1] - CONNECTION_COUNTS[0])
    bytes_after = resident_bytes(host.process)
    return used_seconds / REQUEST_COUNT, (bytes_after - bytes_before) / (
        CONNECTION_COUNTS[1] - CONNECTION_COUNTS[0]
    )


def main():
    """Measure with one host and one upstream."""
    fleet = processes.create_fleet(("a",), 1, SEED, slots=64, service_seconds=0.0)
    try:
        changes = processes.standard_changes(fleet)
        processes.wait_for(lambda: processes.submit(fleet, 1, changes)[0] == 200)
        time.sleep(3)
        request_seconds, connection_bytes = measure(fleet.hosts[0])
    finally:
        processes.stop_fleet(fleet)
    processor_percent = 100 * request_seconds * PLANNED_REQUESTS_PER_HOST
    finish(
        (
            Result(
                "request_processor_time",
                round(request_seconds * 1000, 3),
                "ms",
                seed=SEED,
            ),
            Result(
                "request_processor_share_at_61rps",
                round(processor_percent, 1),
                "%",
                seed=SEED,
            ),
            Result("connection_memory", round(connection_bytes), "B", seed=SEED),
        )
    )


if __name__ == "__main__":
    main()

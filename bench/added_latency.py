"""Latency that a host adds on kept connections, against the upstream called directly.

Each kind of request is measured in a run of its own: one process calls the upstream
directly and one calls it through the host, at the same rate, turn about, so that both
see the same state of the machine. Callers send bytes prepared beforehand on a few kept
connections at fixed instants, waiting between them in the kernel, and read each answer
with one call where they can; a library's client would add its own spread to both sides.
The figure is the difference of the percentiles of the two.
"""

import json
import socket
import subprocess
import sys
import threading
import time

from hdrh.histogram import HdrHistogram

from bench import processes
from bench.results import Result, finish

BOUND_MILLISECONDS = 1.3
RATES = (61, 200)
SECONDS = 12
CONNECTIONS = 4
SEED = 1
MICROSECONDS = 1_000_000
HIGHEST_MICROSECONDS = 60 * MICROSECONDS
READ_BYTES = 65_536
KEY = "Authorization: Bearer hielo.secret\r\n"
FIELDS_BY_KIND = {"open": ("GET", "/open/1", ""), "keyed": ("GET", "/ponds/1", KEY)}


def encode(method, path, address, fields):
    """Return the bytes of a request."""
    lines = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n{fields}\r\n"
    )
    return lines.encode()


def read_answer(sock):
    """Read one answer; return its status."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    lowered = head.lower()
    length = int(lowered.partition(b"content-length:")[2].split(b"\r\n", 1)[0])
    while len(body) < length:
        body += receive(sock)
    return int(head.split(b" ", 2)[1])


def receive(sock):
    """Return some bytes.

    Raises
    ------
    ConnectionError
        When the connection was closed.
    """
    part = sock.recv(READ_BYTES)
    if not part:
        raise ConnectionError("the connection was closed")
    return part


def run_connection(address, request, instants, found):
    """Send one request at each instant and keep how long each took."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for instant in instants:
            time.sleep(max(instant - time.monotonic(), 0))
            started = time.monotonic()
            sock.sendall(request)
            status = read_answer(sock)
            found.append((status, time.monotonic() - started))


def run_caller(address, kind, rate, first):
    """Call one target from this process and print what was seen as JSON."""
    request = encode(*FIELDS_BY_KIND[kind][:2], address, FIELDS_BY_KIND[kind][2])
    instants = [first + number / rate for number in range(int(rate * SECONDS))]
    found = []
    threads = [
        threading.Thread(
            target=run_connection,
            args=(address, request, instants[number::CONNECTIONS], found),
        )
        for number in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(found))


def start_caller(address, kind, rate, first):
    """Start a process that calls one target."""
    arguments = ("caller", address, kind, str(rate), str(first))
    command = [sys.executable, "-m", "bench.added_latency", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def collect(process):
    """Return the percentile function over a caller's answers, which must be 200."""
    output, _ = process.communicate()
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    for status, seconds in json.loads(output):
        if status != 200:
            raise SystemExit(f"an answer had status {status}")
        histogram.record_value(max(int(seconds * MICROSECONDS), 1))
    return histogram.get_value_at_percentile


def measure(fleet, kind, rate):
    """Return the percentile functions of direct calls and of calls through a host."""
    first = time.monotonic() + 1.0
    half = 0.5 / rate
    direct = start_caller(fleet.upstreams[0].address, kind, rate, first)
    proxied = start_caller(fleet.hosts[0].caller_address, kind, rate, first + half)
    return collect(direct), collect(proxied)


def results(fleet):
    """Yield the added latency for each kind and rate."""
    for rate in RATES:
        for kind in FIELDS_BY_KIND:
            direct, proxied = measure(fleet, kind, rate)
            for quantile, bound in ((50, None), (99, BOUND_MILLISECONDS)):
                added = (proxied(quantile) - direct(quantile)) / 1000
                name = f"added_latency_{kind}_p{quantile}_{rate}rps"
                yield Result(name, round(added, 3), "ms", bound, SEED)


def main():
    """Measure with one host and one upstream."""
    if sys.argv[1:2] == ["caller"]:
        address, kind, rate, first = sys.argv[2:]
        run_caller(address, kind, float(rate), float(first))
        return
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

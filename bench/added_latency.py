"""Latency that a host adds on kept connections, against the upstream called directly.

Each kind of request is measured in a run of its own: one process calls the upstream
directly and one calls it through the host, at the same rate, turn about, so that both
see the same state of the machine. A keyed read passes the account's rate too, and a
write has an idempotency key of its own issued by the host. Callers send bytes prepared
beforehand on a few kept connections at fixed instants, waiting between them in the
kernel; a library's client would add its own spread to both sides. The figure is the
difference of the percentiles of the two.
"""

import json
import os
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
START_SECONDS = 1.5
SETTLE_SECONDS = 3.0
CONNECTIONS = 4
SEED = 1
MICROSECONDS = 1_000_000
HIGHEST_MICROSECONDS = 60 * MICROSECONDS
READ_BYTES = 65_536
KEY = "Authorization: Bearer hielo.secret\r\n"
WRITE = f"{KEY}Content-Length: 0\r\nIdempotency-Key: {{operation}}\r\n"
FIELDS_BY_KIND = {
    "open": ("GET", "/open/1", ""),
    "keyed": ("GET", "/ponds/1", KEY),
    "write": ("POST", "/slots/1", WRITE),
}


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


def run_connection(address, requests, instants, found):
    """Send each request at its instant and keep how long it took."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for request, instant in zip(requests, instants):
            time.sleep(max(instant - time.monotonic(), 0))
            started = time.monotonic()
            sock.sendall(request)
            status = read_answer(sock)
            found.append((status, time.monotonic() - started))


def run_caller(address, kind, rate, first, issuer):
    """Call one target from this process and print what was seen as JSON."""
    method, path, fields = FIELDS_BY_KIND[kind]
    count = int(rate * SECONDS)
    requests = []
    for number in range(count):
        operation = f"{issuer}.{os.getpid()}-{number}"
        filled = fields.replace("{operation}", operation)
        requests.append(encode(method, path, address, filled))
    instants = [first + number / rate for number in range(count)]
    found = []
    threads = []
    for number in range(CONNECTIONS):
        share = slice(number, None, CONNECTIONS)
        arguments = (address, requests[share], instants[share], found)
        threads.append(threading.Thread(target=run_connection, args=arguments))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(found))


def start_caller(address, kind, rate, first, issuer):
    """Start a process that calls one target."""
    arguments = ("caller", address, kind, str(rate), str(first), issuer)
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
    first = time.monotonic() + START_SECONDS
    upstream, host = fleet.upstreams[0].address, fleet.hosts[0].caller_address
    issuer = processes.call("GET", host, "/v1/hosts")[1]["issuer"]
    direct = start_caller(upstream, kind, rate, first, issuer)
    proxied = start_caller(host, kind, rate, first + 0.5 / rate, issuer)
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
        address, kind, rate, first, issuer = sys.argv[2:]
        run_caller(address, kind, float(rate), float(first), issuer)
        return
    fleet = processes.create_fleet(("a",), 1, SEED, slots=64)
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        processes.wait_for_ticket(fleet, 1)
        time.sleep(SETTLE_SECONDS)
        found = list(results(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(found)


if __name__ == "__main__":
    main()

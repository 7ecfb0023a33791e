"""Latency that a host adds on persistent connections, compared with direct calls.

Each kind of request is measured in its own run: one process calls the upstream directly
and one calls it through the host, at the same rate with interleaved requests, so that
both see the same load of the machine. A keyed read also passes the account's rate
limit, and each write has its own idempotency key with the host as issuer. Callers send
pre-encoded requests at fixed times on a few persistent connections and sleep between
them; an HTTP client library would add its own jitter to both sides. The figure is the
difference between the percentiles of the two.
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

MAX_ADDED_P99_MILLISECONDS = 1.3
RATES = (61, 200)
RUN_SECONDS = 12
START_DELAY_SECONDS = 1.5
SETTLE_SECONDS = 3.0
CONNECTIONS = 4
SEED = 1
MICROSECONDS = 1_000_000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS
RECEIVE_BYTES = 65_536
KEY_FIELD = "Authorization: Bearer hielo.secret\r\n"
WRITE_FIELDS = f"{KEY_FIELD}Content-Length: 0\r\nIdempotency-Key: {{operation}}\r\n"
REQUEST_BY_KIND = {
    "open": ("GET", "/open/1", ""),
    "keyed": ("GET", "/ponds/1", KEY_FIELD),
    "write": ("POST", "/slots/1", WRITE_FIELDS),
}


def encode_request(method, path, address, fields):
    """Return an encoded request without a body."""
    lines = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n{fields}\r\n"
    )
    return lines.encode()


def read_response(sock):
    """Read one response with a content length; return its status."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    lower_head = head.lower()
    length = int(lower_head.partition(b"content-length:")[2].split(b"\r\n", 1)[0])
    while len(body) < length:
        body += receive(sock)
    return int(head.split(b" ", 2)[1])


def receive(sock):
    """Receive at least one byte.

    Raises
    ------
    ConnectionError
        When the server closed the connection.
    """
    received = sock.recv(RECEIVE_BYTES)
    if not received:
        raise ConnectionError("connection closed before the whole response")
    return received


def run_connection(address, requests, send_times, samples):
    """Send each request at its time; record its status and latency in seconds."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for request, send_at in zip(requests, send_times):
            time.sleep(max(send_at - time.monotonic(), 0))
            started = time.monotonic()
            sock.sendall(request)
            status = read_response(sock)
            samples.append((status, time.monotonic() - started))


def run_caller(address, kind, rate, first_send_at, issuer):
    """Call one target from this process; print statuses and latencies as JSON."""
    method, path, fields = REQUEST_BY_KIND[kind]
    count = int(rate * RUN_SECONDS)
    requests = []
    for number in range(count):
        operation_key = f"{issuer}.{os.getpid()}-{number}"
        request_fields = fields.replace("{operation}", operation_key)
        requests.append(encode_request(method, path, address, request_fields))
    send_times = [first_send_at + number / rate for number in range(count)]
    samples = []
    threads = []
    for number in range(CONNECTIONS):
        share = slice(number, None, CONNECTIONS)
        arguments = (address, requests[share], send_times[share], samples)
        threads.append(threading.Thread(target=run_connection, args=arguments))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(samples))


def start_caller(address, kind, rate, first_send_at, issuer):
    """Start a process that calls one target and prints its samples."""
    arguments = ("caller", address, kind, str(rate), str(first_send_at), issuer)
    command = [sys.executable, "-m", "bench.added_latency", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def read_percentiles(process):
    """Return the percentile function of a caller's latencies, in microseconds.

    Raises
    ------
    SystemExit
        When a response has another status than 200.
    """
    output, _ = process.communicate()
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
    for status, latency_seconds in json.loads(output):
        if status != 200:
            raise SystemExit(f"unexpected response status {status}")
        histogram.record_value(max(int(latency_seconds * MICROSECONDS), 1))
    return histogram.get_value_at_percentile


def measure(fleet, kind, rate):
    """Return the percentile functions of direct and of proxied calls."""
    first_send_at = time.monotonic() + START_DELAY_SECONDS
    upstream, host = fleet.upstreams[0].address, fleet.hosts[0].caller_address
    issuer = processes.call("GET", host, "/v1/hosts")[1]["issuer"]
    direct_caller = start_caller(upstream, kind, rate, first_send_at, issuer)
    proxied_caller = start_caller(host, kind, rate, first_send_at + 0.5 / rate, issuer)
    return read_percentiles(direct_caller), read_percentiles(proxied_caller)


def results(fleet):
    """Yield the added latency for each kind and rate."""
    for rate in RATES:
        for kind in REQUEST_BY_KIND:
            direct_percentile, proxied_percentile = measure(fleet, kind, rate)
            for percentile, bound in ((50, None), (99, MAX_ADDED_P99_MILLISECONDS)):
                added = (
                    proxied_percentile(percentile) - direct_percentile(percentile)
                ) / 1000
                name = f"added_latency_{kind}_p{percentile}_{rate}rps"
                yield Result(name, round(added, 3), "ms", bound, SEED)


def main():
    """Measure with one host and one upstream."""
    if sys.argv[1:2] == ["caller"]:
        address, kind, rate, first_send_at, issuer = sys.argv[2:]
        run_caller(address, kind, float(rate), float(first_send_at), issuer)
        return
    fleet = processes.create_fleet(("a",), 1, SEED, slots=64)
    try:
        processes.submit(fleet, 1, processes.standard_changes(fleet))
        processes.wait_for_ticket(fleet, 1)
        time.sleep(SETTLE_SECONDS)
        figures = list(results(fleet))
    finally:
        processes.stop_fleet(fleet)
    finish(figures)


if __name__ == "__main__":
    main()

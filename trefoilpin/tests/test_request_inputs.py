"""Bodies of callers that are malformed or cut, from a socket to the application.

Guards against bodies that another reader would delimit differently, such as those by
which requests are smuggled, and against requests that run with a part of their body.
"""

import random
import socket
import time
import tracemalloc

import eventlet
import pytest

from trefoilpin import clocks, listeners, wsgi_messages
from trefoilpin.tests.drawn_bodies import ENDLESS_BODIES, MALFORMED_BODIES
from trefoilpin.verdicts import Refusal

MAX_BODY_BYTES = 4_000_000
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"00000004\r\nwhol\r\n4;a=b\r\ne!!!\r\n000\r\nX-Sum: 1\r\n\r\n"
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
# Of a body's read parts and its joined bytes, beside those of the sender in this test.
COPIES = 2
# For which 99 of 100 other tasks may wait on top of their own work.
MAX_GAP_SECONDS = 0.005


class Server:
    """A listener whose application reads bodies, or leaves them unread."""

    def __init__(self):
        self.runs = []
        self.reads_body = True
        self.listener = listeners.listen("127.0.0.1:0")
        self.task = eventlet.spawn(
            listeners.serve,
            self.listener,
            self.application,
            (10, 5.0),
            clocks.system_clock(eventlet.sleep),
            random.Random(1),
            lambda peer, detail: None,
        )

    def application(self, environ, start_response):
        path, body = environ["PATH_INFO"], b""
        if self.reads_body:
            body = wsgi_messages.read_body(environ, MAX_BODY_BYTES)
        if isinstance(body, Refusal):
            listeners.end_after_answer(environ[listeners.CONNECTION])
            start_response("400 Bad", [("Content-Length", "0")])
            return [b""]
        self.runs.append((path, body))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    def send(self, data):
        """Send bytes and the end, and return the statuses of the answers."""
        sock = socket.create_connection(self.listener.sock.getsockname())
        eventlet.spawn(self.send_all, sock, data)
        received = b""
        with eventlet.Timeout(10.0):
            while part := receive(sock):
                received += part
        sock.close()
        return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]

    def send_all(self, sock, data):
        try:
            sock.sendall(memoryview(data))
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The server has closed the connection.
            return


def receive(sock):
    try:
        return sock.recv(65_536)
    except ConnectionResetError:
        return b""


@pytest.fixture
def server():
    server = Server()
    yield server
    server.task.kill()


def test_whole_bodies_run_one_behind_the_other(server):
    body = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
    assert server.send(HEAD + CHUNKS + body + SMUGGLED) == [200, 200, 200]
    assert server.runs == [("/a", b"whole!!!"), ("/b", b"abc"), ("/smuggled", b"")]


@pytest.mark.parametrize("name", [*MALFORMED_BODIES, *ENDLESS_BODIES])
def test_a_malformed_body_does_not_run_nor_what_follows(server, name):
    wire = (MALFORMED_BODIES | ENDLESS_BODIES)[name]
    assert server.send(HEAD + wire + SMUGGLED) == [400]
    assert server.runs == []


@pytest.mark.parametrize("name", MALFORMED_BODIES)
def test_nothing_behind_a_malformed_body_that_is_not_read_runs(server, name):
    """Guards against a listener that discards bodies by a lenient reading."""
    server.reads_body = False
    assert server.send(HEAD + MALFORMED_BODIES[name] + SMUGGLED) == [200]
    assert server.runs == [("/a", b"")]


def test_a_body_that_is_cut_anywhere_does_not_run(server):
    """The end is seen by the framing, also where nothing watches the connection."""
    for end in range(len(CHUNKS)):
        assert server.send(HEAD + CHUNKS[:end]) == [400]
    for end in range(3):
        head = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
        assert server.send(head + b"abc"[:end]) == [400]
    assert server.runs == []


@pytest.mark.parametrize(
    "head",
    [
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: identity",
        b"Content-Length: 0_5",
        b"Content-Length: +5",
        b"Content-Length: 5\r\nContent-Length: 6",
        b"Content-Length: " + b"9" * 30,
    ],
)
@pytest.mark.parametrize("reads_body", [True, False])
def test_nothing_follows_a_request_of_a_faulty_framing(server, head, reads_body):
    server.reads_body = reads_body
    data = b"POST /a HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\n" + CHUNKS + SMUGGLED
    assert len(server.send(data)) == 1
    assert all(path == "/a" for path, _ in server.runs)


def test_chunks_of_an_old_version_are_refused(server):
    head = HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
    assert server.send(head + CHUNKS + SMUGGLED) == [400]
    assert server.runs == []


@pytest.mark.parametrize(
    "sent",
    [
        b"-1\r\n" + b"x" * 30_000_000,
        b"7" + b"f" * 15 + b"\r\n" + b"x" * 30_000_000,
        b"0" * 30_000_000,
        b"1;a=" + b"b" * 30_000_000,
        b"0\r\na: " + b"b" * 30_000_000,
    ],
    ids=["negative size", "huge size", "size", "extension", "trailer"],
)
@pytest.mark.parametrize("reads_body", [True, False])
def test_memory_for_an_endless_body_is_bounded(server, sent, reads_body):
    """Guards against a host that keeps what a caller sends beyond its largest body."""
    server.reads_body = reads_body
    data = HEAD + sent
    tracemalloc.start()
    try:
        server.send(data)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak <= COPIES * MAX_BODY_BYTES


@pytest.mark.parametrize("chunk_bytes", [1, 10, 1000, 65_536])
def test_other_tasks_run_while_a_body_comes_in_small_chunks(server, chunk_bytes):
    """Guards against an upload that keeps a host from all its other work."""
    size = min(100_000 * chunk_bytes, MAX_BODY_BYTES)
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    data = HEAD + chunk * (size // chunk_bytes) + b"0\r\n\r\n"
    # Processor time: what other processes of the machine take is no gap of the server.
    gaps, ticked_at = [], time.thread_time()

    def tick():
        nonlocal ticked_at
        while True:
            eventlet.sleep(0)
            gaps.append(time.thread_time() - ticked_at)
            ticked_at += gaps[-1]

    ticker = eventlet.spawn(tick)
    try:
        assert server.send(data) == [200]
    finally:
        ticker.kill()
    assert sorted(gaps)[int(len(gaps) * 0.99)] <= MAX_GAP_SECONDS
    assert len(server.runs[0][1]) == size // chunk_bytes * chunk_bytes

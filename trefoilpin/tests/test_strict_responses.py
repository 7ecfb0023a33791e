"""Answers of the store and of other hosts that are malformed or cut.

Guards against an end of the connection that is taken for the end of an answer, and
against sizes by which one answer fills a host's memory.
"""

import random
import tracemalloc

import eventlet
import pytest
from returns.result import Failure, Success
from urllib3.exceptions import HTTPError

from trefoilpin import clocks, commands, stores
from trefoilpin.bounded_reads import read_body
from trefoilpin.gateway.fleet import transports
from trefoilpin.gateway.store.document_cache import CONFIGURATION
from trefoilpin.kernel import create_kernel
from trefoilpin.services import Events, StoreOutcome
from trefoilpin.strict_responses import create_pool_manager
from trefoilpin.tests.drawn_bodies import ENDLESS_BODIES, MALFORMED_BODIES

HOST = "127.0.0.1"
MAX_BYTES = 1_000_000
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = b'{"path": "a", "version": 1, "value": 5}'
CHUNKS = b"0000001\r\n{\r\n26;a=b\r\n" + BODY[1:] + b"\r\n00\r\nX-Sum: 1\r\n\r\n"
FAULTS = (MALFORMED_BODIES | ENDLESS_BODIES).values()


def start_server(answer):
    """Start a server that gives these bytes once a connection; return its port."""
    listener = eventlet.listen((HOST, 0))

    def serve(sock, address):
        sock.recv(65_536)
        try:
            sock.sendall(memoryview(answer))
            sock.shutdown(1)
        except OSError:
            # The reader has left.
            return

    eventlet.spawn(eventlet.serve, listener, serve)
    return listener.getsockname()[1]


def fetch_body(answer):
    """Return the body of an answer as the clients of the store and hosts read it."""
    manager = create_pool_manager(retries=False)
    url = f"http://{HOST}:{start_server(answer)}/"
    response = manager.request("GET", url, preload_content=False, timeout=2.0)
    return read_body(response, MAX_BYTES)


def create_store(answer):
    kernel = create_kernel(
        clocks.system_clock(eventlet.sleep), eventlet.spawn, random.Random(1)
    )
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    return stores.create(kernel, [f"{HOST}:{start_server(answer)}"], 2.0, 100.0, 100)


def test_whole_answers_are_read():
    assert fetch_body(CHUNKED_HEAD + CHUNKS) == Success(BODY)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"
    assert fetch_body(head + BODY) == Success(BODY)
    assert create_store(CHUNKED_HEAD + CHUNKS).get("a").unwrap().value == 5


def test_answers_that_are_cut_anywhere_are_no_answers():
    for end in range(len(CHUNKS)):
        with pytest.raises(HTTPError):
            fetch_body(CHUNKED_HEAD + CHUNKS[:end])
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"
    for end in range(len(BODY)):
        with pytest.raises(HTTPError):
            fetch_body(head + BODY[:end])


@pytest.mark.parametrize("wire", FAULTS)
def test_malformed_answers_are_no_answers(wire):
    answer = CHUNKED_HEAD + wire
    with pytest.raises(HTTPError):
        fetch_body(answer)
    failure = create_store(answer).create("a", 5).failure()
    assert failure.outcome is StoreOutcome.UNKNOWN
    fetch = transports.create_fetch(start_server(answer))
    assert isinstance(fetch(HOST, CONFIGURATION, 0), Failure)


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: -1",
        b"Content-Length: +39",
        b"Content-Length: 3_9",
        b"Content-Length: 39, 39",
        b"Content-Length: 39\r\nContent-Length: 40",
        b"Content-Length: 39\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: gzip, chunked",
        b"Content-Length: " + b"9" * 5000,
    ],
)
def test_answers_of_a_faulty_framing_are_no_answers(head):
    with pytest.raises(HTTPError):
        fetch_body(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + BODY)


@pytest.mark.parametrize("size", [b"-1", b"7" + b"f" * 15])
def test_memory_for_an_endless_chunk_is_bounded(size):
    answer = CHUNKED_HEAD + size + b"\r\n" + b"x" * 40_000_000
    tracemalloc.start()
    try:
        outcome = fetch_body(answer)
        assert isinstance(outcome, Failure)
    except HTTPError:
        assert size == b"-1"
    finally:
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert peak <= 2 * MAX_BYTES


def test_the_connection_is_kept_after_a_whole_answer():
    connections = []
    listener = eventlet.listen((HOST, 0))

    def serve(sock, address):
        connections.append(address)
        while sock.recv(65_536):
            sock.sendall(CHUNKED_HEAD + CHUNKS)

    eventlet.spawn(eventlet.serve, listener, serve)
    manager = create_pool_manager(retries=False)
    url = f"http://{HOST}:{listener.getsockname()[1]}/"
    for _ in range(3):
        response = manager.request("GET", url, preload_content=False, timeout=2.0)
        assert read_body(response, MAX_BYTES) == Success(BODY)
    assert len(connections) == 1


@pytest.mark.parametrize("wire", [CHUNKS[:-1], *FAULTS])
def test_a_command_takes_no_malformed_answer_for_one(wire):
    address = f"{HOST}:{start_server(CHUNKED_HEAD + wire)}"
    with pytest.raises(SystemExit) as stopped:
        commands.request("GET", address, "/status")
    assert stopped.value.code == commands.EXIT_UNKNOWN

"""Questions for the health of an upstream, over real connections."""

import eventlet
import pytest
from returns.result import Failure, Success

from trefoilpin import health_probes
from trefoilpin.fakes.gateways import create_host, upstream
from trefoilpin.tests.drawn_bodies import ENDLESS_BODIES, MALFORMED_BODIES

WELL = b"HTTP/1.1 200 OK\r\nx-cold: 3\r\ncontent-length: 0\r\n\r\n"


def read_cold_seconds(upstream_id, fields):
    stated = dict(fields).get("x-cold")
    return Failure("nothing is stated") if stated is None else Success(float(stated))


def start_upstream(answer, seconds=0.0):
    """Start an upstream that sends these bytes; return its address and requests."""
    received = []
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve(sock, address):
        received.append(sock.recv(65536))
        eventlet.sleep(seconds)
        sock.sendall(answer)
        sock.close()

    eventlet.spawn(eventlet.serve, listener, serve)
    return f"127.0.0.1:{listener.getsockname()[1]}", received


def ask(address, path="/healthz"):
    kernel, _, _ = create_host()
    service = health_probes.create(kernel, read_cold_seconds)
    return service.ask(upstream(1)._replace(address=address), path)


def test_answer_tells_how_long_an_upstream_stays_cold():
    address, received = start_upstream(WELL)
    assert ask(address) == Success(3.0)
    assert received[0].startswith(b"GET /healthz HTTP/1.1\r\n")
    assert b"connection: close" in received[0].lower()


def test_upstream_that_is_not_well_tells_it_too():
    address, _ = start_upstream(WELL.replace(b"200 OK", b"503 Busy"))
    assert ask(address) == Success(3.0)


@pytest.mark.parametrize(
    "answer",
    (
        b"",
        b"\x00\xff" * 40,
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        WELL.replace(b"200 OK", b"404 Not Found"),
        WELL.replace(b"200", b"000"),
        WELL.replace(b"x-cold: 3", b"x-cold 3"),
        WELL[:30],
        b"HTTP/1.1 200 OK\r\nx-cold: 3\r\nx-long: " + b"a" * 100_000,
    ),
)
def test_other_bytes_tell_nothing(answer):
    address, _ = start_upstream(answer)
    assert isinstance(ask(address), Failure)


def test_no_answer_in_time_tells_nothing(monkeypatch):
    monkeypatch.setattr(health_probes, "ANSWER_TIMEOUT_SECONDS", 0.05)
    address, _ = start_upstream(WELL, 30.0)
    assert ask(address) == Failure("no answer in time")


def test_unreachable_upstream_tells_nothing():
    listener = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    assert isinstance(ask(address), Failure)


@pytest.mark.parametrize(
    "rest",
    [
        *(
            b"transfer-encoding: chunked\r\n\r\n" + wire
            for wire in (MALFORMED_BODIES | ENDLESS_BODIES).values()
        ),
        b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"content-length: 3\r\n\r\nab",
        b"content-length: -1\r\n\r\n",
        b"content-length: 0\r\ncontent-length: 1\r\n\r\n",
    ],
)
def test_answer_of_a_malformed_or_cut_body_tells_nothing(rest):
    """Guards against a cold time that is taken from a part of an answer."""
    address, _ = start_upstream(b"HTTP/1.1 200 OK\r\nx-cold: 3\r\n" + rest)
    assert isinstance(ask(address), Failure)


def test_answer_of_a_whole_body_tells_it():
    chunks = b"transfer-encoding: chunked\r\n\r\n02\r\nok\r\n0\r\n\r\n"
    address, _ = start_upstream(b"HTTP/1.1 200 OK\r\nx-cold: 3\r\n" + chunks)
    assert ask(address) == Success(3.0)

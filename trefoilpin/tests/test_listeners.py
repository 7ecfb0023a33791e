"""Closing of listeners and connections, which must not cut a request in progress."""

import errno
import json
import random
import socket

import eventlet
import pytest

from trefoilpin import clocks, listeners
from trefoilpin.frontends import CLOSING

MAX_CONNECTIONS = 10
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class Server:
    """A listener whose answers wait for an event."""

    def __init__(self):
        self.may_answer = eventlet.event.Event()
        self.runs = 0
        self.listener = listeners.listen("127.0.0.1:0")
        self.address = self.listener.sock.getsockname()
        self.task = eventlet.spawn(
            listeners.serve,
            self.listener,
            self.application,
            (MAX_CONNECTIONS, 5.0),
            clocks.system_clock(eventlet.sleep),
            random.Random(1),
            lambda peer, detail: None,
        )

    def application(self, environ, start_response):
        self.runs += 1
        self.may_answer.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def wait_for_connection(self):
        with eventlet.Timeout(5):
            while not self.listener.connections:
                eventlet.sleep(0.001)
        return next(iter(self.listener.connections.values()))


@pytest.fixture
def server():
    server = Server()
    yield server
    server.task.kill()


def test_close_waits_for_the_request_in_progress(server):
    with socket.create_connection(server.address, timeout=5) as sock:
        sock.sendall(REQUEST)
        connection = server.wait_for_connection()
        with eventlet.Timeout(5):
            while connection.server_state[2] != "request":
                eventlet.sleep(0.001)
        closing = eventlet.spawn(listeners.close, server.listener)
        eventlet.sleep(0.01)
        assert not closing.dead
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(server.address, timeout=5)
        server.may_answer.send()
        assert sock.recv(65536).endswith(b"ok")
        closing.wait()


def test_connection_with_an_unread_request_is_not_closed(server):
    with socket.create_connection(server.address, timeout=5) as sock:
        connection = server.wait_for_connection()
        sock.sendall(REQUEST)
        assert not listeners.close_if_idle(connection)
        server.may_answer.send()
        assert sock.recv(65536).endswith(b"ok")
        with eventlet.Timeout(5):
            while not listeners.close_if_idle(connection):
                eventlet.sleep(0.001)
        assert sock.recv(1) == b""


@pytest.mark.parametrize("refusal", [None, CLOSING])
@pytest.mark.parametrize("is_served", [False, True])
def test_request_that_waits_in_the_socket_is_answered_before_close_returns(
    server, refusal, is_served
):
    """The task of the connection has not run since the caller sent its request."""
    server.may_answer.send()
    with socket.create_connection(server.address, timeout=5) as sock:
        server.wait_for_connection()
        if is_served:
            sock.sendall(REQUEST)
            assert sock.recv(65536).endswith(b"ok")
            eventlet.sleep(0.01)
        sock.sendall(REQUEST)
        listeners.close(server.listener, refusal)
        answer = read_to_end(sock)
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"ok")
    assert b"Connection: close" in answer


def test_request_arrives_with_its_first_line_and_not_with_its_body(server):
    with socket.create_connection(server.address, timeout=5) as sock:
        sock.sendall(b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n")
        connection = server.wait_for_connection()
        with eventlet.Timeout(5):
            while connection.server_state[2] != "request":
                eventlet.sleep(0.001)
        first_arrival = connection.request_at
        eventlet.sleep(0.05)
        sock.sendall(b"ok")
        server.may_answer.send()
        assert sock.recv(65536).endswith(b"ok")
        assert connection.request_at == first_arrival


def read_to_end(sock):
    received = b""
    while part := sock.recv(65536):
        received += part
    return received


@pytest.mark.parametrize("closes_listener", [False, True])
def test_request_sent_while_the_connection_closes_is_refused_as_not_run(
    server, closes_listener
):
    with socket.create_connection(server.address, timeout=5) as sock:
        server.may_answer.send()
        sock.sendall(REQUEST)
        assert sock.recv(65536).endswith(b"ok")
        connection = server.wait_for_connection()
        with eventlet.Timeout(5):
            while not connection.is_idle():
                eventlet.sleep(0.001)
        if closes_listener:
            closing = eventlet.spawn(listeners.close, server.listener, CLOSING)
            eventlet.sleep(0)
        else:
            assert listeners.close_if_idle(connection, CLOSING)
        sock.sendall(REQUEST)
        head, _, body = read_to_end(sock).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 408 ")
    assert json.loads(body)["verdict"] == "not_run"
    assert server.runs == 1
    if closes_listener:
        closing.wait()


def test_listener_goes_on_after_it_had_no_descriptor_left(server):
    """Guards against a host that never accepts a caller again after a burst."""
    accept = server.listener.sock.accept
    failures = [errno.EMFILE, errno.ENFILE, errno.EMFILE]
    reported = []
    server.listener.report_full = lambda *report: reported.append(report)
    server.may_answer.send()

    def accept_or_fail():
        if failures:
            raise OSError(failures.pop(), "no descriptor left")
        return accept()

    server.listener.sock.accept = accept_or_fail
    with socket.create_connection(server.address, timeout=5) as sock:
        sock.sendall(REQUEST)
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    assert not failures
    assert len(reported) == 3 and reported[0][0] == 0


def test_listener_at_its_limit_closes_idle_connections_for_new_ones(server):
    """Guards against idle callers that keep others from being accepted."""
    server.may_answer.send()
    reported = []
    server.listener.report_full = lambda *report: reported.append(report)
    sockets = []
    for _ in range(MAX_CONNECTIONS + 2):
        sock = socket.create_connection(server.address, timeout=2)
        sockets.append(sock)
        sock.sendall(REQUEST)
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    assert reported[0][0] == MAX_CONNECTIONS
    for sock in sockets:
        sock.close()


def test_idle_caller_that_never_closes_does_not_delay_close(server):
    with socket.create_connection(server.address, timeout=5):
        server.wait_for_connection()
        with eventlet.Timeout(listeners.LINGER_SECONDS + 1.0):
            listeners.close(server.listener, CLOSING)


def test_address_in_use_raises(server):
    with pytest.raises(OSError):
        listeners.listen(f"127.0.0.1:{server.address[1]}")

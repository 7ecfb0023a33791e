"""Answers whose bodies are malformed or cut, from a scripted upstream to their callers.

Guards against answers that end within the size of a chunk and reach callers as whole,
and against sizes that only a lenient reader understands.
"""

from contextlib import nullcontext

import pytest

from trefoilpin.dialects import DEFAULT
from trefoilpin.tests.drawn_bodies import ENDLESS_BODIES, MALFORMED_BODIES
from trefoilpin.tests.scripted_upstreams import (
    MAX_BUFFERED,
    create_exchange,
    create_forwarders,
)
from trefoilpin.verdicts import Reason, Verdict

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Sizes have eight digits (RFC 9112, section 7.1: chunk-size = 1*HEXDIG).
CHUNKS = b"00000004\r\nwhol\r\n00000004\r\ne!!!\r\n00000000;a=b\r\nX-Sum: 1\r\n\r\n"
BODY = b"whole!!!"


def send_and_end(answer):
    """Return the step of an upstream that ends the connection behind an answer."""
    return lambda sock: (sock.sendall(answer), sock.shutdown(1))


def assert_dropped(attempt):
    assert attempt.answer is None
    assert attempt.verdict is Verdict.MAY_HAVE_RUN
    assert attempt.reason is Reason.UPSTREAM_BROKEN
    # It counts as a failure of the upstream.
    assert attempt.broke_connection


def test_a_whole_answer_in_chunks_keeps_its_connection(upstream):
    upstream.steps = [CHUNKED_HEAD + CHUNKS] * 2
    assert upstream.call("POST").answer.body == BODY
    assert upstream.call("POST").answer.body == BODY
    assert upstream.connections == 1


@pytest.mark.parametrize("allows_unframed", [False, True])
def test_an_answer_that_is_cut_anywhere_is_dropped(upstream, allows_unframed):
    exchange = create_exchange(DEFAULT._replace(allows_unframed=allows_unframed))
    for end in range(len(CHUNKS)):
        upstream.steps = [send_and_end(CHUNKED_HEAD + CHUNKS[:end])]
        assert_dropped(upstream.call("POST", exchange=exchange))


@pytest.mark.parametrize("name", [*MALFORMED_BODIES, *ENDLESS_BODIES])
def test_a_malformed_answer_is_dropped(upstream, name):
    wire = (MALFORMED_BODIES | ENDLESS_BODIES)[name]
    upstream.steps = [send_and_end(CHUNKED_HEAD + wire)]
    assert_dropped(upstream.call("POST"))


@pytest.mark.parametrize("name", MALFORMED_BODIES)
def test_a_malformed_answer_breaks_off_where_it_is_streamed(upstream, name):
    begun = b"%x\r\n" % (2 * MAX_BUFFERED) + b"x" * 2 * MAX_BUFFERED + b"\r\n"
    upstream.steps = [send_and_end(CHUNKED_HEAD + begun + MALFORMED_BODIES[name])]
    answer = upstream.call("POST").answer
    with pytest.raises(OSError):
        list(answer.rest)


@pytest.mark.parametrize(
    "rest, is_failure",
    [(b"-1\r\nabc", True), (b"5\r\nab", True), (b"2\r\nab\r\n0\r\n\r\n", False)],
)
def test_an_answer_that_breaks_off_on_its_way_is_a_failure(upstream, rest, is_failure):
    """Guards against an upstream that counts as good by the heads of its answers."""
    service = create_forwarders(DEFAULT)
    failed = []
    service.on_broken_answer(failed.append)
    begun = b"%x\r\n" % (2 * MAX_BUFFERED) + b"x" * 2 * MAX_BUFFERED + b"\r\n"
    upstream.steps = [send_and_end(CHUNKED_HEAD + begun + rest)]
    answer = upstream.call("POST", exchange=service.exchange).answer
    with nullcontext() if not is_failure else pytest.raises(OSError):
        list(answer.rest)
    assert failed == (["u1"] if is_failure else [])


def test_an_answer_that_is_late_or_left_is_no_failure_on_its_way(upstream):
    """A slow caller may hold up either of them."""
    service = create_forwarders(DEFAULT)
    failed = []
    service.on_broken_answer(failed.append)
    begun = CHUNKED_HEAD + b"%x\r\n" % (3 * MAX_BUFFERED) + b"x" * 2 * MAX_BUFFERED
    upstream.steps = [begun] * 2
    answer = upstream.call("POST", exchange=service.exchange, seconds=0.5).answer
    with pytest.raises(OSError):
        list(answer.rest)
    upstream.call("POST", exchange=service.exchange).answer.rest.close()
    assert failed == []


@pytest.mark.parametrize(
    "length", ["-1", "+2", "0x2", "2_0", "2, 2", "9" * 19, "9" * 5000, "2 2", ""]
)
def test_an_answer_of_a_malformed_length_is_dropped(upstream, length):
    """Guards against lengths that are taken for none, so that the end delimits."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
    exchange = create_exchange(DEFAULT._replace(allows_unframed=True))
    upstream.steps = [send_and_end(head.encode() + b"ok")]
    assert_dropped(upstream.call("POST", exchange=exchange))


@pytest.mark.parametrize("method, status", [("HEAD", 200), ("GET", 204), ("GET", 304)])
def test_answers_that_have_no_body_keep_their_connection(upstream, method, status):
    """Guards against chunks that are awaited where an answer can't have any."""
    head = f"HTTP/1.1 {status} OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    upstream.steps = [head.encode()] * 2
    assert upstream.call(method).answer.body == b""
    assert upstream.call(method).answer.body == b""
    assert upstream.connections == 1


@pytest.mark.parametrize(
    "line",
    [
        b"X-Odd: a\x00b\r\n",
        b"X-Odd: a\x01b\r\n",
        b"X-Odd: a\x7fb\r\n",
        b"X-Odd: a\rContent-Length: 1\r\n",
        b"X-Odd: a\n",
        b"X-Odd: a\r\n folded\r\n",
        b"X-Odd: a\r\n\tContent-Length: 1\r\n",
        b" X-Odd: a\r\n",
        b"X-Odd : a\r\n",
        b"X Odd: a\r\n",
        b"X(Odd): a\r\n",
        b"X\xe9: a\r\n",
        b": a\r\n",
        b"X-Odd\r\n",
    ],
)
@pytest.mark.parametrize("is_first", [True, False])
def test_an_answer_of_a_malformed_head_is_dropped(upstream, line, is_first):
    """Guards against heads in which a caller's reader sees other headers."""
    length = b"Content-Length: 2\r\n"
    lines = line + length if is_first else length + line
    upstream.steps = [send_and_end(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\nok")]
    assert_dropped(upstream.call("POST"))


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 200 OK\n",
        b"HTTP/1.1 200 O\x00K\r\n",
        b"HTTP/1.1 200 O\rK\r\n",
        b"HTTP/1.1  200 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"http/1.1 200 OK\r\n",
        b"\r\nHTTP/1.1 200 OK\r\n",
    ],
)
def test_an_answer_of_a_malformed_status_line_is_dropped(upstream, status_line):
    upstream.steps = [send_and_end(status_line + b"Content-Length: 2\r\n\r\nok")]
    assert_dropped(upstream.call("POST"))


@pytest.mark.parametrize("reason", [b" OK", b" ", b"", b" Tr\xe8s bien\t!"])
def test_an_answer_of_an_unusual_head_is_whole(upstream, reason):
    head = b"HTTP/1.1 200" + reason + b"\r\nX:\r\nX-Odd:\t\xe9a  \r\n"
    upstream.steps = [head + b"Content-Length:2 \r\n\r\nok"]
    assert upstream.call("POST").answer.body == b"ok"

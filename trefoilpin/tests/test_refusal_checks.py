"""Refusals that are true, copied or in doubt, over real sockets."""

import eventlet
import pytest

from trefoilpin.tests.scripted_upstreams import (
    COMPLETE,
    COMPLETE_WITH_ID,
    DECOY_DIALECT,
    MAX_BUFFERED,
    create_exchange,
)
from trefoilpin.verdicts import Verdict

UNNAMED_REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Shed: not-run\r\nContent-Length: 0\r\n\r\n"


def test_copy_of_an_earlier_refusal_is_not_the_answer_to_a_later_write(upstream):
    """The copy arrives after the next request was written."""
    upstream.steps = [UNNAMED_REFUSAL, UNNAMED_REFUSAL + COMPLETE, COMPLETE]
    assert upstream.call("POST").verdict is Verdict.NOT_RUN
    upstream.steps = [COMPLETE]
    assert upstream.call("POST").verdict is Verdict.RAN
    assert upstream.connections == 2


def test_connection_with_an_unnamed_refusal_is_kept_for_repeatable_requests(upstream):
    upstream.steps = [UNNAMED_REFUSAL, COMPLETE, COMPLETE]
    assert upstream.call().verdict is Verdict.NOT_RUN
    assert upstream.call("POST").verdict is Verdict.RAN
    assert upstream.connections == 2
    assert upstream.call().verdict is Verdict.RAN
    assert upstream.connections == 2


CLOSING_REFUSAL = UNNAMED_REFUSAL.replace(b"X-Shed", b"Connection: close\r\nX-Shed")


def is_decoy(request):
    return b"x-expected: none" in request


@pytest.mark.parametrize("copy", [UNNAMED_REFUSAL, CLOSING_REFUSAL])
@pytest.mark.parametrize("delay", [0.0, 0.1])
def test_copied_refusal_on_a_kept_connection_is_not_the_answer(
    kept_upstream, copy, delay
):
    """Guards against writes that run twice, or are refused though they ran (case 6)."""

    def copy_then_answer(sock):
        sock.sendall(copy)
        eventlet.sleep(delay)
        sock.sendall(COMPLETE_WITH_ID)

    kept_upstream.steps = [copy_then_answer, UNNAMED_REFUSAL, COMPLETE_WITH_ID]
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.RAN and attempt.answer.body == b"ok"
    eventlet.sleep(0.05)
    assert kept_upstream.call("POST", exchange=kept_upstream.exchange).answer
    writes = [item for item in kept_upstream.received if not is_decoy(item)]
    assert len(writes) == 3 and kept_upstream.connections == 2


def test_connection_with_an_answer_to_a_decoy_under_way_is_not_kept(kept_upstream):
    """Guards against the decoy's answer to the next request; the answer is streamed."""
    body = b"x" * (MAX_BUFFERED + 1)
    own = COMPLETE_WITH_ID.replace(b"Length: 2", b"Length: %d" % len(body))

    def copy_then_answer(sock):
        sock.sendall(UNNAMED_REFUSAL + own[:-2] + body)

    def refuse_late(sock):
        eventlet.sleep(0.1)
        sock.sendall(UNNAMED_REFUSAL)

    kept_upstream.steps = [copy_then_answer, refuse_late]
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.answer.body + b"".join(attempt.answer.rest) == body
    kept_upstream.steps = [refuse_late, COMPLETE_WITH_ID]
    assert kept_upstream.call("POST", exchange=kept_upstream.exchange).answer.body
    assert kept_upstream.connections == 2


def test_true_refusal_on_a_kept_connection_is_confirmed_by_decoys(kept_upstream):
    kept_upstream.steps = [UNNAMED_REFUSAL] * 3 + [COMPLETE_WITH_ID]
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.NOT_RUN and attempt.shed
    assert kept_upstream.call("POST", exchange=kept_upstream.exchange).answer
    assert [is_decoy(item) for item in kept_upstream.received] == [0, 0, 1, 1, 0]
    assert kept_upstream.connections == 1


def test_refusal_that_nothing_can_verify_may_have_run(upstream):
    """Guards against copies on kept connections where there are no decoys."""
    upstream.steps = [COMPLETE, UNNAMED_REFUSAL + COMPLETE]
    assert upstream.call("POST").verdict is Verdict.RAN
    attempt = upstream.call("POST")
    assert attempt.verdict is Verdict.MAY_HAVE_RUN and not attempt.broke_connection
    assert attempt.may_be_shed and not attempt.shed
    assert upstream.connections == 1


def test_refusal_behind_a_stray_answer_is_verified_on_a_new_connection(upstream):
    stray = COMPLETE_WITH_ID.replace(b"r1", b"r0")
    upstream.steps = [stray + UNNAMED_REFUSAL + COMPLETE_WITH_ID]
    attempt = upstream.call("POST", exchange=create_exchange(DECOY_DIALECT))
    assert attempt.verdict is Verdict.RAN and attempt.answer.body == b"ok"


OTHERS_REFUSAL = UNNAMED_REFUSAL.replace(b"X-Shed", b"X-Request-Id: r0\r\nX-Shed")


@pytest.mark.parametrize(
    "copies",
    [
        UNNAMED_REFUSAL * 2,
        UNNAMED_REFUSAL + OTHERS_REFUSAL * 3,
        CLOSING_REFUSAL + UNNAMED_REFUSAL * 2,
    ],
)
def test_several_copied_refusals_in_a_row_are_not_the_answer(kept_upstream, copies):
    """Guards against copies that are taken for the answers to decoys."""
    kept_upstream.steps = [copies + COMPLETE_WITH_ID]
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.RAN and attempt.answer.body == b"ok"


ENDING = COMPLETE_WITH_ID.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")


@pytest.mark.parametrize(
    "sent",
    [CLOSING_REFUSAL, UNNAMED_REFUSAL.replace(b"Content-Length: 0\r\n", b"") + ENDING],
)
def test_end_behind_a_refusal_on_a_kept_connection_confirms_nothing(
    kept_upstream, sent
):
    """Guards against a copy that closes, or has no length, before the upstream ends.

    The upstream may have begun to run the request, or its answer passes for the body.
    """

    def send_and_close(sock):
        sock.sendall(sent)
        sock.close()

    kept_upstream.exchange = create_exchange(
        DECOY_DIALECT._replace(allows_unframed=True)
    )
    kept_upstream.steps = [COMPLETE_WITH_ID, send_and_close, send_and_close]
    kept_upstream.call("POST", exchange=kept_upstream.exchange)
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.MAY_HAVE_RUN and attempt.answer is None
    assert not attempt.broke_connection
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("following", [None, COMPLETE, b"odd\r\n\r\n"])
@pytest.mark.parametrize("refusals", [1, 2])
def test_refusal_that_stays_in_doubt_may_have_run(kept_upstream, following, refusals):
    kept_upstream.steps = [UNNAMED_REFUSAL] * refusals + [following]
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.MAY_HAVE_RUN and attempt.answer is None


def test_connection_that_an_early_answer_closes_is_not_used_again(upstream):
    """Guards against a request over a connection on which no answer is read."""
    early = b"HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n"
    upstream.steps = [early + COMPLETE]
    assert upstream.call("POST").verdict is Verdict.RAN
    assert upstream.call("POST").verdict is Verdict.RAN
    assert upstream.connections == 2


def test_nothing_is_sent_over_a_connection_that_the_library_opens(kept_upstream):
    """Guards against decoys on another connection than the request's."""
    stray = COMPLETE.replace(
        b"OK\r\n", b"OK\r\nX-Request-Id: r0\r\nConnection: close\r\n"
    )
    kept_upstream.steps = [stray + UNNAMED_REFUSAL]
    attempt = kept_upstream.call("POST", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.MAY_HAVE_RUN and attempt.answer is None
    eventlet.sleep(0.05)
    assert kept_upstream.connections == 1


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_of_a_refusal_without_its_statement_may_have_run(upstream, status):
    """Guards against a promise to the caller of a request that ran."""
    answer = b"HTTP/1.1 %d Odd\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
    upstream.steps = [answer % status] * 2
    exchange = create_exchange(
        DECOY_DIALECT._replace(promise_statuses=frozenset((408, 429, 503)))
    )
    attempt = upstream.call("POST", exchange=exchange)
    assert attempt.verdict is Verdict.MAY_HAVE_RUN and attempt.answer is None
    assert not attempt.broke_connection
    assert upstream.call(exchange=exchange).answer.status == status


def test_no_decoy_is_sent_where_a_refusal_is_in_no_doubt(kept_upstream):
    """A first answer on a connection, and requests that may run again."""
    kept_upstream.steps = [UNNAMED_REFUSAL, UNNAMED_REFUSAL]
    fresh = create_exchange(DECOY_DIALECT)
    assert kept_upstream.call("POST", exchange=fresh).verdict is Verdict.NOT_RUN
    attempt = kept_upstream.call("GET", exchange=kept_upstream.exchange)
    assert attempt.verdict is Verdict.NOT_RUN
    assert not any(map(is_decoy, kept_upstream.received))


def test_named_refusal_keeps_its_connection(upstream):
    named = UNNAMED_REFUSAL.replace(b"X-Shed", b"X-Request-Id: r1\r\nX-Shed")
    upstream.steps = [named, COMPLETE_WITH_ID]
    assert upstream.call("POST").verdict is Verdict.NOT_RUN
    assert upstream.call("POST").verdict is Verdict.RAN
    assert upstream.connections == 1


def test_upstream_that_bears_few_requests_gets_no_decoys(kept_upstream):
    """Guards against requests to cold upstreams that no host granted (issue 47)."""
    kept_upstream.steps = [UNNAMED_REFUSAL] * 3
    attempt = kept_upstream.call(
        "POST", exchange=kept_upstream.exchange, allows_decoys=False
    )
    assert attempt.verdict is Verdict.MAY_HAVE_RUN
    assert not any(map(is_decoy, kept_upstream.received))

"""What the headers of a message say about its body."""

import pytest
from returns.result import Failure, Success

from trefoilpin.framings import Framing, read_answer_framing, read_framing

CHUNKED = ("transfer-encoding", "chunked")


def length(value):
    return ("content-length", value)


@pytest.mark.parametrize(
    "headers, framing",
    [
        ((), Framing(False, None)),
        ((length("0"),), Framing(False, 0)),
        ((length("0005"),), Framing(False, 5)),
        ((length(" 5\t"),), Framing(False, 5)),
        ((length("5"), length("5")), Framing(False, 5)),
        ((length("9" * 18),), Framing(False, 10**18 - 1)),
        ((length("0" * 5000 + "5"),), Framing(False, 5)),
        ((CHUNKED,), Framing(True, None)),
        ((("transfer-encoding", "Chunked"),), Framing(True, None)),
    ],
)
def test_a_framing_is_read(headers, framing):
    assert read_framing(headers, (1, 1)) == Success(framing)


@pytest.mark.parametrize(
    "headers",
    [
        (length("-1"),),
        (length("+5"),),
        (length("0x5"),),
        (length("5_0"),),
        (length("5 0"),),
        (length("5, 5"),),
        (length("5.0"),),
        (length("\u0665"),),
        (length("\xb2"),),
        (length(""),),
        (length("9" * 19),),
        (length("9" * 5000),),
        (length("5"), length("6")),
        (length("5"), length("05")),
        (length("5"), CHUNKED),
        (CHUNKED, CHUNKED),
        (("transfer-encoding", "gzip, chunked"),),
        (("transfer-encoding", "chunked, gzip"),),
        (("transfer-encoding", "x-chunked"),),
        (("transfer-encoding", ""),),
    ],
)
def test_ambiguous_or_malformed_framings_are_refused(headers):
    """Guards against lengths that two readers of a message read differently."""
    assert isinstance(read_framing(headers, (1, 1)), Failure)
    assert isinstance(read_answer_framing("GET", 200, headers, (1, 1)), Failure)
    assert isinstance(read_answer_framing("HEAD", 200, headers, (1, 1)), Failure)


def test_a_version_without_chunks_has_none():
    assert isinstance(read_framing((CHUNKED,), (1, 0)), Failure)


@pytest.mark.parametrize("headers", [(), (length("500"),), (CHUNKED,)])
@pytest.mark.parametrize(
    "method, status", [("HEAD", 200), ("GET", 204), ("GET", 304), ("POST", 103)]
)
def test_answers_without_a_body_have_none(method, status, headers):
    framing = read_answer_framing(method, status, headers, (1, 1))
    assert framing == Success(Framing(False, 0))

"""What two readers could understand in two ways is refused."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import headers
from trefoilpin.verdicts import Verdict

GOOD = (("host", "a"),)


@pytest.mark.parametrize(
    "method, target, fields",
    [
        ("GET", "/a", (("content-length", "1"), ("transfer-encoding", "chunked"))),
        ("GET", "/a", (("content-length", "1"), ("content-length", "2"))),
        ("GET", "/a", (("content-length", "+1"),)),
        ("GET", "/a", (("content-length", "1_0"),)),
        ("GET", "/a", (("content-length", "²"),)),
        ("GET", "/a", (("transfer-encoding", "gzip, chunked"),)),
        ("GET", "/a", (("transfer-encoding", "chunked"),) * 2),
        ("GET", "/a", (("host", "a"), ("host", "b"))),
        ("GET", "/a", (("x", "1\r\n 2"),)),
        ("GET", "/a", (("x", "1\x00"),)),
        ("GET", "/a", (("x y", "1"),)),
        ("GET", "http://b/a", GOOD),
        ("GET", "/a\x7f", GOOD),
        ("GET", "/é", GOOD),
        ("GET", "/open/../ponds", GOOD),
        ("GET", "/open/%2e%2E/ponds", GOOD),
        ("GET", "/open/..%2fponds", GOOD),
        ("GET", "/open/..\\ponds", GOOD),
        ("GET", "/open/%0d%0a", GOOD),
        ("CONNECT", "/a", GOOD),
        ("G,ET", "/a", GOOD),
    ],
)
def test_ambiguous_requests_are_refused(method, target, fields):
    refusal = headers.find_fault(method, target, fields, ())
    assert refusal is not None
    assert refusal.verdict is Verdict.NOT_RUN


def test_plain_requests_pass():
    fields = (("host", "a"), ("content-length", "3"), ("x", "a\tb é"))
    for target in ("/", "/a.b/..c?q=../%00", "/a%20b"):
        assert headers.find_fault("POST", target, fields, ()) is None
    assert headers.find_fault("GET", "/", GOOD, ("a defect",)) is not None


TOKENS = st.sampled_from(("close", "x-a", "x-b", "keep-alive", "x-c"))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(TOKENS), st.lists(TOKENS))
def test_no_named_header_survives(named, present):
    fields = [("connection", ", ".join(named).upper())]
    fields += [(name, "1") for name in present]
    kept = [name for name, _ in headers.drop_hop_by_hop(fields)]
    expected = [name for name in present if name not in named and name != "keep-alive"]
    assert kept == expected

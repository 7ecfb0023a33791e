"""A short soak with fixed seeds; the checks themselves on made-up evidence."""

import pathlib
import subprocess
import sys

import eventlet
import pytest
from stand_ins import Execution, start_upstream

from soak import checks
from soak.callers import Sent
from soak.environments import Account, Change
from soak.faults import Span
from soak.hosts import Life

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS = "101,102"
SECONDS = "6"
HOSTS = "4"
LIMIT_SECONDS = 120


def test_a_short_soak_keeps_every_promise():
    command = [sys.executable, "-m", "soak", "--seeds", SEEDS]
    command += ["--seconds", SECONDS, "--hosts", HOSTS]
    found = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_SECONDS
    )
    assert found.returncode == 0, found.stdout


def ran(name, at=10.0, method="POST", upstream="u1", **headers):
    prefix = "/write/" if method == "POST" else "/read/"
    known = {"trefoilpin-request-id": name, "trefoilpin-tenant": "plain"}
    known.update({key.replace("_", "-"): value for key, value in headers.items()})
    body = name.encode() if method == "POST" else b""
    return Execution(method, prefix + name, known, body, at, upstream)


def sent(name, at=9.9, status=200, account="plain", **fields):
    row = Sent(
        name, at, at + 0.2, "h1", account, "/write/", status, True, False, True, 1
    )
    return row._replace(**fields)


def evidence(records=(), executions=(), **fields):
    row = checks.Evidence(
        list(records),
        list(executions),
        [],
        [],
        {"h1": [Life(0.0, None, "")]},
        {"u1": "a"},
        {"u1": "first"},
        [Account("plain", "k"), Account("limited", "l", 10, 10)],
        [],
    )
    return row._replace(**fields)


BROKEN_BY_PROMISE = {
    "answers": evidence([sent("a", is_right=False)], [ran("a")]),
    "once": evidence([sent("a")], [ran("a"), ran("a", upstream="u1")]),
    "not_run": evidence([sent("a", status=503, is_not_run=True)], [ran("a")]),
    "unchanged": evidence([sent("a")], [ran("a", authorization="Bearer k")]),
    "pools": evidence(
        [sent("a", 20.0)],
        [ran("a", 20.1)],
        changes=[Change(5.0, "route_moved", "/write/ second")],
    ),
    "keys": evidence(
        [sent("a", 20.0)],
        [ran("a", 20.1)],
        changes=[Change(5.0, "key_withdrawn", "plain")],
    ),
    "drains": evidence(
        [sent("a", 20.0)], [ran("a", 20.1)], changes=[Change(5.0, "draining", "u1")]
    ),
    "rates": evidence(
        [],
        [ran(f"a{n}", 10 + n / 100, trefoilpin_tenant="limited") for n in range(120)],
    ),
    "stops": evidence(
        [sent("a", 20.0, status=0)],
        [ran("a", 20.1)],
        spans=[Span("stop", ("h1",), 19.0, 25.0)],
    ),
    "recovery": evidence(
        [sent(f"a{n}", 30 + n, status=503) for n in range(9)], all_started_at=[10.0]
    ),
}


def test_every_check_has_evidence_that_breaks_it():
    names = {check.__name__.removeprefix("check_") for check in checks.CHECKS}
    assert names == set(BROKEN_BY_PROMISE)


@pytest.mark.parametrize("promise", sorted(BROKEN_BY_PROMISE))
def test_a_broken_promise_is_found(promise):
    found = checks.check_all(BROKEN_BY_PROMISE[promise])
    assert any(sentence.startswith(promise) for sentence in found)


def test_a_process_that_ends_by_itself_is_found():
    lives = {"h1": [Life(0.0, 5.0, "itself, with 1")]}
    assert checks.check_all(evidence(lives_by_ip=lives))


def test_what_keeps_the_promises_is_not_found_fault_with():
    calm = evidence([sent("a"), sent("b", status=429, is_not_run=True)], [ran("a")])
    assert checks.check_all(calm) == []


def test_an_upstream_that_is_left_half_way_through_a_body_stops_reading():
    upstream = start_upstream("u")
    host, _, port = upstream.address.partition(":")
    with eventlet.connect((host, int(port))) as sock:
        sock.sendall(b"POST /write/a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
    with eventlet.Timeout(5):
        eventlet.sleep(0.2)
    assert upstream.executions == []

"""A short soak with fixed seeds, and the checks on constructed observations."""

import pathlib
import subprocess
import sys

import eventlet
import pytest
from stand_ins import Execution, start_upstream

from soak import checks
from soak.callers import RequestRecord
from soak.environments import Account, Change
from soak.faults import Disturbance
from soak.hosts import ProcessRun

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEEDS = "101,102"
SECONDS = "6"
HOST_COUNT = "4"
TIMEOUT_SECONDS = 120


@pytest.fixture(scope="module")
def short_soak():
    command = [sys.executable, "-m", "soak", "--seeds", SEEDS]
    command += ["--seconds", SECONDS, "--hosts", HOST_COUNT]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_SECONDS
    )


def test_a_short_soak_violates_no_invariant(short_soak):
    broken = []
    for line in short_soak.stdout.splitlines():
        if line.startswith("  ") and not line.startswith(("  cold: ", "  faults: ")):
            broken.append(line)
    assert not broken, short_soak.stdout
    assert short_soak.stdout.count("logs in") == 2, short_soak.stderr


def test_a_short_soak_floods_no_cold_upstream(short_soak):
    assert short_soak.returncode == 0, short_soak.stdout


def build_execution(name, started_at=10.0, method="POST", upstream="u1", **headers):
    prefix = "/write/" if method == "POST" else "/read/"
    header_by_name = {"trefoilpin-request-id": name, "trefoilpin-tenant": "plain"}
    header_by_name.update(
        {key.replace("_", "-"): value for key, value in headers.items()}
    )
    body = name.encode() if method == "POST" else b""
    return Execution(method, prefix + name, header_by_name, body, started_at, upstream)


def build_record(name, sent_at=9.9, status=200, account="plain", **fields):
    record = RequestRecord(
        name,
        sent_at,
        sent_at + 0.2,
        "h1",
        account,
        "/write/",
        status,
        True,
        False,
        True,
        1,
    )
    return record._replace(**fields)


def build_observations(records=(), executions=(), **fields):
    observations = checks.Observations(
        list(records),
        list(executions),
        [],
        [],
        [],
        {"h1": [ProcessRun(0.0, None, "")]},
        {"u1": "a"},
        {"u1": "first"},
        [Account("plain", "k"), Account("limited", "l", 10, 10)],
        [],
    )
    return observations._replace(**fields)


VIOLATION_BY_CHECK = {
    "answers": build_observations(
        [build_record("a", is_correct=False)], [build_execution("a")]
    ),
    "once": build_observations(
        [build_record("a")], [build_execution("a"), build_execution("a", upstream="u1")]
    ),
    "not_run": build_observations(
        [build_record("a", status=503, is_not_run=True)], [build_execution("a")]
    ),
    "unchanged": build_observations(
        [build_record("a")], [build_execution("a", authorization="Bearer k")]
    ),
    "pools": build_observations(
        [build_record("a", 20.0)],
        [build_execution("a", 20.1)],
        changes=[Change(5.0, "route_moved", "/write/ second")],
    ),
    "keys": build_observations(
        [build_record("a", 20.0)],
        [build_execution("a", 20.1)],
        changes=[Change(5.0, "key_withdrawn", "plain")],
    ),
    "drains": build_observations(
        [build_record("a", 20.0)],
        [build_execution("a", 20.1)],
        changes=[Change(5.0, "draining", "u1")],
    ),
    "rates": build_observations(
        [],
        [
            build_execution(f"a{n}", 10 + n / 100, trefoilpin_tenant="limited")
            for n in range(120)
        ],
    ),
    "cold": build_observations(
        [build_record(f"a{n}", 12.0) for n in range(15)],
        [build_execution(f"a{n}", 12.1 + n / 100) for n in range(15)],
        changes=[Change(10.0, "turned_cold", "u1 4.0")],
    ),
    "stops": build_observations(
        [build_record("a", 20.0, status=0)],
        [build_execution("a", 20.1)],
        disturbances=[Disturbance("stop", ("h1",), 19.0, 25.0)],
    ),
    "recovery": build_observations(
        [build_record(f"a{n}", 30 + n, status=503) for n in range(9)],
        full_restart_times=[10.0],
    ),
}


def test_every_check_has_a_violation():
    names = {check.__name__.removeprefix("check_") for check in checks.CHECKS}
    assert names == set(VIOLATION_BY_CHECK)


@pytest.mark.parametrize("check_name", sorted(VIOLATION_BY_CHECK))
def test_a_violation_is_reported(check_name):
    result = checks.check_all(VIOLATION_BY_CHECK[check_name])
    assert any(violation.startswith(check_name) for violation in result)


def test_a_process_that_exits_by_itself_is_reported():
    process_runs = {"h1": [ProcessRun(0.0, 5.0, "itself, with 1")]}
    assert checks.check_all(build_observations(process_runs_by_ip=process_runs))


def test_valid_observations_are_not_reported():
    observations = build_observations(
        [build_record("a"), build_record("b", status=429, is_not_run=True)],
        [build_execution("a")],
    )
    assert checks.check_all(observations) == []


def test_an_upstream_stops_reading_when_the_client_leaves_within_a_body():
    upstream = start_upstream("u")
    host, _, port = upstream.address.partition(":")
    with eventlet.connect((host, int(port))) as sock:
        sock.sendall(b"POST /write/a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
    with eventlet.Timeout(5):
        eventlet.sleep(0.2)
    assert upstream.executions == []

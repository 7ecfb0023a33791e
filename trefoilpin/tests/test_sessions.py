"""Golden files of whole sessions: requests, answers and log lines."""

import pytest

from trefoilpin import keys
from trefoilpin.records import (
    AvailabilityZone,
    ClientAccount,
    Key,
    ObjectChange,
    Pool,
    Route,
    Upstream,
)
from trefoilpin.tests import sessions


@pytest.fixture
def session():
    session = sessions.Session(seed=1)
    sessions.start_store(session)
    yield session
    sessions.stop(session)


@pytest.fixture
def rewrite(request):
    return request.config.getoption("--rewrite-golden")


def base_changes(upstreams):
    records = (
        ("zone", AvailabilityZone("a", "default")),
        ("pool", Pool("ledger", upstreams, 0)),
        ("account", ClientAccount("hielo", 100.0, 100.0)),
        ("key", Key("k1", "hielo", "00ff", keys.digest_secret("00ff", "secret"))),
        ("route", Route("read", "", "/ponds", ("GET",), "ledger")),
    )
    return tuple(ObjectChange(kind, record.id, record) for kind, record in records)


def test_first_ticket_and_requests(session, rewrite):
    address = sessions.start_upstream(session, "u1")
    host = sessions.start_host(session)
    caller = host["host.caller_address"]
    good = {"Authorization": "Bearer k1.secret"}
    sessions.submit(session, host, 1, base_changes((Upstream("u1", address, "a", 6),)))
    sessions.call(session, caller, "GET", "/ponds/1?day=2", good)
    sessions.call(session, caller, "GET", "/ponds/1", {"X-Api-Key": "k1.wrong"})
    sessions.call(session, caller, "GET", "/nowhere", good)
    sessions.call(session, caller, "POST", "/ponds/1", good, b"{}")
    session.upstream_states["u1"].faults = {"error_share": 1.0}
    sessions.call(session, caller, "GET", "/ponds/1", good)
    sessions.submit(session, host, 1, base_changes((Upstream("u2", address, "a", 6),)))
    sessions.compare(session, "first_ticket_and_requests", rewrite)

"""Requests, answers and log lines of whole sessions, compared with golden files."""

import re

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

VALID_KEY = {"Authorization": "Bearer k1.secret"}
# Log lines of concurrent tasks (store, membership, limits, slow start) vary in order.
CONCURRENT_LINES = re.compile("TIME E(20|3|5|6)")


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
    sessions.wait_for_line(session, " units_moved ")
    sessions.submit(session, host, 1, base_changes((Upstream("u1", address, "a", 6),)))
    sessions.call(session, caller, "GET", "/ponds/1?day=2", VALID_KEY)
    sessions.call(session, caller, "GET", "/ponds/1", {"X-Api-Key": "k1.wrong"})
    sessions.call(session, caller, "GET", "/nowhere", VALID_KEY)
    sessions.call(session, caller, "POST", "/ponds/1", VALID_KEY, b"{}")
    session.upstream_states["u1"].faults = {"error_share": 1.0}
    sessions.call(session, caller, "GET", "/ponds/1", VALID_KEY)
    sessions.submit(session, host, 1, base_changes((Upstream("u2", address, "a", 6),)))
    sessions.compare(session, "first_ticket_and_requests", rewrite)


def start_host_with_pool(session):
    address = sessions.start_upstream(session, "u1")
    host = sessions.start_host(session)
    sessions.submit(session, host, 1, base_changes((Upstream("u1", address, "a", 6),)))
    sessions.call(session, host["host.caller_address"], "GET", "/ponds/1", VALID_KEY)
    return host


def test_withdrawn_key_is_refused_on_an_open_connection(session, rewrite):
    host = start_host_with_pool(session)
    sessions.submit(session, host, 2, (ObjectChange("key", "k1", None),))
    sessions.call(session, host["host.caller_address"], "GET", "/ponds/1", VALID_KEY)
    assert len(session.upstream_states["u1"].runs) == 1
    sessions.compare(session, "withdrawn_key", rewrite, CONCURRENT_LINES)


def test_one_of_two_concurrent_tickets_is_accepted(session, rewrite):
    host = start_host_with_pool(session)
    first = ClientAccount("hielo", 50.0, 50.0)
    second = ClientAccount("hielo", 70.0, 70.0)
    sessions.submit(session, host, 2, (ObjectChange("account", "hielo", first, 1),))
    sessions.submit(session, host, 2, (ObjectChange("account", "hielo", second, 1),))
    sessions.submit(session, host, 2, (ObjectChange("account", "hielo", first, 1),))
    sessions.submit(session, host, 3, (ObjectChange("account", "hielo", second, 1),))
    sessions.submit(session, host, 3, (ObjectChange("account", "hielo", second, 2),))
    sessions.compare(session, "ticket_race", rewrite, CONCURRENT_LINES)


def test_zone_out_of_service_gets_no_requests(session, rewrite):
    host = start_host_with_pool(session)
    zone = AvailabilityZone("a", "default", out=True)
    sessions.submit(session, host, 2, (ObjectChange("zone", "a", zone),))
    sessions.call(session, host["host.caller_address"], "GET", "/ponds/1", VALID_KEY)
    sessions.call(session, host["host.caller_address"], "GET", "/v1/hosts", VALID_KEY)
    assert len(session.upstream_states["u1"].runs) == 1
    sessions.compare(session, "zone_out", rewrite, CONCURRENT_LINES)


def test_requests_are_served_while_the_store_is_down(session, rewrite):
    host = start_host_with_pool(session)
    session.objects.state.faults = {"down": True}
    sessions.call(session, host["host.caller_address"], "GET", "/ponds/2", VALID_KEY)
    sessions.submit(session, host, 2, (ObjectChange("key", "k1", None),))
    sessions.compare(session, "store_down", rewrite, CONCURRENT_LINES)

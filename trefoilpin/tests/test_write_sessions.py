"""Writes through two hosts with real sockets, and the transfer of a key table."""

import eventlet
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
WAIT_TIMEOUT_SECONDS = 10.0


@pytest.fixture
def session():
    session = sessions.Session(seed=1)
    sessions.start_store(session)
    yield session
    for task in session.tasks:
        task.kill()
    sessions.stop(session)


def submit_base(session, host, address):
    upstream = Upstream("u1", address, "a", 6)
    records = (
        ("zone", AvailabilityZone("a", "default")),
        ("pool", Pool("dispatcher", (upstream,), 0)),
        ("account", ClientAccount("hielo", 100.0, 100.0)),
        ("key", Key("k1", "hielo", "00ff", keys.digest_secret("00ff", "secret"))),
        ("route", Route("order", "", "/orders", (), "dispatcher", key_required=True)),
    )
    changes = [ObjectChange(kind, record.id, record) for kind, record in records]
    sessions.submit(session, host, 1, tuple(changes))


def wait_for(condition):
    with eventlet.Timeout(WAIT_TIMEOUT_SECONDS):
        while not condition():
            eventlet.sleep(0.02)


def test_writes_through_two_hosts(session):
    """Each key runs once through either host, also after the issuer's table has moved.

    The second host issues the keys; the first one holds the upstream's slots.
    """
    address = sessions.start_upstream(session, "u1")
    hosts = [sessions.start_host(session, "h1")]
    submit_base(session, hosts[0], address)

    def post(number, key, body):
        address = hosts[number]["host.caller_address"]
        headers = VALID_KEY | ({"Idempotency-Key": key} if key else {})
        answer = sessions.call(session, address, "POST", "/orders", headers, body)
        row = answer.json()
        if answer.status == 503:
            assert row["verdict"] == "not_run"
        return answer.status, row.get("reason") or row["digest"]

    def post_until_final(*write):
        """Repeat a write while it is refused with 503; return the final answer."""
        answers = [post(*write)]
        wait_for(lambda: answers[-1][0] != 503 or answers.append(post(*write)))
        return answers[-1]

    wait_for(lambda: post(0, "first", b"truck to pond 2")[0] == 200)
    hosts.append(sessions.start_host(session, "h2"))
    memberships = [kernel.find("memberships") for kernel in session.kernels]
    configurations = [kernel.find("configurations") for kernel in session.kernels]
    wait_for(lambda: all(len(found.live()) == 2 for found in memberships))
    wait_for(lambda: all(found.head() == 1 for found in configurations))
    issuer = memberships[1].own().incarnation

    for key in (f"{issuer}.1", "opaque-1"):
        wait_for(lambda: post(0, key, b"truck to pond 3")[0] == 200)
        first = post_until_final(0, key, b"truck to pond 3")
        wait_for(lambda: post(1, key, b"truck to pond 3") == first)
        assert post_until_final(1, key, b"truck to pond 4") == (
            422,
            "operation_key_reused",
        )
    assert post_until_final(1, None, b"truck to pond 5") == (
        428,
        "operation_key_required",
    )
    unknown = post_until_final(1, "0123456789abcdef.1", b"truck to pond 6")
    assert unknown == (409, "operation_uncertain")
    service = session.kernels[1].find("operations")
    assert service.hand_over(memberships[0].own())
    assert post_until_final(1, f"{issuer}.1", b"truck to pond 3")[0] == 200
    assert post_until_final(0, f"{issuer}.2", b"truck to pond 7")[0] == 200
    runs = session.upstream_states["u1"].runs
    assert [run["operation"] for run in runs] == [
        "first",
        f"{issuer}.1",
        "opaque-1",
        f"{issuer}.2",
    ]

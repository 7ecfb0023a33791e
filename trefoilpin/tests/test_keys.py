"""Authentication on hosts whose configuration is current, and on stale ones."""

import pytest
from returns.result import Success

from trefoilpin import configurations, keys
from trefoilpin.fakes import fleets
from trefoilpin.fakes.loops import LoopState, create_host_kernel
from trefoilpin.messages import CallerRequest
from trefoilpin.records import (
    ChangeTicket,
    ClientAccount,
    Host,
    Key,
    ObjectChange,
    Route,
)
from trefoilpin.verdicts import Reason, Verdict

KEYED_ROUTE = Route("keyed", "", "/", (), "pool")
OPEN_ROUTE = Route("open", "", "/open", (), "pool", open=True)


@pytest.fixture
def parts():
    kernel = create_host_kernel(LoopState(1))
    configurations.create(kernel)
    view = fleets.FleetView(Host("i", "h", "a", "r", "", ""), ())
    kernel.register("memberships", fleets.create_memberships(view))
    key = Key("k1", "hielo", "00ff", keys.digest_secret("00ff", "secret"))
    records = (("account", ClientAccount("hielo", 1.0, 1.0)), ("key", key))
    changes = tuple(ObjectChange(kind, item.id, item) for kind, item in records)
    kernel.find("configurations").apply(ChangeTicket(1, "", changes))
    return keys.create(kernel), view, kernel


def request(key_text="k1.secret"):
    headers = (("x-api-key", key_text),)
    return CallerRequest("1", "GET", "", "/", "", headers, b"", "", 0.0, bool)


def test_host_that_is_not_current_refuses_every_key(parts):
    service, view, _ = parts
    assert isinstance(service.check(KEYED_ROUTE, request()), Success)
    view.is_current = False
    for key_text in ("k1.secret", "k2.unknown"):
        refusal = service.check(KEYED_ROUTE, request(key_text)).failure()
        assert refusal.reason is Reason.NOT_CURRENT
        assert refusal.verdict is Verdict.NOT_RUN
    assert service.check(OPEN_ROUTE, request()) == Success(None)


def test_withdrawn_key_is_refused_on_the_next_request(parts):
    service, _, kernel = parts
    removal = (ObjectChange("key", "k1", None),)
    kernel.find("configurations").apply(ChangeTicket(2, "", removal))
    refusal = service.check(KEYED_ROUTE, request()).failure()
    assert refusal.reason is Reason.KEY_UNKNOWN

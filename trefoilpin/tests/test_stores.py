"""Client of the store over real sockets: rate limit, backoff and reading back."""

import random

import eventlet
import pytest

from trefoilpin import clocks, stores
from trefoilpin.fakes.loops import LoopState, movable_clock
from trefoilpin.kernel import create_kernel
from trefoilpin.services import Events, StoreOutcome
from trefoilpin.tests import sessions


class Client:
    """The store's client, connected to a fake store, with a manual clock."""

    def __init__(self, rate=1000.0, burst=1000):
        self.session = sessions.Session(1)
        sessions.start_store(self.session)
        self.state = LoopState(1)
        clock = movable_clock(self.state)
        kernel = create_kernel(clock, eventlet.spawn, random.Random(1))
        kernel.register("events", Events(lambda event, **fields: None, lambda: None))
        address = self.session.store_address
        self.store = stores.create(kernel, [address], 2.0, rate, burst)

    def calls(self):
        return sum(self.session.objects.state.calls_by_kind.values())

    def set_faults(self, **faults):
        self.session.objects.state.faults = faults


@pytest.fixture
def client():
    new_client = Client()
    yield new_client
    sessions.stop(new_client.session)


def test_object_is_read_back_after_a_lost_response(client):
    client.set_faults(lose_share=1.0)
    created = client.store.create("a/1", {"x": 1})
    assert created.unwrap().value == {"x": 1}
    client.set_faults()
    rejected = client.store.create("a/1", {"x": 2}).failure()
    assert rejected.outcome is StoreOutcome.REFUSED and rejected.conflict
    assert client.store.get("a/1").unwrap().value == {"x": 1}


def test_calls_over_the_rate_limit_wait_or_are_refused_unsent():
    client = Client(rate=1.0, burst=3)
    started_at = client.state.now
    for _ in range(5):
        client.store.list("a/")
    assert client.state.now - started_at == pytest.approx(2.0)
    sessions.stop(client.session)
    limited = Client(rate=0.1, burst=3)
    results = [limited.store.list("a/") for _ in range(9)]
    assert limited.calls() == 3
    for result in results[3:]:
        assert result.failure().outcome is StoreOutcome.REFUSED
        assert "nothing was sent" in result.failure().detail
    sessions.stop(limited.session)


def test_backoff_grows_with_consecutive_failures_and_ends_with_a_success(client):
    client.set_faults(down=True)
    sent_at = []
    while len(sent_at) < 9:
        failure = client.store.get("a").failure()
        if "nothing was sent" in failure.detail:
            client.state.now += 0.05
            continue
        assert failure.outcome is StoreOutcome.UNKNOWN
        sent_at.append(client.state.now)
    backoffs = [after - before for before, after in zip(sent_at, sent_at[1:])]
    assert backoffs[0] == 0.0
    assert backoffs[6] > 4 * backoffs[2]
    assert max(backoffs) <= stores.MAX_BACKOFF_SECONDS + 0.1
    client.state.now += stores.MAX_BACKOFF_SECONDS
    client.set_faults()
    assert client.store.get("a").failure().missing
    assert client.store.list("").unwrap() == ()


def test_malformed_response_is_an_unknown_outcome():
    def malformed(environ, start_response):
        start_response("200 OK", [])
        return [b'{"path": 1}']

    session = sessions.Session(1)
    address = sessions.listen(session, malformed)
    clock = clocks.system_clock(eventlet.sleep)
    kernel = create_kernel(clock, eventlet.spawn, random.Random(1))
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    store = stores.create(kernel, [address], 2.0, 100.0, 100)
    for result in (store.get("a"), store.list("a"), store.create("a", 1)):
        assert result.failure().outcome is StoreOutcome.UNKNOWN
    sessions.stop(session)

"""Submission of tickets, its outcomes, and malformed objects in the store."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from trefoilpin import codecs
from trefoilpin.fakes import fleets, loops
from trefoilpin.records import ChangeTicket, ClientAccount, ObjectChange
from trefoilpin.tickets import TicketOutcome, parse_number, ticket_path


class Fleet:
    """Simulated hosts that share one store."""

    def __init__(self, count):
        self.state = loops.LoopState(1)
        self.store, self.faults, self.objects = loops.create_store(self.state)
        network = loops.create_network(self.state)
        self.host_by_name = fleets.create_hosts(network, count, self.store)
        self.run(6.0)

    def run(self, seconds):
        fleets.advance(self.state, self.host_by_name, seconds)

    def find(self, name, service="tickets"):
        return self.host_by_name[name].kernel.find(service)


@pytest.fixture
def fleet():
    return Fleet(5)


def ticket(number, identifier="hielo", rate=1.0, base=None):
    account = ClientAccount(identifier, rate, 1.0)
    changes = (ObjectChange("account", identifier, account, base),)
    return ChangeTicket(number, codecs.digest_changes(changes), changes)


def test_accepted_ticket_is_known_to_a_majority(fleet):
    fleet.find("h000").submit(ticket(1)).unwrap()
    names = list(fleet.host_by_name)
    known = [fleet.find(name, "memberships").known_number() for name in names]
    assert sum(known) > len(names) / 2


def test_ticket_without_confirmation_by_a_majority_has_unknown_outcome(fleet):
    fleet.state.loss_share = 1.0
    result = fleet.find("h000").submit(ticket(1))
    assert result.failure().outcome is TicketOutcome.UNKNOWN
    fleet.state.loss_share = 0.0
    assert fleet.find("h001").submit(ticket(1)) == Success(ticket(1))


def test_host_without_a_majority_writes_no_ticket(fleet):
    fleet.state.loss_share = 1.0
    fleet.run(6.0)
    result = fleet.find("h000").submit(ticket(1))
    assert result.failure().outcome is TicketOutcome.REFUSED
    assert "nothing was sent" in result.failure().detail
    assert ticket_path(1) not in fleet.objects.state.row_by_path


def test_ticket_is_read_back_after_a_lost_response(fleet):
    calls = []

    def create_and_lose_response(path, value):
        result = fleet.store.create(path, value)
        calls.append(path)
        fleet.faults.down = True
        lost = fleet.store.create(path, value)
        fleet.faults.down = False
        assert isinstance(result, Success)
        return lost

    store = fleet.store._replace(create=create_and_lose_response)
    network = loops.create_network(fleet.state)
    kernel = fleets.create_host(network, store, "h9", "a")
    kernel.find("memberships").renew_once()
    fleet.host_by_name["h9"] = fleets.LoopHost(kernel, "peer-h9")
    fleet.run(6.0)
    assert kernel.find("tickets").submit(ticket(1)) == Success(ticket(1))


def test_unknown_outcome_becomes_refused_only_when_the_number_is_taken(fleet):
    tickets = fleet.find("h000")
    fleet.state.loss_share = 1.0
    assert tickets.submit(ticket(1)).failure().outcome is TicketOutcome.UNKNOWN
    fleet.run(6.0)
    fleet.faults.down = True
    assert tickets.submit(ticket(1)).failure().outcome is TicketOutcome.UNKNOWN
    other = tickets.submit(ticket(1, rate=2.0))
    assert other.failure().outcome is TicketOutcome.REFUSED


def test_wrong_base_or_number_is_refused(fleet):
    tickets = fleet.find("h000")
    tickets.submit(ticket(1)).unwrap()
    taken = tickets.submit(ticket(1, rate=2.0)).failure()
    assert (taken.outcome, taken.next_number) == (TicketOutcome.REFUSED, 2)
    tickets.submit(ticket(2, rate=2.0, base=1)).unwrap()
    stale = tickets.submit(ticket(3, rate=3.0, base=1)).failure()
    assert "was changed by ticket 2" in stale.detail
    skipping = tickets.submit(ticket(9)).failure()
    assert skipping.next_number == 3


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(["number", "digest", "changes", "kind", "id", "state"]),
        inner,
        max_size=4,
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(JSON)
def test_malformed_object_in_the_store_counts_as_an_empty_ticket(value):
    fleet = Fleet(3)
    fleet.objects.put(ticket_path(1), json.loads(json.dumps(value)), 0)
    fleet.objects.put("tickets/not-a-number", value, 0)
    result = fleet.find("h000").submit(ticket(2))
    assert isinstance(result, Success)
    fleet.run(4.0)
    for name in fleet.host_by_name:
        assert fleet.find(name, "configurations").head() == 2


def test_ticket_of_a_later_version_keeps_hosts_from_being_current(fleet):
    rows = [{"kind": "account", "id": "a", "state": {"id": "a", "colour": "red"}}]
    value = {"number": 1, "digest": codecs.digest_rows(rows), "changes": rows}
    fleet.objects.put(ticket_path(1), value, 0)
    fleet.run(10.0)
    for name in fleet.host_by_name:
        assert not fleet.find(name, "memberships").is_current()
    refused = fleet.find("h000").submit(ticket(2)).failure()
    assert refused.outcome is TicketOutcome.REFUSED


def test_path_and_number_round_trip():
    assert parse_number(ticket_path(7)) == 7
    for path in ("tickets/7", "tickets/x", "tickets/", "other/000000000007"):
        assert parse_number(path) is None


@settings(derandomize=True, max_examples=200, deadline=None)
@given(JSON)
def test_decoders_return_a_result_for_any_json(value):
    text = json.dumps(value)
    decoded = codecs.decode_ticket_text(text)
    assert isinstance(decoded, (Success, Failure))
    _, digest = codecs.encode_versions(())
    assert isinstance(codecs.decode_versions(text, digest), (Success, Failure))

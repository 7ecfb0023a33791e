"""Merge of tickets in any order and of snapshots, compared with a dictionary."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import codecs, configurations
from trefoilpin.fakes.loops import LoopState, create_host_kernel
from trefoilpin.records import ChangeTicket, ClientAccount, ObjectChange

CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=3
)


def create():
    return configurations.create(create_host_kernel(LoopState(1)))


def make_ticket(number, drawn_changes):
    changes = []
    for identifier, removed in dict(drawn_changes).items():
        account = ClientAccount(identifier, float(number), 1.0)
        state = None if removed else account
        changes.append(ObjectChange("account", identifier, state))
    return ChangeTicket(number, codecs.digest_changes(changes), tuple(changes))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(CHANGES, min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_tickets_merge_like_a_dictionary_in_any_order(drawn_changes, rng):
    tickets = [make_ticket(number, row) for number, row in enumerate(drawn_changes, 1)]
    state_by_id = {}
    for ticket in tickets:
        for change in ticket.changes:
            state_by_id[change.id] = change.state
    expected = {
        key: record for key, record in state_by_id.items() if record is not None
    }
    source, target = create(), create()
    for ticket in tickets[: rng.randrange(len(tickets) + 1)]:
        source.apply(ticket)
    order = tickets + rng.sample(tickets, rng.randrange(len(tickets) + 1))
    rng.shuffle(order)
    position = rng.randrange(len(order) + 1)
    seen_numbers = {}
    for ticket in order[:position]:
        target.apply(ticket)
        assert_no_revert(target, seen_numbers)
    target.restore(list(source.versions()), source.head())
    assert_no_revert(target, seen_numbers)
    for ticket in order[position:]:
        target.apply(ticket)
        assert_no_revert(target, seen_numbers)
    assert dict(target.accounts_by_id) == expected
    assert target.head() == len(tickets)


def assert_no_revert(service, seen_numbers):
    for identifier in "abc":
        number = service.last_ticket_number("account", identifier)
        assert number >= seen_numbers.get(identifier, 0)
        seen_numbers[identifier] = number


def test_removed_object_is_not_restored_by_an_earlier_ticket():
    service = create()
    service.apply(make_ticket(2, [("a", True)]))
    service.apply(make_ticket(1, [("a", False)]))
    assert dict(service.accounts_by_id) == {}
    assert service.last_ticket_number("account", "a") == 2


def test_recent_returns_none_when_a_ticket_is_no_longer_kept():
    service = create()
    for number in range(1, configurations.MAX_RECENT_TICKETS + 2):
        service.apply(make_ticket(number, [("a", False)]))
    assert service.recent(0) is None
    assert len(service.recent(1)) == configurations.MAX_RECENT_TICKETS
    assert service.recent(service.head()) == ()

"""The join of tickets against a dictionary, in any order, with snapshots between."""

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


def make_ticket(number, drawn):
    changes = []
    for identifier, removed in dict(drawn).items():
        account = ClientAccount(identifier, float(number), 1.0)
        state = None if removed else account
        changes.append(ObjectChange("account", identifier, state))
    return ChangeTicket(number, codecs.digest_changes(changes), tuple(changes))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(CHANGES, min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_same_as_a_dictionary_in_any_order(drawn, rng):
    tickets = [make_ticket(number, row) for number, row in enumerate(drawn, 1)]
    naive = {}
    for ticket in tickets:
        for change in ticket.changes:
            naive[change.id] = change.state
    expected = {key: record for key, record in naive.items() if record is not None}
    source, target = create(), create()
    for ticket in tickets[: rng.randrange(len(tickets) + 1)]:
        source.apply(ticket)
    order = tickets + rng.sample(tickets, rng.randrange(len(tickets) + 1))
    rng.shuffle(order)
    position = rng.randrange(len(order) + 1)
    seen = {}
    for ticket in order[:position]:
        target.apply(ticket)
        assert_no_revert(target, seen)
    target.restore(list(source.versions()), source.head())
    assert_no_revert(target, seen)
    for ticket in order[position:]:
        target.apply(ticket)
        assert_no_revert(target, seen)
    assert dict(target.accounts_by_id) == expected
    assert target.head() == len(tickets)


def assert_no_revert(service, seen):
    for identifier in "abc":
        number = service.last_ticket_number("account", identifier)
        assert number >= seen.get(identifier, 0)
        seen[identifier] = number


def test_a_removed_object_does_not_come_back():
    service = create()
    service.apply(make_ticket(2, [("a", True)]))
    service.apply(make_ticket(1, [("a", False)]))
    assert dict(service.accounts_by_id) == {}
    assert service.last_ticket_number("account", "a") == 2


def test_recent_tickets_end_where_they_are_no_longer_kept():
    service = create()
    for number in range(1, configurations.KEPT_TICKETS + 2):
        service.apply(make_ticket(number, [("a", False)]))
    assert service.recent(0) is None
    assert len(service.recent(1)) == configurations.KEPT_TICKETS
    assert service.recent(service.head()) == ()

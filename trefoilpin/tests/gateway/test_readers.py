"""Who reads the store, and what outages, forgeries and lost history come to."""

import pytest
from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.fakes.gateways import create_host, named
from trefoilpin.gateway import documents
from trefoilpin.gateway import knowledge as knowledge_module
from trefoilpin.gateway import readers
from trefoilpin.gateway.knowledge import CONFIGURATION, UPSTREAMS
from trefoilpin.gateway.stores import Change, Changes, Listing, Store, StoreFailure


class Script:
    """Answers of the store in order, and the calls made."""

    def __init__(self):
        self.answers = []
        self.calls = []


@pytest.fixture
def reader():
    """Return the parts of a host that reads from a script."""
    kernel, clock, lines = create_host()
    script = Script()

    def call(*arguments):
        script.calls.append(arguments)
        answer = script.answers.pop(0)
        return answer(clock) if callable(answer) else answer

    store = Store(
        lambda kind: call("list", kind),
        lambda kind, revision, seconds: call("watch", kind, revision),
        None,
        None,
    )
    kernel.register("store", store)
    decode_by_kind = dict.fromkeys(knowledge_module.KINDS, documents.decode_objects)
    known = knowledge_module.create(kernel, decode_by_kind)
    place = [0]
    codec = (documents.encode_objects, documents.decode_objects)

    def trim(kind, content):
        return content if isinstance(content, dict) else None

    service = readers.create(kernel, codec, trim, lambda: place[0])
    clock.time += readers.SETTLE_SECONDS + 0.01
    return service, known, script, clock, place, lines


def listing(revision, **objects):
    return Success(Listing(objects, revision))


def changes(revision, *rows):
    return Success(Changes(tuple(Change(*row) for row in rows), revision))


def test_first_a_list_then_watches_from_its_revision(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, main={"a": 1}), changes(8, ("main", {"a": 2}))]
    service.step(CONFIGURATION)
    clock.time += 1
    service.step(CONFIGURATION)
    assert script.calls == [
        ("list", CONFIGURATION),
        ("watch", CONFIGURATION, 5),
    ]
    assert known.value(CONFIGURATION) == {"main": {"a": 2}}
    assert known.stamp(CONFIGURATION).revision == 8


def test_a_watch_without_changes_tells_that_the_store_waited(reader):
    service, known, script, clock, _, _ = reader

    def wait(clock):
        clock.time += 1.02
        return changes(6)

    script.answers = [listing(5, main={"a": 1}), wait]
    service.step(CONFIGURATION)
    service.step(CONFIGURATION)
    assert known.age(CONFIGURATION) == pytest.approx(0.02)


def test_history_that_is_gone_is_listed_and_nothing_reverts(reader):
    service, known, script, clock, _, lines = reader
    gone = Failure(StoreFailure("gone", is_compacted=True))
    script.answers = [listing(5, main={"a": 1}), gone, listing(4, main={"a": 0})]
    service.step(CONFIGURATION)
    service.step(CONFIGURATION)
    assert known.value(CONFIGURATION) == {"main": {"a": 1}}
    assert named(lines, events.HISTORY_LOST)


def test_only_the_first_in_order_reads_while_knowledge_is_fresh(reader):
    service, known, script, clock, place, _ = reader
    place[0] = 1
    assert not service.step(CONFIGURATION)
    clock.time += 2.0
    script.answers = [listing(5, main={"a": 1})]
    assert service.step(CONFIGURATION)
    assert not service.step(CONFIGURATION)
    clock.time += readers.TERMS_BY_KIND[CONFIGURATION].take_over + 0.2
    script.answers = [changes(6)]
    assert service.step(CONFIGURATION)


def test_entries_that_lapsed_in_an_outage_stay_for_a_while(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, u1={"x": 1}, u2={"x": 2})]
    service.step(UPSTREAMS)
    clock.time += 6.0
    script.answers = [changes(9, ("u1", None), ("u2", None))]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1", "u2"}
    clock.time += 1.0
    script.answers = [changes(10, ("u1", {"x": 1}))]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1", "u2"}
    clock.time += readers.LAPSE_SECONDS
    script.answers = [changes(11)]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1"}


def test_an_entry_removed_while_the_store_is_well_is_gone_at_once(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, u1={"x": 1}, u2={"x": 2})]
    service.step(UPSTREAMS)
    clock.time += 0.9
    script.answers = [changes(9, ("u1", None))]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u2"}


def test_a_forged_entry_takes_no_other_with_it(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, u1={"x": 1}, u2="forged")]
    service.step(UPSTREAMS)
    clock.time += 0.9
    script.answers = [changes(9, ("u3", 17), ("u4", {"x": 4}))]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1", "u4"}


def test_failures_pause_for_longer_and_are_told_once(reader):
    service, known, script, clock, _, lines = reader
    down = Failure(StoreFailure("down"))
    script.answers = [down, down, listing(5, main={"a": 1})]
    assert service.step(CONFIGURATION)
    assert not service.step(CONFIGURATION)
    clock.time += 0.3
    assert service.step(CONFIGURATION)
    clock.time += 2.0
    assert service.step(CONFIGURATION)
    assert len(named(lines, events.STORE_LOST)) == 1
    assert len(named(lines, events.STORE_REGAINED)) == 1

"""Who reads the store, and what outages, forgeries and lost history come to."""

import json

import pytest
from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.fakes.gateways import create_host, named
from trefoilpin.gateway import document_cache as knowledge_module
from trefoilpin.gateway import store_readers
from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.gateway.documents import CODEC
from trefoilpin.gateway.stores import Listing, Store, StoreFailure

# A draining upstream, and a version of the configuration, must be known by then.
BOUND_SECONDS = 2.0
BULLETIN_SECONDS = 0.1
# A host that is told each 0.4 s, with jitter, hears at least once in this time.
SLOWEST_BULLETIN_SECONDS = 0.5
SETTLE = 0.3


def decode(rows):
    return Success({name: json.loads(text) for name, text in rows.items()})


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

    store = Store(call)
    kernel.register("store", store)
    decode_by_kind = dict.fromkeys(knowledge_module.KINDS, decode)
    known = knowledge_module.create(kernel, decode_by_kind)
    place = [0]

    def split(kind, name, content):
        return {name: content} if isinstance(content, dict) else {}

    service = store_readers.create(
        kernel, CODEC, split, lambda: place[0], lambda: SETTLE, lambda: None
    )
    clock.time += SETTLE + 0.01
    return service, known, script, clock, place, lines


def listing(revision, **objects):
    return Success(Listing(objects, revision))


def test_a_list_is_as_old_as_its_call(reader):
    service, known, script, clock, _, _ = reader

    def answer_late(clock):
        clock.time += 0.3
        return listing(5, main={"a": 1})

    script.answers = [answer_late, listing(8, main={"a": 2})]
    service.step(CONFIGURATION)
    assert known.age(CONFIGURATION) == pytest.approx(0.3)
    assert not service.step(CONFIGURATION)
    clock.time += store_readers.SETTINGS_BY_KIND[CONFIGURATION].period
    service.step(CONFIGURATION)
    assert known.value(CONFIGURATION) == {"main": {"a": 2}}
    assert known.version(CONFIGURATION).revision == 8


def test_nothing_is_read_before_the_host_has_settled(reader):
    service, _, script, clock, _, _ = reader
    clock.time -= 0.02
    assert not service.step(CONFIGURATION)
    script.answers = [listing(5, main={"a": 1})]
    clock.time += 0.02
    assert service.step(CONFIGURATION)


def test_a_stale_list_never_replaces_newer_knowledge(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, main={"a": 1}), listing(4, main={"a": 0})]
    service.step(CONFIGURATION)
    clock.time += 1.0
    service.step(CONFIGURATION)
    assert known.value(CONFIGURATION) == {"main": {"a": 1}}


@pytest.mark.parametrize("kind", [CONFIGURATION, UPSTREAMS])
def test_a_change_is_known_in_time_though_the_reader_just_died(reader, kind):
    """From the reader's last list to the next host's own, with what tells of it."""
    service, known, script, clock, place, _ = reader
    script.answers = [listing(5, main={"a": 1})]
    service.step(kind)
    place[0] = 1
    read_at = clock.time
    script.answers = [listing(6, main={"a": 2})]
    while not service.step(kind):
        clock.time += 0.01
    idle = store_readers.IDLE_SECONDS * 1.25
    assert clock.time - read_at + idle <= BOUND_SECONDS - 2 * BULLETIN_SECONDS


def test_only_the_first_in_order_reads_while_knowledge_is_fresh(reader):
    service, known, script, clock, place, _ = reader
    place[0] = 1
    assert not service.step(CONFIGURATION)
    clock.time += 2.0
    script.answers = [listing(5, main={"a": 1})]
    assert service.step(CONFIGURATION)
    assert not service.step(CONFIGURATION)
    clock.time += store_readers.SETTINGS_BY_KIND[CONFIGURATION].take_over + 0.2
    script.answers = [listing(6, main={"a": 1})]
    assert service.step(CONFIGURATION)


@pytest.mark.parametrize("rank, hops", [(1, 1), (6, 2)])
def test_nobody_takes_over_from_a_reader_that_lives(reader, rank, hops):
    """The first of three zones' six relays, and the first host that is none."""
    service, known, script, clock, place, _ = reader
    script.answers = [listing(5, main={"a": 1})]
    service.step(CONFIGURATION)
    place[0] = rank
    period = (
        store_readers.SETTINGS_BY_KIND[CONFIGURATION].period
        + store_readers.IDLE_SECONDS
    )
    clock.time += period + hops * SLOWEST_BULLETIN_SECONDS
    assert not service.step(CONFIGURATION)


def test_entries_that_lapsed_in_an_outage_stay_for_a_while(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, u1={"x": 1}, u2={"x": 2})]
    service.step(UPSTREAMS)
    clock.time += 6.0
    script.answers = [listing(9)]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1", "u2"}
    clock.time += 1.0
    script.answers = [listing(10, u1={"x": 1})]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1", "u2"}
    clock.time += store_readers.LAPSE_SECONDS
    script.answers = [listing(11, u1={"x": 1})]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1"}


def test_an_entry_removed_while_the_store_is_well_is_gone_at_once(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, u1={"x": 1}, u2={"x": 2})]
    service.step(UPSTREAMS)
    clock.time += 0.9
    script.answers = [listing(9, u2={"x": 2})]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u2"}


def test_a_forged_entry_takes_no_other_with_it(reader):
    service, known, script, clock, _, _ = reader
    script.answers = [listing(5, u1={"x": 1}, u2="forged")]
    service.step(UPSTREAMS)
    clock.time += 0.9
    script.answers = [listing(9, u1={"x": 1}, u3=17, u4={"x": 4})]
    service.step(UPSTREAMS)
    assert set(known.value(UPSTREAMS)) == {"u1", "u4"}


@pytest.mark.parametrize("place_in_order, most, least", [(3, 40, 8), (50, 8, 1)])
def test_in_an_outage_the_first_in_order_ask_often_and_the_others_rarely(
    reader, place_in_order, most, least
):
    """Ten seconds in which the store is down for all."""
    service, known, script, clock, place, _ = reader
    script.answers = [listing(5, main={"a": 1})]
    service.step(CONFIGURATION)
    place[0] = place_in_order
    clock.time += 3.0
    before = len(script.calls)
    for _ in range(100):
        clock.time += 0.1
        script.answers = [Failure(StoreFailure("down"))]
        service.step(CONFIGURATION)
    assert least <= len(script.calls) - before <= most


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

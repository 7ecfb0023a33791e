"""Nothing reverts, and ages are upper bounds."""

from trefoilpin import events
from trefoilpin.fakes.gateways import create_host, create_knowledge, named
from trefoilpin.gateway.knowledge import CONFIGURATION, Stamp, digest


def test_an_older_document_that_comes_late_changes_nothing():
    kernel, clock, lines = create_host()
    knowledge, put = create_knowledge(kernel)
    assert put(CONFIGURATION, 7, "new")
    assert not put(CONFIGURATION, 6, "old")
    assert knowledge.value(CONFIGURATION) == "new"
    assert len(named(lines, events.KNOWLEDGE_CHANGED)) == 1


def test_age_grows_by_the_clock_and_never_shrinks_by_an_older_reading():
    kernel, clock, _ = create_host()
    knowledge, put = create_knowledge(kernel)
    put(CONFIGURATION, 7, "new", age=0.2)
    clock.time += 1.0
    assert abs(knowledge.age(CONFIGURATION) - 1.2) < 1e-9
    stamp = knowledge.stamp(CONFIGURATION)
    knowledge.confirm(stamp._replace(age=5.0))
    assert abs(knowledge.age(CONFIGURATION) - 1.2) < 1e-9
    knowledge.confirm(stamp._replace(age=0.1))
    assert abs(knowledge.age(CONFIGURATION) - 0.1) < 1e-9


def test_the_same_document_at_a_newer_revision_needs_no_fetch():
    kernel, clock, _ = create_host()
    knowledge, put = create_knowledge(kernel)
    put(CONFIGURATION, 7, "new")
    same = knowledge.stamp(CONFIGURATION)._replace(revision=9)
    assert not knowledge.confirm(same)
    assert knowledge.stamp(CONFIGURATION).revision == 9
    assert not put(CONFIGURATION, 8, "between")
    assert knowledge.value(CONFIGURATION) == "new"


def test_another_document_at_a_newer_revision_has_to_be_fetched():
    kernel, clock, _ = create_host()
    knowledge, put = create_knowledge(kernel)
    put(CONFIGURATION, 7, "new")
    assert knowledge.confirm(Stamp(CONFIGURATION, 8, digest(b"other"), 0.1))
    assert not knowledge.confirm(Stamp(CONFIGURATION, 6, digest(b"other"), 0.1))
    assert not knowledge.confirm(Stamp("unknown", 99, 1, 0.1))


def test_subscribers_hear_each_new_value_once():
    kernel, clock, _ = create_host()
    knowledge, put = create_knowledge(kernel)
    heard = []
    knowledge.subscribe(CONFIGURATION, heard.append)
    put(CONFIGURATION, 1, "one")
    put(CONFIGURATION, 2, "one")
    put(CONFIGURATION, 3, "two")
    assert heard == ["one", "two"]

"""Nothing reverts, and ages are upper bounds."""

from returns.result import Success

from trefoilpin import events
from trefoilpin.fakes.gateways import create_document_cache, create_host, named
from trefoilpin.gateway import document_cache as knowledge_module
from trefoilpin.gateway import rows
from trefoilpin.gateway.document_cache import CONFIGURATION, DocumentVersion
from trefoilpin.gateway.rows import Delta


def test_an_older_document_that_comes_late_changes_nothing():
    kernel, clock, lines = create_host()
    document_cache, put = create_document_cache(kernel)
    assert put(CONFIGURATION, 7, "new")
    assert not put(CONFIGURATION, 6, "old")
    assert document_cache.value(CONFIGURATION) == "new"
    assert len(named(lines, events.KNOWLEDGE_CHANGED)) == 1


def test_age_grows_by_the_clock_and_never_shrinks_by_an_older_reading():
    kernel, clock, _ = create_host()
    document_cache, put = create_document_cache(kernel)
    put(CONFIGURATION, 7, "new", age=0.2)
    clock.time += 1.0
    assert abs(document_cache.age(CONFIGURATION) - 1.2) < 1e-9
    version = document_cache.version(CONFIGURATION)
    document_cache.confirm(version._replace(age=5.0))
    assert abs(document_cache.age(CONFIGURATION) - 1.2) < 1e-9
    document_cache.confirm(version._replace(age=0.1))
    assert abs(document_cache.age(CONFIGURATION) - 0.1) < 1e-9


def test_the_same_document_at_a_newer_revision_needs_no_fetch():
    kernel, clock, _ = create_host()
    document_cache, put = create_document_cache(kernel)
    put(CONFIGURATION, 7, "new")
    same = document_cache.version(CONFIGURATION)._replace(revision=9)
    assert not document_cache.confirm(same)
    assert document_cache.version(CONFIGURATION).revision == 9
    assert not put(CONFIGURATION, 8, "between")
    assert document_cache.value(CONFIGURATION) == "new"


def test_another_document_at_a_newer_revision_has_to_be_fetched():
    kernel, clock, _ = create_host()
    document_cache, put = create_document_cache(kernel)
    put(CONFIGURATION, 7, "new")
    assert document_cache.confirm(DocumentVersion(CONFIGURATION, 8, 17, 0.1))
    assert not document_cache.confirm(DocumentVersion(CONFIGURATION, 6, 17, 0.1))
    assert not document_cache.confirm(DocumentVersion("unknown", 99, 1, 0.1))


def test_subscribers_hear_each_new_value_once():
    kernel, clock, _ = create_host()
    document_cache, put = create_document_cache(kernel)
    heard = []
    document_cache.subscribe(CONFIGURATION, heard.append)
    put(CONFIGURATION, 1, "one")
    put(CONFIGURATION, 2, "one")
    put(CONFIGURATION, 3, "two")
    assert heard == ["one", "two"]


def start_with_rows():
    """Return ``document_cache`` whose values are the rows, and the lines of its log."""
    kernel, _, lines = create_host()
    decode_by_kind = dict.fromkeys(knowledge_module.KINDS, lambda rows: Success(rows))
    return knowledge_module.create(kernel, decode_by_kind), lines


def test_changes_are_taken_only_on_the_document_that_they_change():
    document_cache, _ = start_with_rows()
    first = {"a": "1", "b": "2"}
    document_cache.apply_document(CONFIGURATION, 5, first, 0.0, "store")
    base = document_cache.version(CONFIGURATION).digest
    told = Delta({"a": "3"}, ("b",)), rows.digest({"a": "3"})
    assert not document_cache.apply_delta(CONFIGURATION, 6, base + 1, told, 0.0, "h")
    assert document_cache.apply_delta(CONFIGURATION, 6, base, told, 0.0, "h")
    assert document_cache.value(CONFIGURATION) == {"a": "3"}
    assert not document_cache.apply_delta(CONFIGURATION, 7, base, told, 0.0, "h")


def test_changes_that_do_not_come_to_the_digest_told_are_refused():
    document_cache, lines = start_with_rows()
    document_cache.apply_document(CONFIGURATION, 5, {"a": "1"}, 0.0, "store")
    base = document_cache.version(CONFIGURATION).digest
    told = Delta({"a": "3"}, ()), rows.digest({"a": "3", "b": "4"})
    assert not document_cache.apply_delta(CONFIGURATION, 6, base, told, 0.0, "h")
    assert document_cache.value(CONFIGURATION) == {"a": "1"}
    assert len(named(lines, events.DOCUMENT_MALFORMED)) == 1


def test_changes_since_an_earlier_document_come_to_the_present_one():
    document_cache, _ = start_with_rows()
    states = [{"a": "1"}, {"a": "2", "b": "1"}, {"b": "2"}, {"a": "1", "b": "2"}]
    digests = []
    for revision, state in enumerate(states, 5):
        document_cache.apply_document(CONFIGURATION, revision, state, 0.0, "store")
        digests.append(document_cache.version(CONFIGURATION).digest)
    for state, digest in zip(states[:-1], digests):
        changes = document_cache.delta_since(CONFIGURATION, digest)
        assert rows.patch(state, changes) == states[-1]
    assert document_cache.delta_since(CONFIGURATION, 17) is None


def test_changes_are_kept_for_a_bounded_time():
    document_cache, _ = start_with_rows()
    document_cache.apply_document(CONFIGURATION, 1, {"a": "0"}, 0.0, "store")
    first = document_cache.version(CONFIGURATION).digest
    for number in range(1, knowledge_module.KEPT_DELTAS + 1):
        assert document_cache.delta_since(CONFIGURATION, first) or number == 1
        document_cache.apply_document(
            CONFIGURATION, number + 1, {"a": f"{number}"}, 0.0, "store"
        )
    assert document_cache.delta_since(CONFIGURATION, first)
    document_cache.apply_document(CONFIGURATION, 999, {"a": "last"}, 0.0, "store")
    assert document_cache.delta_since(CONFIGURATION, first) is None

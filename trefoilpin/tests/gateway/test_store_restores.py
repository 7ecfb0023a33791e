"""What stays in force at a host when the store is restored from an older copy."""

import pytest

from trefoilpin import events
from trefoilpin.fakes.gateways import (
    create_host,
    create_record_cache,
    named,
    upstream_row,
)
from trefoilpin.gateway.store.document_cache import (
    CONFIGURATION,
    KINDS,
    UPSTREAMS,
    ZONES_OUT,
)
from trefoilpin.gateway.store.store_restores import (
    NO_OVERLAY,
    OPERATOR_REWRITE_SECONDS,
    Overlay,
)

READY, DRAINING, NEXT = upstream_row(1), upstream_row(1, True), upstream_row(2)
# Three heartbeat periods of the default settings.
REMOVAL_SECONDS = 4.5
ROWS_BY_KIND = {
    CONFIGURATION: {"version": "00000006"},
    UPSTREAMS: {"a": READY},
    ZONES_OUT: {"z": "{}"},
}


class Host:
    """A document cache on a manual clock, and reads of a store without an outage."""

    def __init__(self):
        kernel, self.clock, self.lines = create_host()
        self.cache = create_record_cache(kernel)
        self.era_began_at = None
        self.revision = 100

    def read(self, kind, rows, era=0, age=0.0):
        """Apply a list; the revision is lower in each later era."""
        self.revision += 1
        revision = self.revision - 50 * era
        unbroken = 0.0
        if self.cache.version(kind).era == era:
            unbroken = self.cache.version(kind).unbroken_seconds
        self.cache.apply_document(kind, revision, rows, age, "store", unbroken, era)

    def read_for(self, seconds, kind, rows, era):
        """Apply the same list every 0.5 s."""
        for _ in range(round(seconds / 0.5)):
            self.clock.time += 0.5
            self.read(kind, rows, era)

    def names(self, kind):
        """Return the names of the upstreams or zones in force."""
        return set(self.cache.value(kind))

    def is_draining(self, name):
        return self.cache.value(UPSTREAMS)[name].draining


@pytest.mark.parametrize("listed", [{"version": "00000006"}, {}])
def test_configuration_does_not_revert_and_counts_as_confirmed(listed):
    """Guards against withdrawn keys that are valid again, and against refused keys."""
    host = Host()
    host.read(CONFIGURATION, {"version": "00000009"})
    host.clock.time += 3.0
    host.read(CONFIGURATION, listed, 1)
    assert host.cache.value(CONFIGURATION).version == "00000009"
    assert host.cache.age(CONFIGURATION) == 0.0
    assert host.cache.rows(CONFIGURATION) == listed
    host.read_for(20.0, CONFIGURATION, {"version": "00000007"}, 1)
    assert host.cache.value(CONFIGURATION).version == "00000009"
    host.read(CONFIGURATION, {"version": "0000000a"}, 1)
    assert host.cache.value(CONFIGURATION).version == "0000000a"
    assert host.cache.overlay(CONFIGURATION) == NO_OVERLAY


def test_version_with_more_digits_is_later():
    host = Host()
    host.read(CONFIGURATION, {"version": "v9"})
    host.read(CONFIGURATION, {"version": "v10"}, 1)
    assert host.cache.value(CONFIGURATION).version == "v10"


def test_zone_that_the_restored_store_lacks_returns_after_a_while():
    """Guards against requests to a zone whose removal the store forgot."""
    host = Host()
    host.read(ZONES_OUT, {"z": "{}"})
    host.read(ZONES_OUT, {}, 1)
    host.read_for(OPERATOR_REWRITE_SECONDS - 0.5, ZONES_OUT, {}, 1)
    assert host.names(ZONES_OUT) == {"z"}
    host.read_for(1.0, ZONES_OUT, {}, 1)
    assert host.names(ZONES_OUT) == set()


def test_zone_listed_and_removed_in_the_new_era_returns_at_once():
    host = Host()
    host.read(ZONES_OUT, {"z": "{}"})
    host.read(ZONES_OUT, {}, 1)
    host.read(ZONES_OUT, {"z": "{}"}, 1)
    host.read(ZONES_OUT, {}, 1)
    assert host.names(ZONES_OUT) == set()
    host.cache.learn(ZONES_OUT, Overlay({"z": "{}"}, frozenset()), "10.0.0.7")
    assert host.names(ZONES_OUT) == set()


def test_zone_whose_removal_is_listed_again_is_out():
    host = Host()
    host.read(ZONES_OUT, {"z": "{}"})
    host.read(ZONES_OUT, {})
    host.read(ZONES_OUT, {"z": "{}"}, 1)
    assert host.names(ZONES_OUT) == {"z"}


def test_missing_upstreams_are_retained_until_they_register_again():
    """Guards against a pool without upstreams; the host had just started."""
    host = Host()
    host.read(UPSTREAMS, {"a": READY, "b": READY})
    host.clock.time += 0.5
    host.read(UPSTREAMS, {}, 1)
    host.read_for(2.0, UPSTREAMS, {"a": READY}, 1)
    assert host.names(UPSTREAMS) == {"a", "b"}
    host.read_for(0.5, UPSTREAMS, {"a": READY}, 1)
    assert host.names(UPSTREAMS) == {"a"}


@pytest.mark.parametrize("born", [1, 2])
def test_draining_upstream_stays_draining_for_the_same_incarnation(born):
    """Guards against requests to an upstream that is about to stop."""
    host = Host()
    host.read(UPSTREAMS, {"a": DRAINING})
    host.read(UPSTREAMS, {"a": upstream_row(born)}, 1)
    host.read_for(20.0, UPSTREAMS, {"a": upstream_row(born)}, 1)
    assert host.is_draining("a") == (born == 1)
    host.read(UPSTREAMS, {"a": NEXT}, 1)
    assert not host.is_draining("a")


def test_removed_upstream_is_used_once_it_has_outlived_a_silent_one():
    """Guards against requests to an upstream that stopped before the restore."""
    host = Host()
    host.read(UPSTREAMS, {"a": READY, "b": READY})
    host.read(UPSTREAMS, {"b": READY})
    host.read(UPSTREAMS, {"a": READY, "b": READY}, 1)
    host.read_for(REMOVAL_SECONDS - 0.5, UPSTREAMS, {"a": READY, "b": READY}, 1)
    assert host.names(UPSTREAMS) == {"b"}
    host.clock.time += 5.0
    host.cache.confirm(host.cache.version(UPSTREAMS))
    assert host.names(UPSTREAMS) == {"b"}, "no read has shown that it is still listed"
    host.read(UPSTREAMS, {"a": READY, "b": READY}, 1)
    assert host.names(UPSTREAMS) == {"a", "b"}


def test_removed_upstream_that_was_draining_is_still_draining():
    host = Host()
    host.read(UPSTREAMS, {"a": DRAINING})
    host.read(UPSTREAMS, {})
    host.read(UPSTREAMS, {"a": READY}, 1)
    host.read_for(REMOVAL_SECONDS + 0.5, UPSTREAMS, {"a": READY}, 1)
    assert host.is_draining("a")


def test_new_incarnation_of_a_removed_upstream_is_used():
    host = Host()
    host.read(UPSTREAMS, {"a": READY})
    host.read(UPSTREAMS, {})
    host.read(UPSTREAMS, {"a": NEXT}, 1)
    assert host.names(UPSTREAMS) == {"a"}


def test_two_consecutive_restores_are_handled_like_one():
    """Guards against state that is lost in the second restore."""
    host = Host()
    for kind, rows in ROWS_BY_KIND.items():
        host.read(kind, rows)
    host.read(CONFIGURATION, {"version": "00000009"})
    host.read(UPSTREAMS, {"a": READY, "b": READY, "d": DRAINING})
    host.read(UPSTREAMS, {"b": READY, "d": DRAINING})
    listed = {"a": READY, "d": READY}
    for era in (1, 2):
        host.read(CONFIGURATION, {"version": "00000006"}, era)
        host.read(ZONES_OUT, {}, era)
        host.read(UPSTREAMS, listed, era)
        host.clock.time += 1.5
        assert host.cache.value(CONFIGURATION).version == "00000009"
        assert host.names(ZONES_OUT) == {"z"}
        assert host.names(UPSTREAMS) == {"b", "d"}
        assert host.is_draining("d")
    host.read_for(2.0, UPSTREAMS, listed, 2)
    assert host.names(UPSTREAMS) == {"d"}
    host.read_for(1.5, UPSTREAMS, listed, 2)
    assert host.names(UPSTREAMS) == {"a", "d"}
    assert host.is_draining("d")


@pytest.mark.parametrize("kind", KINDS)
def test_late_response_of_the_old_era_changes_nothing(kind):
    """Guards against a list that was in transit while the store was restored."""
    host = Host()
    host.read(kind, ROWS_BY_KIND[kind])
    host.read(kind, ROWS_BY_KIND[kind], 1)
    before = host.cache.version(kind), host.cache.value(kind)
    host.read(kind, {"version": "7 ready"})
    assert (host.cache.version(kind), host.cache.value(kind)) == before


def test_host_without_a_history_learns_what_is_in_force():
    """Guards against a host started during a restore that uses what was revoked."""
    old, new = Host(), Host()
    old.read(CONFIGURATION, {"version": "00000009"})
    old.read(ZONES_OUT, {"z": "{}"})
    old.read(UPSTREAMS, {"a": READY, "b": READY, "d": DRAINING})
    old.read(UPSTREAMS, {"b": READY, "d": DRAINING})
    listed_by_kind = {
        CONFIGURATION: {"version": "00000006"},
        ZONES_OUT: {},
        UPSTREAMS: {"a": READY, "d": READY},
    }
    for kind, rows in listed_by_kind.items():
        for host in (old, new):
            host.cache.apply_document(kind, 7, rows, 0.0, "store", 0.0, 1)
        assert new.cache.confirm(old.cache.version(kind))
        new.cache.learn(kind, old.cache.overlay(kind), "10.0.0.7")
        assert new.cache.value(kind) == old.cache.value(kind)
        assert not new.cache.confirm(old.cache.version(kind))
    new.clock.time += REMOVAL_SECONDS + OPERATOR_REWRITE_SECONDS
    for kind, rows in listed_by_kind.items():
        new.read(kind, rows, 1)
    assert new.names(UPSTREAMS) == {"a", "d"} and new.is_draining("d")
    assert new.names(ZONES_OUT) == set()
    assert new.cache.value(CONFIGURATION).version == "00000009"


def test_host_that_ended_a_period_fetches_nothing_from_one_that_did_not():
    """Guards against fetches by a whole fleet at the end of each period."""
    host = Host()
    host.read(ZONES_OUT, {"z": "{}"})
    host.read(ZONES_OUT, {}, 1)
    before = host.cache.version(ZONES_OUT)
    assert before.overlay_digest
    host.read_for(OPERATOR_REWRITE_SECONDS + 1.0, ZONES_OUT, {}, 1)
    current = host.cache.version(ZONES_OUT)
    late = current._replace(overlay_digest=before.overlay_digest)
    assert not current.overlay_digest and not host.cache.confirm(late)


def test_host_without_a_history_starts_although_the_store_has_no_configuration():
    """Guards against a host that stays unready until operators write again."""
    old, new = Host(), Host()
    old.read(CONFIGURATION, {"version": "00000009"})
    old.read(CONFIGURATION, {}, 1)
    sent = old.cache.version(CONFIGURATION), old.cache.overlay(CONFIGURATION)
    new.cache.apply_document(
        CONFIGURATION, sent[0].revision, {}, 0.1, "10.0.0.7", 0.0, 1, sent[1]
    )
    assert new.cache.value(CONFIGURATION).version == "00000009"
    assert new.cache.version(CONFIGURATION).revision == sent[0].revision


def test_learned_state_ends_with_the_period_since_the_restore():
    """Guards against hosts that extend a period for each other without an end."""
    host = Host()
    host.cache.apply_document(ZONES_OUT, 7, {}, 0.0, "store", 7.0, 1)
    host.cache.learn(ZONES_OUT, Overlay({"z": "{}"}, frozenset()), "10.0.0.7")
    assert host.names(ZONES_OUT) == set()


def start_in_restored_store(unbroken=0.0):
    """Return a host whose first document is that of a restored store."""
    host = Host()
    host.cache.apply_document(
        CONFIGURATION, 50, {"version": "00000007"}, 0.0, "store", unbroken, 1
    )
    return host


def test_configuration_is_unproven_until_operators_have_written_again():
    """Guards against withdrawn keys when all hosts start beside a restored store."""
    host = start_in_restored_store()
    same = {"version": "00000007"}
    host.read_for(OPERATOR_REWRITE_SECONDS - 0.5, CONFIGURATION, same, 1)
    assert host.cache.is_unproven(CONFIGURATION)
    host.clock.time += 0.6
    assert not host.cache.is_unproven(CONFIGURATION)


def test_configuration_stays_proven_over_a_later_outage_of_the_store():
    """Guards against keys that are refused after each outage, long after a restore."""
    host = start_in_restored_store()
    same = {"version": "00000007"}
    host.read_for(OPERATOR_REWRITE_SECONDS + 0.5, CONFIGURATION, same, 1)
    host.clock.time += 30.0
    host.cache.apply_document(CONFIGURATION, 900, same, 0.0, "store", 0.0, 1)
    assert host.cache.version(CONFIGURATION).unbroken_seconds == 0.0
    assert not host.cache.is_unproven(CONFIGURATION)


@pytest.mark.parametrize("pause", [0.5, 1.0, 2.5])
def test_configuration_is_not_proven_by_changes_of_it(pause):
    """Guards against a withdrawn key that works until the last lost write is back."""
    host = start_in_restored_store()
    ends_at = host.clock.time + OPERATOR_REWRITE_SECONDS
    version = 7
    while host.clock.time + pause < ends_at:
        version += 1
        host.read_for(pause, CONFIGURATION, {"version": f"{version:08}"}, 1)
        assert host.cache.value(CONFIGURATION).version == f"{version:08}"
        assert host.cache.is_unproven(CONFIGURATION)
    host.clock.time = ends_at
    assert not host.cache.is_unproven(CONFIGURATION)


def test_configuration_is_proven_by_a_host_that_ran_before_the_restore():
    host = start_in_restored_store()
    host.cache.learn(CONFIGURATION, Overlay({"version": "00000009"}, frozenset()), "h")
    assert not host.cache.is_unproven(CONFIGURATION)
    taken = Host()
    overlay = Overlay({"version": "00000009"}, frozenset())
    taken.cache.apply_document(
        CONFIGURATION, 50, {"version": "00000007"}, 0.0, "h", 0.0, 1, overlay
    )
    assert not taken.cache.is_unproven(CONFIGURATION)


def test_configuration_is_proven_where_hosts_have_read_the_era_for_long():
    assert start_in_restored_store(1.0).cache.is_unproven(CONFIGURATION)
    unbroken = OPERATOR_REWRITE_SECONDS + 0.1
    assert not start_in_restored_store(unbroken).cache.is_unproven(CONFIGURATION)


@pytest.mark.parametrize("eras", [(0, 0), (0, 1), (None, None)])
def test_configuration_of_a_store_that_was_not_restored_is_proven(eras):
    host = Host()
    for era in eras:
        host.read(CONFIGURATION, {"version": "00000007"}, era or 0)
        assert not host.cache.is_unproven(CONFIGURATION)


def test_malformed_state_of_another_host_is_not_used():
    host = Host()
    host.cache.apply_document(CONFIGURATION, 7, {"version": "1"}, 0.0, "store", 0.0, 1)
    overlay = Overlay({}, frozenset(("version", "other")))
    host.cache.learn(CONFIGURATION, overlay, "10.0.0.7")
    assert host.cache.value(CONFIGURATION).version == "1"


def test_a_store_that_states_no_era_is_used_as_before():
    """Guards against rules for restores that change anything without one."""
    host = Host()
    host.read(CONFIGURATION, {"version": "00000009"})
    host.read(CONFIGURATION, {"version": "00000006"})
    host.read(ZONES_OUT, {"z": "{}"})
    host.read(ZONES_OUT, {})
    host.read(UPSTREAMS, {"a": DRAINING})
    host.read(UPSTREAMS, {"a": READY})
    assert host.cache.value(CONFIGURATION).version == "00000006"
    assert host.names(ZONES_OUT) == set() and not host.is_draining("a")
    for kind in KINDS:
        assert host.cache.overlay(kind) == NO_OVERLAY
        assert host.cache.version(kind).overlay_digest == 0
    assert host.cache.version(ZONES_OUT).unbroken_seconds == 0.0


def test_a_restore_is_logged_with_what_is_kept():
    host = Host()
    host.read(ZONES_OUT, {"z": "{}"})
    host.read(ZONES_OUT, {}, 1)
    (restored,) = named(host.lines, events.STORE_RESTORED)
    assert (restored["era_before"], restored["era"]) == (0, 1)
    (kept,) = named(host.lines, events.STATE_KEPT)
    assert (kept["kind"], kept["retained"], kept["withheld"]) == (ZONES_OUT, 1, 0)

"""Hosts that tell each other what they know, over a network that loses datagrams."""

import pytest
from returns.result import Success

from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings, StoreContent
from trefoilpin.fakes.gateways import ACCOUNT
from trefoilpin.gateway import failure_detection, gossip, members
from trefoilpin.gateway.document_cache import CONFIGURATION


def start_fleet(lost=0.0):
    fleet = Fleet(FleetSettings(lost=lost))
    for number in range(1, 13):
        fleet.start(number, "abc"[number % 3])
    fleet.run(2.0)
    return fleet


@pytest.mark.parametrize("lost", [0.0, 0.1])
def test_all_hosts_find_each_other_from_two_seeds(lost):
    fleet = start_fleet(lost)
    for node in fleet.nodes.values():
        assert len(node.members.live()) == 12


@pytest.mark.parametrize("seed", range(1, 13))
def test_hosts_that_asked_different_seeds_are_one_fleet(seed):
    """Seeds read the store as soon as they run, when the others may not run yet."""
    content = StoreContent()
    content.put(CONFIGURATION, "value", "new")
    fleet = Fleet(FleetSettings(seed=seed), content)
    for number in range(1, 31):
        fleet.start_late(fleet.rng.random() * 0.3, number, "abc"[number % 3])
    fleet.run(4.0)
    for node in fleet.nodes.values():
        assert len(node.members.live()) == 30


def test_parts_of_a_fleet_that_forgot_each_other_meet_again():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.cut = frozenset(f"10.0.0.{number}" for number in (1, 4, 5, 6, 7))
    fleet.run(members.FORGET_SECONDS + 5.0)
    assert len(fleet.nodes["10.0.0.5"].members.records()) == 5
    fleet.cut = frozenset()
    fleet.run(10.0)
    for node in fleet.nodes.values():
        assert len(node.members.live()) == 12


def test_every_host_agrees_on_the_order_of_readers():
    fleet = start_fleet()
    ranks = sorted(node.gossip.reader_rank() for node in fleet.nodes.values())
    assert ranks == list(range(12))


def reader_of(fleet):
    return next(node for node in fleet.nodes.values() if node.gossip.reader_rank() == 0)


@pytest.mark.parametrize("lost", [0.0, 0.1])
def test_a_document_reaches_every_host_within_a_second(lost):
    fleet = start_fleet(lost)
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(1.0 if not lost else 1.6)
    for node in fleet.nodes.values():
        assert node.document_cache.value(CONFIGURATION) == "new"
        assert node.document_cache.age(CONFIGURATION) <= 1.7


def test_small_documents_go_along_within_a_zone_and_are_not_fetched():
    fleet = start_fleet()
    reader = reader_of(fleet)
    reader.put(CONFIGURATION, 7, "new")
    fleet.run(1.0)
    zone = reader.members.own.zone
    assert fleet.fetch_count <= 2 * members.RELAYS_PER_ZONE
    for node in fleet.nodes.values():
        if node.members.own.zone == zone:
            assert node.document_cache.value(CONFIGURATION) == "new"


def test_a_host_that_starts_is_told_everything_by_a_seed():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(1.0)
    node = fleet.start(13, "a")
    before = fleet.fetch_count
    fleet.run(0.15)
    assert node.document_cache.value(CONFIGURATION) == "new"
    assert fleet.fetch_count == before


def test_hosts_that_asked_too_early_are_told_as_soon_as_a_seed_has_read():
    """All start at once; the configuration is there 50 ms after the seeds run."""
    fleet = Fleet()
    for number in range(1, 13):
        fleet.start(number, "abc"[number % 3])
    fleet.run(0.05)
    seed = fleet.nodes["10.0.0.1"]
    assert seed.gossip.startup_delay() == 0.0
    assert fleet.nodes["10.0.0.7"].gossip.startup_delay() > 0.0
    seed.put(CONFIGURATION, 7, "new")
    fleet.run(0.15)
    for node in fleet.nodes.values():
        assert node.document_cache.value(CONFIGURATION) == "new"


def test_a_host_that_knows_nobody_waits_longer_for_a_seed():
    fleet = Fleet()
    alone = fleet.start(9, "a")
    settling = alone.gossip.startup_delay()
    fleet.start(1, "a")
    fleet.run(gossip.ALONE_SECONDS / 2)
    assert alone.gossip.startup_delay() < settling


def test_what_a_host_that_is_no_relay_has_read_reaches_all():
    """Readers before it are refused by the store; it read when its knowledge aged."""
    fleet = start_fleet()
    nodes = fleet.nodes.values()
    last = max(nodes, key=lambda node: node.gossip.reader_rank())
    last.put(CONFIGURATION, 7, "new")
    last.gossip.share_read()
    fleet.run(1.0)
    for node in nodes:
        assert node.document_cache.value(CONFIGURATION) == "new"


def test_ages_are_never_younger_than_the_reading():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    for _ in range(4):
        fleet.run(1.0)
        age = reader_of(fleet).document_cache.age(CONFIGURATION)
        for node in fleet.nodes.values():
            assert node.document_cache.age(CONFIGURATION) >= age - 1e-6


def test_a_host_that_fell_silent_is_not_named_to_callers():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(0.6)
    some = next(iter(fleet.nodes.values()))
    gone = some.directories.answer("b").unwrap().addresses[0]
    fleet.kill(gone)
    for _ in range(12):
        fleet.run(0.2)
        reader_of(fleet).put(CONFIGURATION, 8, "new")
    for node in fleet.nodes.values():
        assert gone not in node.directories.answer("b").unwrap().addresses


def test_a_host_that_stops_is_out_of_the_answers_at_once():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(0.6)
    some = fleet.nodes["10.0.0.1"]
    leaving = some.directories.answer("b").unwrap().addresses[0]
    fleet.nodes[leaving].members.stop()
    fleet.run(1.2)
    for node in fleet.nodes.values():
        assert leaving not in node.directories.answer("b").unwrap().addresses


def test_a_restarted_host_that_knows_nobody_is_found_again():
    fleet = start_fleet()
    for address in ("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.9"):
        fleet.kill(address)
    fleet.run(3.0)
    node = fleet.start(9, "a", incarnation=2)
    fleet.run(12.0)
    assert len(node.members.live()) == 9


def test_a_reader_that_died_is_replaced_in_the_order():
    fleet = start_fleet()
    gone = reader_of(fleet)
    fleet.kill(gone.address)
    fleet.run(failure_detection.SUSPECT_SECONDS + 0.6)
    ranks = sorted(node.gossip.reader_rank() for node in fleet.nodes.values())
    assert ranks == list(range(11))


def test_hosts_that_serve_share_outcomes_counts_and_load():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(0.6)
    some = fleet.nodes["10.0.0.1"]
    serving = some.directories.answer("b").unwrap().addresses
    first, second = (fleet.nodes[address] for address in serving[:2])
    account = ACCOUNT
    for _ in range(4):
        assert isinstance(first.rate_limits.admit(account), Success)
        assert isinstance(second.rate_limits.admit(account), Success)
        first.members.count_request()
        fleet.run(0.4)
    outcomes = [second.rate_limits.admit(account) for _ in range(20)]
    admitted = sum(isinstance(outcome, Success) for outcome in outcomes)
    spent = 8 - 1.6 * account.rate
    assert admitted <= account.burst - max(spent, 0) + 1

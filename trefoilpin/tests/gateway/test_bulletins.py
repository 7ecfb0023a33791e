"""Hosts that tell each other what they know, over a network that loses datagrams."""

import random

import pytest
from returns.result import Failure, Success

from trefoilpin import metrics
from trefoilpin.fakes.gateways import (
    ACCOUNT,
    ManualClock,
    create_host,
    create_knowledge,
)
from trefoilpin.gateway import (
    bulletin_codecs,
    bulletins,
    directories,
    members,
    queues,
    rates,
    suspects,
    upstreams,
)
from trefoilpin.gateway.knowledge import CONFIGURATION
from trefoilpin.gateway.messages import Document

STEP_SECONDS = 0.05


class InstantEvent:
    """An event for tasks that the test runs by hand."""

    def __init__(self):
        self.is_set = False

    def send(self):
        self.is_set = True

    def ready(self):
        return self.is_set


class Node:
    """One host with its services."""

    def __init__(self, fleet, number, zone, incarnation):
        self.fleet = fleet
        self.address = f"10.0.0.{number}"
        kernel, _, self.lines = create_host(number)
        clock = kernel.clock._replace(now=fleet.clock.now, sleep=lambda seconds: None)
        kernel = kernel._replace(clock=clock, spawn=self.spawn)
        metrics.create(kernel)
        self.knowledge, self.put = create_knowledge(kernel, fleet.values)
        own = members.OwnHost(self.address, zone, "r", incarnation, 100.0)
        self.members = members.create(
            kernel, own, lambda: self.knowledge.age(CONFIGURATION)
        )
        terms = rates.RateTerms(True, 1)
        self.rates = rates.create(kernel, terms, self.members.reached)
        suspects.create(kernel)
        queues.create(kernel, InstantEvent)
        upstreams.create(kernel, zone, lambda: 1)
        self.bulletins = bulletins.create(
            kernel,
            bulletins.BulletinTerms(lambda: ("10.0.0.1", "10.0.0.2"), 1),
            InstantEvent,
            self.send,
            self.fetch,
        )
        self.directories = directories.create(kernel)

    def spawn(self, function, *arguments):
        if function.__name__ == "fetch_document":
            function(*arguments)

    def send(self, target, bulletin):
        self.fleet.send(self.address, target, bulletin)

    def fetch(self, address, kind):
        node = self.fleet.nodes.get(address)
        if node is None:
            return Failure("unreachable")
        stamp = node.knowledge.stamp(kind)
        document = node.knowledge.document(kind)
        self.fleet.fetches += 1
        return Success(Document(kind, stamp.revision, stamp.age, document))


class Fleet:
    """Hosts, the clock and a network of datagrams in the thrift form."""

    def __init__(self, lost=0.0):
        self.clock = ManualClock()
        self.nodes = {}
        self.values = {}
        self.lost = lost
        self.rng = random.Random(5)
        self.cut = frozenset()
        self.fetches = 0

    def start(self, number, zone, incarnation=1):
        node = Node(self, number, zone, incarnation)
        self.nodes[node.address] = node
        return node

    def send(self, source, target, bulletin):
        node = self.nodes.get(target)
        if node is None or self.rng.random() < self.lost:
            return
        if (source in self.cut) != (target in self.cut):
            return
        decoded = bulletin_codecs.decode(bulletin_codecs.encode(bulletin)).unwrap()
        node.bulletins.receive(source, decoded)

    def run(self, seconds):
        steps = int(round(seconds / STEP_SECONDS))
        for step in range(steps):
            self.clock.time += STEP_SECONDS
            for node in list(self.nodes.values()):
                if step % 4 == 0:
                    node.bulletins.step()
                if step % 8 == 0:
                    node.bulletins.tell_all()


def start_fleet(lost=0.0):
    fleet = Fleet(lost)
    for number in range(1, 13):
        fleet.start(number, "abc"[number % 3])
    fleet.run(2.0)
    return fleet


@pytest.mark.parametrize("lost", [0.0, 0.1])
def test_all_hosts_find_each_other_from_two_seeds(lost):
    fleet = start_fleet(lost)
    for node in fleet.nodes.values():
        assert len(node.members.live()) == 12


def test_every_host_agrees_on_the_order_of_readers():
    fleet = start_fleet()
    ranks = sorted(node.bulletins.rank() for node in fleet.nodes.values())
    assert ranks == list(range(12))


def reader_of(fleet):
    return next(node for node in fleet.nodes.values() if node.bulletins.rank() == 0)


@pytest.mark.parametrize("lost", [0.0, 0.1])
def test_a_document_reaches_every_host_within_a_second(lost):
    fleet = start_fleet(lost)
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(1.0 if not lost else 1.6)
    for node in fleet.nodes.values():
        assert node.knowledge.value(CONFIGURATION) == "new"
        assert node.knowledge.age(CONFIGURATION) <= 1.7


def test_small_documents_go_along_within_a_zone_and_are_not_fetched():
    fleet = start_fleet()
    reader = reader_of(fleet)
    reader.put(CONFIGURATION, 7, "new")
    fleet.run(1.0)
    zone = reader.members.own.zone
    assert fleet.fetches <= 2 * members.RELAYS_PER_ZONE
    for node in fleet.nodes.values():
        if node.members.own.zone == zone:
            assert node.knowledge.value(CONFIGURATION) == "new"


def test_a_host_that_starts_is_told_everything_by_a_seed():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(1.0)
    node = fleet.start(13, "a")
    before = fleet.fetches
    node.bulletins.step()
    assert node.knowledge.value(CONFIGURATION) == "new"
    assert fleet.fetches == before


def test_ages_are_never_younger_than_the_reading():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    for _ in range(4):
        fleet.run(1.0)
        age = reader_of(fleet).knowledge.age(CONFIGURATION)
        for node in fleet.nodes.values():
            assert node.knowledge.age(CONFIGURATION) >= age - 1e-6


def test_a_host_that_fell_silent_is_not_named_to_callers():
    fleet = start_fleet()
    reader_of(fleet).put(CONFIGURATION, 7, "new")
    fleet.run(0.6)
    some = next(iter(fleet.nodes.values()))
    gone = some.directories.answer("b").unwrap().addresses[0]
    del fleet.nodes[gone]
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
    del fleet.nodes["10.0.0.1"], fleet.nodes["10.0.0.2"], fleet.nodes["10.0.0.9"]
    fleet.run(3.0)
    node = fleet.start(9, "a", incarnation=2)
    fleet.run(12.0)
    assert len(node.members.live()) == 10


def test_a_reader_that_died_is_replaced_in_the_order():
    fleet = start_fleet()
    gone = reader_of(fleet)
    del fleet.nodes[gone.address]
    fleet.run(members.LIVE_SECONDS + 0.6)
    ranks = sorted(node.bulletins.rank() for node in fleet.nodes.values())
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
        assert isinstance(first.rates.admit(account), Success)
        assert isinstance(second.rates.admit(account), Success)
        first.members.note_request()
        fleet.run(0.4)
    outcomes = [second.rates.admit(account) for _ in range(20)]
    admitted = sum(isinstance(outcome, Success) for outcome in outcomes)
    spent = 8 - 1.6 * account.rate
    assert admitted <= account.burst - max(spent, 0) + 1

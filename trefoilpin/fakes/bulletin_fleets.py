"""A fleet of hosts that tell each other what they know, over a lossy network.

Only what the hosts exchange is real; time is moved by the test.
"""

import heapq
import random

from returns.result import Failure, Success

from trefoilpin import metrics
from trefoilpin.fakes.gateways import ManualClock, create_host, create_knowledge
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

__all__ = ["Fleet"]

STEP_SECONDS = 0.05
STEWARD = bulletins.STEWARD_SECONDS
BEAT = bulletins.ALIVE_SECONDS


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
        terms = rates.RateTerms(True, 1, 5.0)
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

    def run_unaligned(self, seconds):
        """Run with hosts that act at moments of their own, as real ones do."""
        due = []
        for node in self.nodes.values():
            due.append((self.clock.time + self.rng.random() * STEWARD, node, True))
            due.append((self.clock.time + self.rng.random() * BEAT, node, False))
        order = iter(range(1 << 60))
        events = [(at, next(order), node, steps) for at, node, steps in due]
        heapq.heapify(events)
        until = self.clock.time + seconds
        while events[0][0] < until:
            self.clock.time, _, node, steps = heapq.heappop(events)
            if self.nodes.get(node.address) is not node:
                continue
            (node.bulletins.step if steps else node.bulletins.tell_all)()
            pause = (STEWARD if steps else BEAT) * (0.8 + 0.4 * self.rng.random())
            heapq.heappush(events, (self.clock.time + pause, next(order), node, steps))
        self.clock.time = until

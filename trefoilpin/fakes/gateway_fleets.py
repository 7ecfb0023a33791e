"""Real gateway hosts on a simulated clock, over links of limited rate and queue.

Each host runs its store readers and its gossip as tasks. Datagrams wait for the link,
and those that find its queue full are lost, as on the small hosts of a large fleet.
"""

import json
import random
from functools import partial
from typing import Any, NamedTuple

from returns.result import Failure, Success

from trefoilpin import metrics
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.gateway import (
    anti_entropy,
    directories,
    document_cache,
    document_fetchers,
    documents,
    gossip,
    gossip_builders,
    gossip_codecs,
    members,
    poison_requests,
    queues,
    rate_limits,
    send_queues,
    store_readers,
    upstreams,
)
from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.gateway.stores import Listing, Store, StoreFailure
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.services import Events

__all__ = ["Fleet", "Link", "StoreContent", "FleetSettings"]

LATENCY_SECONDS = 0.001
# Messages of a fetch on a connection of its own, beside the document, and the
# processor time that a small host takes to accept and answer it (seen on played days).
REQUEST_BYTES = 300
SERVE_SECONDS = 0.01
# From the arrival of a datagram to the task that reads it, on a host with other work.
WAKE_SECONDS = 0.03
STORE_SECONDS = 0.004
# Not a whole number, as links and processors give.
CAPACITY = 104.17
SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Link(NamedTuple):
    """What a host's link bears, each way.

    Attributes
    ----------
    rate : float
        Bytes a second.
    queue : int
        Bytes that wait for it at most; datagrams beyond are lost.
    """

    rate: float
    queue: int


WIDE_LINK = Link(125_000_000.0, 100_000_000)


def decode_by_kind(emit):
    """Return decoders of documents whose value is their row ``value``."""

    def decode(rows):
        return Success(rows.get("value"))

    decoders = dict.fromkeys(document_cache.KINDS, decode)
    decoders[UPSTREAMS] = lambda rows: Success({})
    return decoders


def split(kind, name, content):
    """Return an object as one row."""
    return {name: content}


class FleetSettings(NamedTuple):
    """Parameters of a simulated fleet.

    Attributes
    ----------
    link : Link
    lost : float
        Share of the datagrams that the network loses.
    seed : int
    split, decode_by_kind : callable
        Of the adapter; see ``daemons.Adapter``.
    """

    link: Link = WIDE_LINK
    lost: float = 0.0
    seed: int = 5
    split: Any = split
    decode_by_kind: Any = decode_by_kind


class StoreContent:
    """What the store holds; ``is_down`` has every call fail."""

    def __init__(self):
        self.revision = 1
        self.objects_by_kind: dict[str, dict] = {
            kind: {} for kind in document_cache.KINDS
        }
        self.is_down = False
        self.calls = 0

    def put(self, kind, name, content):
        self.revision += 1
        objects = self.objects_by_kind[kind]
        self.objects_by_kind[kind] = objects | {name: content}


class Node:
    """One host with its services, and what its link and processor have to do."""

    def __init__(self, address, zone, incarnation, kernel):
        self.address = address
        self.zone = zone
        self.owner = (address, incarnation)
        self.kernel = kernel
        self.lines: list = []
        self.sent_at = float("-inf")
        self.served_at = float("-inf")
        self.read_at = float("-inf")
        self.sent_bytes = 0
        self.lost_datagrams = 0
        self.document_cache: Any = None
        self.members: Any = None
        self.rate_limits: Any = None
        self.gossip: Any = None
        self.directories: Any = None

    def put(self, kind, revision, value):
        """Have the host know something without a read of the store."""
        return self.document_cache.apply_document(
            kind, revision, {"value": value}, 0.0, "store"
        )


class Fleet:
    """Hosts, the store and the network between them."""

    def __init__(self, settings=FleetSettings(), content=None):
        self.settings = settings
        self.content = content
        self.loop = LoopState(settings.seed)
        self.rng = self.loop.rng
        self.tasks = create_tasks(self.loop)
        self.cut: frozenset[str] = frozenset()
        self.fetch_count = 0
        self.nodes: dict[str, Node] = {}

    def start(self, number, zone, incarnation=1):
        """Start a host, or start it again."""
        address = f"10.0.{number // 250}.{number % 250}"
        clock = Clock(self.now, self.now, self.tasks.sleep)
        spawn = partial(self.tasks.spawn, (address, incarnation))
        kernel = create_kernel(clock, spawn, random.Random(self.rng.getrandbits(32)))
        node = Node(address, zone, incarnation, kernel)

        def emit(event, **fields):
            node.lines.append((self.loop.now, event, fields))

        kernel.register("events", Events(emit, lambda: None))
        self.nodes[address] = node
        create_services(self, node, emit)
        kernel.start()
        return node

    def start_late(self, seconds, number, zone):
        """Start a host some seconds from now."""

        def run():
            self.tasks.sleep(seconds)
            self.start(number, zone)

        self.tasks.spawn(None, run)

    def now(self):
        return self.loop.now

    def run(self, seconds):
        self.tasks.run(self.loop.now + seconds)

    def kill(self, address):
        self.loop.dead.add(self.nodes.pop(address).owner)

    def reaches(self, source, target):
        return (source in self.cut) == (target in self.cut)

    def send(self, node, target, message):
        """Put a datagram into the queue of a host's link."""
        data = gossip_codecs.encode(message)
        waits = max(node.sent_at - self.loop.now, 0.0)
        if waits * self.settings.link.rate + len(data) > self.settings.link.queue:
            node.lost_datagrams += 1
            return len(data)
        seconds = self.transmit(node, len(data))
        is_lost = self.rng.random() < self.settings.lost
        if self.reaches(node.address, target) and not is_lost:
            self.tasks.spawn(None, self.deliver, seconds, node.address, target, data)
        return len(data)

    def deliver(self, seconds, source, target, data):
        """Have a host read a datagram, after those that came before."""
        self.tasks.sleep(seconds)
        node = self.nodes.get(target)
        if node is None:
            return
        woken_at = self.loop.now + WAKE_SECONDS * self.rng.random()
        node.read_at = max(node.read_at, woken_at)
        waited = node.read_at - self.loop.now
        self.tasks.sleep(waited)
        node = self.nodes.get(target)
        if node is not None:
            message = gossip_codecs.decode(data).unwrap()
            node.gossip.receive(source, message, waited)

    def transmit(self, node, size):
        """Return the seconds until what a host sends now has arrived."""
        node.sent_bytes += size
        node.sent_at = max(node.sent_at, self.loop.now) + size / self.settings.link.rate
        return node.sent_at - self.loop.now + LATENCY_SECONDS

    def fetch(self, source, target, kind, base):
        """Return another host's document, after the time that it takes."""
        self.fetch_count += 1
        self.tasks.sleep(2 * LATENCY_SECONDS + REQUEST_BYTES / self.settings.link.rate)
        node = self.nodes.get(target)
        if node is None or not self.reaches(source, target):
            return Failure("no connection")
        node.served_at = max(node.served_at, self.loop.now) + SERVE_SECONDS
        self.tasks.sleep(node.served_at - self.loop.now)
        document = node.kernel.find("gossip_builders").build_document(kind, base)
        size = len(gossip_codecs.encode_document(document)) + REQUEST_BYTES
        self.tasks.sleep(self.transmit(node, size))
        return Success(document)

    def list_all(self, kind):
        """Answer a call to the store."""
        content = self.content
        content.calls += 1
        self.tasks.sleep(STORE_SECONDS)
        if content.is_down:
            return Failure(StoreFailure("down"))
        listing = Listing(content.objects_by_kind[kind], content.revision)
        self.tasks.sleep(len(json.dumps(listing)) / self.settings.link.rate)
        return Success(listing)


def create_services(fleet, node, emit):
    """Create what reads the store and tells other hosts."""
    kernel, settings = node.kernel, fleet.settings
    create_event = fleet.tasks.create_event
    metrics.create(kernel)
    known = node.document_cache = document_cache.create(
        kernel, settings.decode_by_kind(emit)
    )
    own = members.OwnHost(node.address, node.zone, "r", node.owner[1], CAPACITY)
    node.members = members.create(kernel, own, lambda: known.age(CONFIGURATION))
    rate_limit_settings = rate_limits.RateLimitSettings(True, 1, 5.0, own.incarnation)
    node.rate_limits = rate_limits.create(
        kernel, rate_limit_settings, node.members.mesh_coverage
    )
    poison_requests.create(kernel)
    queues.create(kernel, create_event)
    upstreams.create(kernel, node.zone, lambda: 1)
    send = partial(fleet.send, node)
    send_queues.create(kernel, settings.link.rate, create_event, send)
    gossip_builders.create(kernel, documents.CODEC)
    document_fetchers.create(
        kernel, partial(fleet.fetch, node.address), documents.CODEC
    )
    gossip_settings = gossip.GossipSettings(lambda: SEEDS, 1)
    node.gossip = gossip.create(kernel, gossip_settings, create_event, send)
    node.directories = directories.create(kernel)
    anti_entropy.create(kernel)
    if fleet.content is not None:
        kernel.register("store", Store(fleet.list_all))
        store_readers.create(
            kernel,
            documents.CODEC,
            settings.split,
            node.gossip.reader_rank,
            node.gossip.startup_delay,
            node.gossip.share_read,
        )

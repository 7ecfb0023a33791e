"""Real gateway hosts on a simulated clock, over links of limited rate and queue.

Each host runs its store readers and its gossip as tasks. Datagrams queue for the link
and are dropped when the queue is full, as on the small hosts of a large fleet.
"""

import json
import random
from functools import partial
from typing import Any, NamedTuple

from returns.result import Failure, Success

from trefoilpin import metrics
from trefoilpin.fakes.fleet_stores import (
    STORE_LATENCY_SECONDS,
    StoreContent,
    create_object_calls,
)
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.gateway.admission import (
    account_usage,
    poison_requests,
    pool_pressure,
    queues,
    rate_limits,
    retry_budgets,
)
from trefoilpin.gateway.balancing import cold_checks, upstreams
from trefoilpin.gateway.fleet import (
    anti_entropy,
    directories,
    document_fetchers,
    gossip,
    gossip_builders,
    gossip_codecs,
    members,
    send_queues,
)
from trefoilpin.gateway.rollouts import coordinators, rollouts
from trefoilpin.gateway.store import (
    document_cache,
    documents,
    leases,
    store_readers,
)
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.gateway.store.stores import Listing, Store, StoreFailure
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.services import Events

__all__ = ["RETRY_BOUNDS", "SEEDS", "Fleet", "FleetSettings", "Link", "StoreContent"]

NETWORK_LATENCY_SECONDS = 0.001
# Bytes that a fetch on its own connection needs beside the document, and processor
# time that a small host needs to accept and answer it.
FETCH_OVERHEAD_BYTES = 300
FETCH_SERVICE_SECONDS = 0.01
# Longest delay from a datagram's arrival until its task runs on a busy host.
MAX_WAKE_UP_SECONDS = 0.03
# Fractional, like capacities derived from link rates and processor shares.
CAPACITY = 104.17
RETRY_BOUNDS = retry_budgets.RetryBounds(0.2, 60.0, 10.0)
SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Link(NamedTuple):
    """Capacity of a host's link in each direction.

    Attributes
    ----------
    rate : float
        Bytes per second.
    queue : int
        Limit of queued bytes; datagrams beyond it are dropped.
    """

    rate: float
    queue: int


UNCONGESTED_LINK = Link(125_000_000.0, 100_000_000)


def decode_by_kind(emit):
    """Return decoders that take a document's value from its row ``value``."""

    def decode(rows):
        return Success(rows.get("value"))

    decoders = dict.fromkeys(document_cache.KINDS, decode)
    decoders[UPSTREAMS] = lambda rows: Success({})
    return decoders


def split(kind, name, content):
    """Return an object as a single row."""
    return {name: content}


class FleetSettings(NamedTuple):
    """Parameters of a simulated fleet.

    Attributes
    ----------
    link : Link
    lost : float
        Share of datagrams that the network loses.
    seed : int
    split, decode_by_kind : callable
        As in ``daemons.Adapter``.
    rollout_bounds : RolloutBounds or None
        As in ``daemons.GatewaySettings``.
    is_first_start : bool
        Whether the system of these hosts starts for the first time.
    counts_senders : bool
        Whether the hosts that send requests are those that ``gossip`` counts; otherwise
        each host takes itself for the only one.
    """

    link: Link = UNCONGESTED_LINK
    lost: float = 0.0
    seed: int = 5
    split: Any = split
    decode_by_kind: Any = decode_by_kind
    rollout_bounds: Any = None
    counts_senders: bool = False
    is_first_start: bool = False


class Node:
    """One host: its services, and when its link, reader and server are free again."""

    def __init__(self, address, zone, incarnation, kernel):
        self.address = address
        self.zone = zone
        self.owner = (address, incarnation)
        self.kernel = kernel
        self.lines: list = []
        self.link_free_at = float("-inf")
        self.server_free_at = float("-inf")
        self.reader_free_at = float("-inf")
        self.sent_bytes = 0
        self.lost_datagrams = 0
        self.document_cache: Any = None
        self.members: Any = None
        self.rate_limits: Any = None
        self.gossip: Any = None
        self.directories: Any = None

    def put(self, kind, revision, value):
        """Apply a document on the host without a read of the store."""
        return self.document_cache.apply_document(
            kind, revision, {"value": value}, 0.0, "store"
        )


class Fleet:
    """Hosts, the store and the network between them.

    While ``cut`` is not empty, the network is partitioned between the addresses in it
    and all others; each host in ``isolated`` reaches no other one.
    ``on_datagram(source, target, size)`` is called for each datagram.
    """

    def __init__(self, settings=FleetSettings(), content=None):
        self.settings = settings
        self.content = content
        self.loop = LoopState(settings.seed)
        self.rng = self.loop.rng
        # Draws of their own, so that calls for leases leave all others as they are.
        self.object_rng = random.Random(settings.seed)
        self.tasks = create_tasks(self.loop)
        self.cut: frozenset[str] = frozenset()
        self.isolated: frozenset[str] = frozenset()
        self.fetch_count = 0
        self.on_datagram = lambda source, target, size: None
        self.nodes: dict[str, Node] = {}

    def start(self, number, zone, incarnation=1):
        """Start or restart a host."""
        address = f"10.0.{number // 250}.{number % 250}"
        return self.start_at(address, zone, incarnation)

    def start_at(self, address, zone, incarnation=1):
        """Start or restart the host with an address."""
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
        """Start a host after a delay."""

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

    def is_connected(self, source, target):
        if source in self.isolated or target in self.isolated:
            return False
        return (source in self.cut) == (target in self.cut)

    def send(self, node, target, message):
        """Queue a datagram on a host's link and return its size in bytes."""
        data = gossip_codecs.encode(message)
        self.on_datagram(node.address, target, len(data))
        queue_delay = max(node.link_free_at - self.loop.now, 0.0)
        if queue_delay * self.settings.link.rate + len(data) > self.settings.link.queue:
            node.lost_datagrams += 1
            return len(data)
        seconds = self.reserve_link(node, len(data))
        is_lost = self.rng.random() < self.settings.lost
        if self.is_connected(node.address, target) and not is_lost:
            arrives_at = self.loop.now + seconds
            self.tasks.spawn(None, self.deliver, arrives_at, node.address, target, data)
        return len(data)

    def deliver(self, arrives_at, source, target, data):
        """Bring a datagram to a host, which reads it once it runs."""
        self.tasks.sleep(arrives_at - self.loop.now)
        node = self.nodes.get(target)
        if node is not None:
            self.tasks.spawn(
                node.owner, self.read_datagram, arrives_at, source, target, data
            )

    def read_datagram(self, arrived_at, source, target, data):
        """Have a host read a datagram, after those that arrived earlier."""
        node = self.nodes.get(target)
        if node is None:
            return
        woken_at = self.loop.now + MAX_WAKE_UP_SECONDS * self.rng.random()
        node.reader_free_at = max(node.reader_free_at, woken_at)
        self.tasks.sleep(node.reader_free_at - self.loop.now)
        node = self.nodes.get(target)
        if node is not None:
            message = gossip_codecs.decode(data).unwrap()
            node.gossip.receive(source, message, self.loop.now - arrived_at)

    def reserve_link(self, node, size):
        """Occupy a host's link; return the seconds until the bytes have arrived."""
        node.sent_bytes += size
        node.link_free_at = (
            max(node.link_free_at, self.loop.now) + size / self.settings.link.rate
        )
        return node.link_free_at - self.loop.now + NETWORK_LATENCY_SECONDS

    def fetch(self, source, target, kind, base):
        """Fetch a document from another host, taking the simulated time."""
        self.fetch_count += 1
        self.tasks.sleep(
            2 * NETWORK_LATENCY_SECONDS + FETCH_OVERHEAD_BYTES / self.settings.link.rate
        )
        node = self.nodes.get(target)
        if node is None or not self.is_connected(source, target):
            return Failure("no connection")
        node.server_free_at = (
            max(node.server_free_at, self.loop.now) + FETCH_SERVICE_SECONDS
        )
        self.tasks.sleep(node.server_free_at - self.loop.now)
        document = node.kernel.find("gossip_builders").build_document(kind, base)
        size = len(gossip_codecs.encode_document(document)) + FETCH_OVERHEAD_BYTES
        self.tasks.sleep(self.reserve_link(node, size))
        return Success(document)

    def list_all(self, address, kind):
        """List the objects of a kind in the store for a host."""
        content = self.content
        content.calls += 1
        self.tasks.sleep(STORE_LATENCY_SECONDS)
        if content.is_down or address in content.refused:
            return Failure(StoreFailure("store unavailable"))
        listing = Listing(content.objects_by_kind[kind], content.revision, content.era)
        self.tasks.sleep(len(json.dumps(listing)) / self.settings.link.rate)
        return Success(listing)

    def write_status(self, address, kind, name, content, status):
        """Write the status of an object for a host, if it has not changed."""
        store = self.content
        self.tasks.sleep(STORE_LATENCY_SECONDS)
        if store.is_down or address in store.refused:
            return Failure(StoreFailure("store unavailable"))
        stored = store.objects_by_kind[kind].get(name)
        if stored is None or stored["metadata"] != content["metadata"]:
            return Failure(StoreFailure("the object changed", True))
        store.put_order(name, stored["spec"], status)
        return Success(None)


def create_services(fleet, node, emit):
    """Create the services that read the store and gossip with other hosts."""
    kernel, settings = node.kernel, fleet.settings
    create_event = fleet.tasks.create_event
    metrics.create(kernel)
    cache = node.document_cache = document_cache.create(
        kernel, settings.decode_by_kind(emit)
    )
    own = members.OwnHost(node.address, node.zone, "r", node.owner[1], CAPACITY)
    node.members = members.create(kernel, own, lambda: cache.age(CONFIGURATION))
    rate_limit_settings = rate_limits.RateLimitSettings(True, 1, 5.0, own.incarnation)
    node.rate_limits = rate_limits.create(
        kernel, rate_limit_settings, node.members.mesh_coverage
    )
    poison_requests.create(kernel)
    account_usage.create(kernel)
    node.pool_pressure = pool_pressure.create(kernel)
    queues.create(kernel, create_event)
    retry_budgets.create(kernel, RETRY_BOUNDS, create_event)
    checks = cold_checks.create(
        kernel,
        node.zone,
        node.members.is_store_away,
        lambda: not settings.counts_senders or node.gossip.is_sender(),
        node.members.known_hosts,
    )
    if settings.counts_senders:
        upstreams.create(
            kernel,
            node.zone,
            lambda: node.gossip.sender_count(),
            lambda: node.gossip.is_sender(),
            lambda: node.gossip.zone_sender_count(),
            checks,
        )
    else:
        upstreams.create(kernel, node.zone, lambda: 1, cold_checks=checks)
    bounds = settings.rollout_bounds
    versions = None if bounds is None else rollouts.create(kernel, own)
    send = partial(fleet.send, node)
    send_queues.create(kernel, settings.link.rate, create_event, send)
    gossip_builders.create(kernel, documents.CODEC, versions)
    document_fetchers.create(
        kernel, partial(fleet.fetch, node.address), documents.CODEC
    )
    gossip_settings = gossip.GossipSettings(lambda: SEEDS, 1)
    node.gossip = gossip.create(kernel, gossip_settings, create_event, send, versions)
    node.directories = directories.create(kernel)
    anti_entropy.create(kernel)
    if fleet.content is not None:
        store = Store(
            partial(fleet.list_all, node.address),
            partial(fleet.write_status, node.address),
            *create_object_calls(
                fleet.tasks, fleet.object_rng, fleet.content, node.address
            ),
        )
        kernel.register("store", store)
        store_readers.create(
            kernel,
            documents.CODEC,
            settings.split,
            node.gossip.reader_rank,
            node.gossip.startup_delay,
            node.gossip.share_read,
        )
        holder = leases.LeaseHolder(node.address, own.incarnation)
        leases.create(
            kernel,
            holder,
            node.gossip.is_first_reader,
            settings.is_first_start,
            kernel.find("retry_budgets").handover,
        )
        if bounds is not None:
            rank, delay = node.gossip.reader_rank, node.gossip.startup_delay
            coordinators.create(kernel, bounds, rank, delay)

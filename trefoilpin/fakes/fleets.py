"""Hosts with the real fleet services, and fakes of membership and notices."""

import random

from trefoilpin import (
    checks,
    codecs,
    configurations,
    hashes,
    keys,
    memberships,
    notices,
    snapshots,
    tickets,
)
from trefoilpin.fakes import loops
from trefoilpin.records import Host
from trefoilpin.services import Memberships, Notice, Notices

__all__ = [
    "FleetView",
    "LoopHost",
    "NoticeStore",
    "advance",
    "create_host",
    "create_hosts",
    "create_memberships",
    "create_notices",
    "run_gossip_round",
]

SNAPSHOT_CODEC = snapshots.SnapshotCodec(
    codecs.encode_ticket_text,
    codecs.decode_ticket_text,
    codecs.encode_versions,
    codecs.decode_versions,
)


class LoopHost:
    """One host in a single-threaded simulation, and when its periodic steps are due."""

    def __init__(self, kernel, address):
        self.kernel = kernel
        self.address = address
        self.pull_at = 0.0
        self.watch_at = 0.0


def create_host(network, store, name, zone, incarnation=None, seeds=()):
    """Create the fleet services of one host in a single-threaded simulation.

    Parameters
    ----------
    network : Network
    store : Store
    name, zone : str
    incarnation : str, optional
        Defaults to the name.
    seeds : sequence of str
        Peer addresses to contact while the roster is unknown.

    Returns
    -------
    Kernel
        Has every service up to ``keys`` registered.
    """
    kernel = loops.create_host_kernel(network.state)
    incarnation = incarnation or name
    address = f"peer-{incarnation}"
    kernel.register("store", store)
    kernel.register("peers", network.connect(address, incarnation))
    configurations.create(kernel)
    notices.create(kernel, incarnation)
    own = Host(incarnation, name, zone, "default", f"caller-{incarnation}", address)
    memberships.create(kernel, own, seeds)
    snapshots.create(kernel, SNAPSHOT_CODEC)
    tickets.create(kernel, checks.check)
    keys.create(kernel)
    return kernel


def create_hosts(network, count, store=None):
    """Create and enroll hosts in three zones; return their ``LoopHost`` by name."""
    store = store or loops.create_store(network.state)[0]
    host_by_name = {}
    for number in range(count):
        name = f"h{number:03d}"
        kernel = create_host(network, store, name, "abc"[number % 3])
        host_by_name[name] = LoopHost(kernel, f"peer-{name}")
    for host in host_by_name.values():
        host.kernel.find("memberships").renew_once()
        host.kernel.find("tickets").next_number()
    return host_by_name


def advance(state, host_by_name, seconds, step=0.05):
    """Advance the time, running due steps of hosts that are not frozen or dead."""
    rng, end = state.rng, state.now + seconds
    while state.now < end:
        state.now += step
        hosts = list(host_by_name.values())
        rng.shuffle(hosts)
        for host in hosts:
            if host.address not in state.dead | state.frozen:
                run_due_steps(state, host)


def run_due_steps(state, host):
    """Run the due steps of one host; timeouts of lost calls delay its next pull."""
    if state.now >= host.pull_at:
        state.lost_seconds_by_address[host.address] = 0.0
        service = host.kernel.find("memberships")
        service.renew_once()
        pause = service.pull_once()
        lost = state.lost_seconds_by_address[host.address]
        host.pull_at = state.now + pause + lost
    if state.now >= host.watch_at:
        host.kernel.find("tickets").watch_once()
        pause = tickets.WATCH_INTERVAL_SECONDS * (0.5 + state.rng.random())
        host.watch_at = state.now + pause


class FleetView:
    """The fleet as one host sees it; set by the test."""

    def __init__(self, own, hosts):
        self.own = own
        self.host_by_incarnation = {host.incarnation: host for host in hosts}
        self.absent: set[str] = set()
        self.successor_by_incarnation: dict[str, str] = {}
        self.is_current = True
        self.has_majority = True
        self.subscribers: list = []


def create_memberships(view):
    """Create the service ``memberships`` that returns the state of a view."""

    def live():
        present = set(view.host_by_incarnation) - view.absent
        return tuple(view.host_by_incarnation[name] for name in sorted(present))

    def ranked(name):
        incarnations = [host.incarnation for host in live()]
        ordered = hashes.rank(name, incarnations)
        return tuple(view.host_by_incarnation[item] for item in ordered)

    def age(incarnation):
        return float("inf") if incarnation in view.absent else 0.0

    return Memberships(
        own=lambda: view.own,
        live=live,
        find=view.host_by_incarnation.get,
        age=age,
        is_current=lambda: view.is_current,
        has_majority=lambda: view.has_majority,
        first=lambda name: ranked(name)[0],
        ranked=ranked,
        successor=view.successor_by_incarnation.get,
        subscribe=view.subscribers.append,
    )


class NoticeStore:
    """Notices known to one host."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.notice_by_key: dict[tuple[str, str, str], Notice] = {}
        self.functions_by_topic: dict[str, list] = {}


def merge_notice(notice_store, notice):
    """Store a notice unless one that expires no earlier is stored already."""
    key = (notice.topic, notice.key, notice.publisher)
    existing = notice_store.notice_by_key.get(key)
    if existing is not None and existing.expires_at >= notice.expires_at:
        return
    notice_store.notice_by_key[key] = notice
    for function in notice_store.functions_by_topic.get(notice.topic, ()):
        function(notice)


def create_notices(notice_store, now):
    """Create the service ``notices`` over the notices known to one host."""

    def publish(topic, key, value, lifetime):
        notice = Notice(topic, key, value, notice_store.incarnation, now() + lifetime)
        notice_store.notice_by_key.pop((topic, key, notice_store.incarnation), None)
        merge_notice(notice_store, notice)

    def read(topic):
        found = notice_store.notice_by_key.values()
        return tuple(
            notice
            for notice in found
            if notice.topic == topic and notice.expires_at > now()
        )

    def subscribe(topic, function):
        notice_store.functions_by_topic.setdefault(topic, []).append(function)

    return Notices(publish, read, subscribe)


def run_gossip_round(notice_stores, rng: random.Random, is_delivered):
    """Have each host pull once from a random other one.

    Parameters
    ----------
    notice_stores : sequence of NoticeStore
    rng : random.Random
    is_delivered : callable
        ``is_delivered(sender, receiver)`` says whether a message arrives.
    """
    for notice_store in notice_stores:
        source = rng.choice(notice_stores)
        if source is notice_store or not is_delivered(
            source.incarnation, notice_store.incarnation
        ):
            continue
        for notice in list(source.notice_by_key.values()):
            merge_notice(notice_store, notice)

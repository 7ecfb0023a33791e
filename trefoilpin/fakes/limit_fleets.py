"""Rate limits of many hosts in one process, over a fake network, store and membership.

The services and their tasks are the real ones. Checks read the log of granted and
refused requests.
"""

import random
from functools import partial
from typing import Any, NamedTuple

from returns.result import Failure, Success

from trefoilpin import configurations, limits, quota_owners, unit_holdings, unit_lenders
from trefoilpin.fakes.fleets import (
    FleetView,
    NoticeStore,
    create_memberships,
    create_notices,
    run_gossip_round,
)
from trefoilpin.fakes.loops import LoopState, create_network, create_store
from trefoilpin.fakes.stores import create_objects
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.limit_messages import LimitDurations
from trefoilpin.records import ChangeTicket, Host, ObjectChange
from trefoilpin.services import Events, PeerFailure

__all__ = [
    "LimitHost",
    "add_host",
    "apply_ticket",
    "create_limit_fleet",
    "crash",
    "hand_over",
    "set_absent",
    "start_request",
    "thaw",
]

GOSSIP_INTERVAL_SECONDS = 0.5
MAX_LATENCY_SECONDS = 0.001
REQUEST_DEADLINE_SECONDS = 10.0
MAX_LATE_DELIVERY_SECONDS = 3.0
HAND_OVER_ATTEMPTS = 3


class LimitHost(NamedTuple):
    """One host, with the view and the store faults that a test or benchmark sets."""

    host: Host
    kernel: Any
    view: FleetView
    notice_store: NoticeStore
    faults: Any


class LimitFleet:
    """Hosts, the fakes that they share and the log of requests.

    Attributes
    ----------
    granted, refused : list of (time, account, incarnation, arrival time)
    late_share : float
        Share of calls between hosts that are delivered late and whose replies are lost.
    """

    def __init__(self, seed, durations, units, holders, max_wait):
        self.loop = LoopState(seed)
        self.rng = random.Random(seed)
        self.tasks = create_tasks(self.loop)
        self.network = create_network(self.loop)
        self.objects = create_objects(self.rng)
        self.durations = durations
        self.units = units
        self.holders = holders
        self.max_wait = max_wait
        self.host_by_incarnation: dict[str, LimitHost] = {}
        self.tickets: list[ChangeTicket] = []
        self.granted: list = []
        self.refused: list = []
        self.late_share = 0.0
        self.is_partitioned = lambda sender, receiver: False


def create_limit_fleet(
    seed,
    hosts,
    accounts,
    durations=LimitDurations(),
    units=64,
    holders=16,
    max_wait=0.0,
):
    """Create and start a fleet.

    Parameters
    ----------
    seed, hosts : int
    accounts : sequence of ClientAccount
    durations : LimitDurations
    units, holders : int
    max_wait : float
        Seconds that a request may wait for a token.

    Returns
    -------
    LimitFleet
    """
    fleet = LimitFleet(seed, durations, units, holders, max_wait)
    changes = tuple(ObjectChange("account", item.id, item) for item in accounts)
    fleet.tickets.append(ChangeTicket(1, "", changes))
    names = [f"h{number:02d}" for number in range(hosts)]
    known = [Host(name, name, "a", "r", name, name) for name in names]
    for host in known:
        add_host(fleet, host, known)
    fleet.tasks.spawn(None, run_gossip, fleet)
    return fleet


def run_gossip(fleet):
    """Run a gossip round every ``GOSSIP_INTERVAL_SECONDS``."""

    def is_delivered(sender, receiver):
        unavailable = fleet.loop.dead | fleet.loop.frozen
        if sender in unavailable or receiver in unavailable:
            return False
        return not fleet.is_partitioned(sender, receiver)

    while True:
        notice_stores = [
            host.notice_store for host in fleet.host_by_incarnation.values()
        ]
        run_gossip_round(notice_stores, fleet.rng, is_delivered)
        fleet.tasks.sleep(GOSSIP_INTERVAL_SECONDS)


def connect(fleet, host):
    """Return the host's peers, whose calls have latency and may be lost or late."""
    peers = fleet.network.connect(host.peer_address, host.incarnation)
    tasks, rng = fleet.tasks, fleet.rng

    def deliver_late(address, method, message):
        tasks.sleep(rng.random() * MAX_LATE_DELIVERY_SECONDS)
        peers.call(address, method, message, 0)

    def call(address, method, message, timeout):
        sent_at = fleet.loop.now
        tasks.sleep(MAX_LATENCY_SECONDS * rng.random())
        if rng.random() < fleet.late_share:
            tasks.spawn(None, deliver_late, address, method, message)
            tasks.sleep(timeout)
            return Failure(PeerFailure(True, "timeout"))
        if fleet.is_partitioned(host.incarnation, address):
            tasks.sleep(timeout)
            return Failure(PeerFailure(True, "timeout"))
        result = peers.call(address, method, message, timeout)
        is_reply_lost = fleet.is_partitioned(address, host.incarnation)
        if is_reply_lost or (
            isinstance(result, Failure) and result.failure().may_have_arrived
        ):
            tasks.sleep(timeout)
            return Failure(PeerFailure(True, "timeout"))
        tasks.sleep(MAX_LATENCY_SECONDS * rng.random())
        if fleet.loop.now - sent_at > timeout:
            return Failure(PeerFailure(True, "timeout"))
        return result

    return peers._replace(call=call)


def read_store_age(fleet):
    """Return 0 while the store is up for any host, and infinity otherwise."""
    hosts = fleet.host_by_incarnation.values()
    return float("inf") if all(host.faults.down for host in hosts) else 0.0


def add_host(fleet, host, known):
    """Start a host that knows the given hosts."""
    loop, tasks = fleet.loop, fleet.tasks
    clock = Clock(lambda: loop.now, lambda: loop.now, tasks.sleep)
    spawn = partial(tasks.spawn, host.incarnation)
    kernel = create_kernel(clock, spawn, random.Random(fleet.rng.random()))
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    store, faults, _ = create_store(loop, fleet.objects)
    view, notice_store = FleetView(host, known), NoticeStore(host.incarnation)
    kernel.register("store", store)
    memberships = create_memberships(view)
    age = partial(read_store_age, fleet)
    kernel.register("memberships", memberships._replace(store_age=age))
    kernel.register("notices", create_notices(notice_store, lambda: loop.now))
    kernel.register("peers", connect(fleet, host))
    configurations.create(kernel)
    unit_holdings.create(kernel, fleet.durations, fleet.units, fleet.holders)
    unit_lenders.create(kernel, fleet.durations)
    quota_owners.create(kernel, fleet.durations)
    limits.create(kernel, fleet.durations, tasks.create_event, fleet.max_wait)
    limit_host = LimitHost(host, kernel, view, notice_store, faults)
    fleet.host_by_incarnation[host.incarnation] = limit_host
    for ticket in fleet.tickets:
        kernel.find("configurations").apply(ticket)
    kernel.start()
    return limit_host


def apply_ticket(fleet, account, delay):
    """Apply an account's new state on each host after a random delay."""
    change = ObjectChange("account", account.id, account)
    ticket = ChangeTicket(len(fleet.tickets) + 1, "", (change,))
    fleet.tickets.append(ticket)

    def apply_later(limit_host):
        fleet.tasks.sleep(fleet.rng.random() * delay)
        limit_host.kernel.find("configurations").apply(ticket)

    for incarnation, limit_host in fleet.host_by_incarnation.items():
        fleet.tasks.spawn(incarnation, apply_later, limit_host)


def set_absent(fleet, incarnation, absent, seen_by=None):
    """Mark a host as absent or present in the views of other hosts."""
    for limit_host in list(fleet.host_by_incarnation.values()):
        own = limit_host.host.incarnation
        if own == incarnation or (seen_by is not None and own not in seen_by):
            continue
        if absent:
            limit_host.view.absent.add(incarnation)
        else:
            limit_host.view.absent.discard(incarnation)
        for function in limit_host.view.subscribers:
            function()


def crash(fleet, incarnation, detection):
    """Kill a host; the others see it as absent after ``detection`` seconds."""
    fleet.loop.dead.add(incarnation)

    def detect():
        fleet.tasks.sleep(detection)
        set_absent(fleet, incarnation, True)

    fleet.tasks.spawn(None, detect)


def start_request(fleet, incarnation, account_id):
    """Send a request to a host and log its outcome."""
    limit_host = fleet.host_by_incarnation[incarnation]
    accounts = limit_host.kernel.find("configurations").accounts_by_id

    def request():
        arrived_at = fleet.loop.now
        deadline = arrived_at + REQUEST_DEADLINE_SECONDS
        outcome = limit_host.kernel.find("limits").admit(accounts[account_id], deadline)
        granted = isinstance(outcome, Success)
        log = fleet.granted if granted else fleet.refused
        log.append((fleet.loop.now, account_id, incarnation, arrived_at))

    fleet.tasks.spawn(incarnation, request)


def thaw(fleet, incarnation):
    """Resume a frozen host, with all tickets applied.

    A real host also applies the tickets that it missed before it becomes current.
    """
    limit_host = fleet.host_by_incarnation[incarnation]
    for ticket in fleet.tickets:
        limit_host.kernel.find("configurations").apply(ticket)
    fleet.loop.frozen.discard(incarnation)


def hand_over(fleet, leaver, successor):
    """Shut down a host: remove it from all views, hand over its units and end it."""
    if leaver == successor:
        return
    leaving = fleet.host_by_incarnation[leaver]
    target = fleet.host_by_incarnation[successor].host

    def stop():
        set_absent(fleet, leaver, True)
        hand_over_units = leaving.kernel.find("unit_holdings").hand_over
        for _ in range(HAND_OVER_ATTEMPTS):
            if hand_over_units(target):
                break
        fleet.loop.dead.add(leaver)

    fleet.tasks.spawn(leaver, stop)

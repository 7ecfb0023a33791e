"""Discrete-event simulation of many hosts and their upstreams.

The real functions of the hosts run in one process, over ``fakes.loops`` and
``fakes.fleets``. Upstreams are the models of ``fakes.models``. Tests and benchmarks
of the load balancing use it.
"""

import heapq
import math
from typing import Any, NamedTuple

from returns.result import Success

from trefoilpin import (
    attempts,
    balancers,
    configurations,
    coordinator_handovers,
    coordinators,
    drains,
    health,
    slow_starts,
    upstream_states,
)
from trefoilpin.fakes import fleets, loops
from trefoilpin.fakes.models import ModelUpstream, concurrency_limit
from trefoilpin.kernel import Kernel
from trefoilpin.messages import Answer, Attempt
from trefoilpin.records import (
    AvailabilityZone,
    ChangeTicket,
    Host,
    ObjectChange,
    Pool,
    Route,
    Upstream,
)
from trefoilpin.services import Queues
from trefoilpin.upstream_states import State
from trefoilpin.verdicts import Reason, Verdict

__all__ = [
    "ModelUpstream",
    "PoolHost",
    "World",
    "create_world",
    "drive",
    "make_pool",
    "request",
    "run_until",
    "submit",
    "warm_up",
]

FRESH_SECONDS = 4.0
LIVE_SECONDS = 8.0
DEADLINE_SECONDS = 10.0
REPORT_INTERVAL_SECONDS = 1.0
STEP_INTERVAL_SECONDS = 0.25
PULL_INTERVAL_SECONDS = 0.4
RETRY_DELAY_SECONDS = 0.1
COLD_LOAD_LATENCY_FACTOR = 3.0
ZONES = ("a", "b", "c")


class PoolHost(NamedTuple):
    """One host: its services, its view of the fleet and its notices."""

    host: Host
    kernel: Kernel
    view: fleets.FleetView
    notice_store: fleets.NoticeStore
    find: Any


class World:
    """State of one simulation."""

    def __init__(self, seed):
        self.state = loops.LoopState(seed)
        self.network = loops.create_network(self.state)
        self.store, self.store_faults, self.objects = loops.create_store(self.state)
        self.hosts: list[PoolHost] = []
        self.model_by_id: dict[tuple[str, str], ModelUpstream] = {}
        self.pools: dict[str, Pool] = {}
        self.queue: list = []
        self.event_sequence = 0
        self.ticket_number = 0
        self.lines: list = []
        self.ranking_by_key: dict = {}
        self.refused = 0
        self.failed = 0
        self.answered = 0
        self.unreachable: set[tuple[str, str]] = set()


def make_pool(name, count, slots, floor, zones=ZONES, connections=350):
    """Return a pool whose upstreams are distributed over three zones."""
    upstreams = tuple(
        Upstream(f"{name}{number}", f"10.0.0.{number}:80", zones[number % 3], slots)
        for number in range(count)
    )
    return Pool(name, upstreams, floor, connections)


def create_world(seed, host_count, pools, median=0.05, sigma=0.5, region="r"):
    """Create hosts, and models of the pools' upstreams.

    Parameters
    ----------
    seed : int
    host_count : int
    pools : tuple of Pool
    median, sigma : float
        Parameters of the log-normal latency distribution; the median is in seconds.
    region : str

    Returns
    -------
    World
    """
    world = World(seed)
    hosts = [
        Host(
            f"i{number:02}",
            f"h{number:02}",
            ZONES[number % 3],
            region,
            "",
            f"p{number}",
        )
        for number in range(host_count)
    ]
    for host in hosts:
        world.hosts.append(create_host(world, host, hosts))
    for pool in pools:
        for upstream in pool.upstreams:
            model = ModelUpstream(upstream, median, sigma)
            world.model_by_id[(pool.id, upstream.id)] = model
    for number, pool_host in enumerate(world.hosts):
        offset = number / host_count
        repeat(
            world,
            pool_host,
            REPORT_INTERVAL_SECONDS,
            offset,
            pool_host.find("health").report,
        )
        repeat(
            world,
            pool_host,
            STEP_INTERVAL_SECONDS,
            offset,
            pool_host.find("coordinators").step,
        )
        repeat(
            world,
            pool_host,
            STEP_INTERVAL_SECONDS,
            offset,
            pool_host.find("coordinator_handovers").step,
        )
        repeat(
            world,
            pool_host,
            REPORT_INTERVAL_SECONDS,
            offset,
            pool_host.find("drains").read_list,
        )
        repeat(
            world,
            pool_host,
            PULL_INTERVAL_SECONDS,
            offset,
            pull_notices,
            world,
            pool_host,
        )
    zones = [AvailabilityZone(zone, region) for zone in ZONES]
    routes = [Route(pool.id, "", f"/{pool.id}", (), pool.id) for pool in pools]
    submit(world, *zones, *pools, *routes)
    return world


def create_host(world, host, hosts):
    """Create one host's services in the same order as the daemon."""

    def emit(event, **fields):
        world.lines.append((world.state.now, host.name, event.name, fields))

    kernel = loops.create_host_kernel(
        world.state, emit, lambda function, *arguments: function(*arguments)
    )
    view = fleets.FleetView(host, hosts)
    notice_store = fleets.NoticeStore(host.incarnation)
    kernel.register("store", world.store)
    kernel.register("memberships", create_memberships(world, view))
    kernel.register("notices", fleets.create_notices(notice_store, kernel.clock.now))
    peers = world.network.connect(host.peer_address, host.incarnation)
    kernel.register("peers", peers)
    configurations.create(kernel)
    queues = Queues(lambda pool, account, deadline, choose: choose(), lambda pool: None)
    kernel.register("queues", queues)
    drains.create(kernel)
    upstream_states.create(kernel)
    slow_starts.create(kernel, FRESH_SECONDS)
    attempts.create(kernel)
    coordinators.create(kernel)
    health.create(kernel)
    coordinator_handovers.create(kernel)
    balancers.create(kernel)
    return PoolHost(host, kernel, view, notice_store, kernel.find)


def create_memberships(world, view):
    """Create the fake membership with cached rankings."""
    memberships = fleets.create_memberships(view)

    def ranked(name):
        key = (name, frozenset(view.absent))
        if key not in world.ranking_by_key:
            world.ranking_by_key[key] = memberships.ranked(name)
        return world.ranking_by_key[key]

    def first(name):
        return ranked(name)[0]

    def roster():
        return tuple(view.host_by_incarnation.values())

    return memberships._replace(first=first, ranked=ranked, roster=roster)


KIND_BY_TYPE = {AvailabilityZone: "zone", Pool: "pool", Route: "route"}


def submit(world, *records):
    """Apply a ticket with the given records on every host."""
    world.ticket_number += 1
    changes = tuple(
        ObjectChange(KIND_BY_TYPE[type(record)], record.id, record)
        for record in records
    )
    ticket = ChangeTicket(world.ticket_number, "", changes)
    for record in records:
        if isinstance(record, Pool):
            world.pools[record.id] = record
    for pool_host in world.hosts:
        pool_host.find("configurations").apply(ticket)


def warm_up(world):
    """Mark every upstream as warm on every host, as after a long run."""
    for pool_host in world.hosts:
        for pool in world.pools.values():
            for upstream in pool.upstreams:
                pool_host.find("upstream_states").set_state(
                    pool.id, upstream.id, State.WARM
                )


def push(world, at, function):
    """Schedule a function call."""
    world.event_sequence += 1
    heapq.heappush(world.queue, (at, world.event_sequence, function))


def drive(world, pool, rate, until, accounts=("hielo",), weights=None, tries=1):
    """Send requests through random hosts, as a Poisson process, until a point in time.

    A refused or shed request is retried through the same host after a delay.

    Parameters
    ----------
    world : World
    pool : str
    rate : float
        Requests per second.
    until : float
    accounts : sequence of str
    weights : sequence of float, optional
    tries : int
    """
    rng = world.state.rng

    def arrive():
        if world.state.now >= until:
            return
        push(world, world.state.now + rng.expovariate(rate), arrive)
        pool_host = rng.choice(world.hosts)
        account = rng.choices(accounts, weights)[0]
        send_request(pool_host, account, f"{rng.getrandbits(64):016x}", tries)

    def send_request(pool_host, account, fingerprint, tries_left):
        def done(attempt):
            if attempt.verdict is Verdict.NOT_RUN and tries_left > 1:
                retry_later(pool_host, account, fingerprint, tries_left)
            elif attempt.answer is not None and attempt.answer.status < 500:
                world.answered += 1
            else:
                world.failed += 1

        if request(world, pool_host, pool, account, fingerprint, done):
            return
        if tries_left > 1:
            retry_later(pool_host, account, fingerprint, tries_left)
        else:
            world.refused += 1

    def retry_later(pool_host, account, fingerprint, tries_left):
        at = world.state.now + RETRY_DELAY_SECONDS
        push(
            world,
            at,
            lambda: send_request(pool_host, account, fingerprint, tries_left - 1),
        )

    push(world, world.state.now + rng.expovariate(rate), arrive)


def run_until(world, at):
    """Run all events that are due by a point in time, and advance the time to it."""
    while world.queue and world.queue[0][0] <= at:
        when, _, function = heapq.heappop(world.queue)
        world.state.now = max(world.state.now, when)
        function()
    world.state.now = max(world.state.now, at)


def repeat(world, pool_host, seconds, offset, function, *arguments):
    """Run a step of a host periodically, except while the host is frozen or dead."""

    def run_and_reschedule():
        push(world, world.state.now + seconds, run_and_reschedule)
        address = pool_host.host.peer_address
        if address not in world.state.dead and address not in world.state.frozen:
            function(*arguments)

    push(world, world.state.now + offset * seconds, run_and_reschedule)


def pull_notices(world, pool_host):
    """Have one host pull the notices of a random host."""
    source = world.state.rng.choice(world.hosts)
    pair = (source.host.peer_address, pool_host.host.peer_address)
    if pair[0] in world.state.dead or pair in world.state.cut_pairs:
        return
    for notice in list(source.notice_store.notice_by_key.values()):
        fleets.merge_notice(pool_host.notice_store, notice)


def request(world, pool_host, pool, account="hielo", fingerprint="", done=None):
    """Send one request through a host; return False when it was refused.

    Parameters
    ----------
    world : World
    pool_host : PoolHost
    pool : str
    account, fingerprint : str
    done : callable, optional
        ``done(attempt)`` is called when the attempt ends.
    """
    service = pool_host.find("balancers")
    record = pool_host.find("configurations").pools_by_id[pool]
    chosen = service.choose(record, frozenset(), account)
    if not isinstance(chosen, Success):
        return False
    choice = chosen.unwrap()
    model = world.model_by_id[(pool, choice.upstream.id)]
    attempt = start_attempt(world, pool_host, model)

    def end():
        if not attempt.shed and attempt.reason is not Reason.UPSTREAM_UNREACHABLE:
            model.in_flight -= 1
        service.release(choice, attempt, account, fingerprint)
        if done is not None:
            done(attempt)

    push(world, world.state.now + attempt.seconds, end)
    return True


def start_attempt(world, pool_host, model):
    """Start a request at an upstream; return the ``Attempt`` as it will end."""
    rng = world.state.rng
    now = world.state.now
    if (pool_host.host.name, model.upstream.id) in world.unreachable:
        return failed(Reason.UPSTREAM_UNREACHABLE, 1.0, Verdict.NOT_RUN)
    if model.in_flight >= model.upstream.slots:
        model.sheds += 1
        answer = Answer(503, (), b"")
        return Attempt(Verdict.NOT_RUN, answer, None, "", 0.001, shed=True)
    model.in_flight += 1
    model.starts.append(now)
    model.peak = max(model.peak, model.in_flight)
    limit = concurrency_limit(model, now)
    excess = model.in_flight - limit
    model.peak_cold_excess = max(model.peak_cold_excess, excess)
    seconds = model.median * math.exp(rng.gauss(0, model.sigma)) * model.latency_factor
    if model.in_flight > limit / 2 and limit < model.upstream.slots:
        seconds *= COLD_LOAD_LATENCY_FACTOR
    fault = model.fault(rng) if model.fault else None
    if fault == "unreachable":
        model.in_flight -= 1
        return failed(Reason.UPSTREAM_UNREACHABLE, 0.001, Verdict.NOT_RUN)
    if fault == "reset":
        return failed(Reason.UPSTREAM_BROKEN, seconds)
    if fault == "stall" or seconds > DEADLINE_SECONDS:
        return failed(Reason.UPSTREAM_TIMEOUT, DEADLINE_SECONDS)
    answer = Answer(500 if fault == "error" else 200, (), b"")
    return Attempt(Verdict.RAN, answer, None, "", seconds, draining=model.draining)


def failed(reason, seconds, verdict=Verdict.MAY_HAVE_RUN):
    """Return an attempt without an answer."""
    is_connection_broken = reason is Reason.UPSTREAM_BROKEN
    return Attempt(
        verdict, None, reason, "", seconds, broke_connection=is_connection_broken
    )

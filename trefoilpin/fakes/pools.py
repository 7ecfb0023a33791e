"""Stand-in of hosts before modelled upstreams, for tests and measures of decisions.

The real functions of many hosts run in one process over ``fakes.loops`` and
``fakes.fleets``. An upstream is a small model: slots, a latency, a fault, and what
it bears while cold. Time moves from event to event.
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
from trefoilpin.fakes.models import ModelUpstream, bears
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
    "HostParts",
    "ModelUpstream",
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
REPORT_SECONDS = 1.0
STEP_SECONDS = 0.25
PULL_SECONDS = 0.4
RETRY_SECONDS = 0.1
SLOW_WHEN_LOADED = 3.0
ZONES = ("a", "b", "c")


class HostParts(NamedTuple):
    """One host's services."""

    host: Host
    kernel: Kernel
    view: fleets.FleetView
    notice_store: fleets.NoticeStore
    find: Any


class World:
    """Everything of one loop."""

    def __init__(self, seed):
        self.state = loops.LoopState(seed)
        self.network = loops.create_network(self.state)
        self.store, self.store_faults, self.objects = loops.create_store(self.state)
        self.hosts: list[HostParts] = []
        self.model_by_id: dict[tuple[str, str], ModelUpstream] = {}
        self.pools: dict[str, Pool] = {}
        self.queue: list = []
        self.order = 0
        self.ticket = 0
        self.lines: list = []
        self.ranked_by_name: dict = {}
        self.refused = 0
        self.failed = 0
        self.answered = 0
        self.unreachable: set[tuple[str, str]] = set()


def make_pool(name, count, slots, floor, zones=ZONES, connections=350):
    """Return a pool whose upstreams are spread over zones."""
    upstreams = tuple(
        Upstream(f"{name}{number}", f"10.0.0.{number}:80", zones[number % 3], slots)
        for number in range(count)
    )
    return Pool(name, upstreams, floor, connections)


def create_world(seed, host_count, pools, median=0.05, sigma=0.5, region="r"):
    """Create hosts, and models of the upstreams of pools.

    Parameters
    ----------
    seed : int
    host_count : int
    pools : tuple of Pool
    median, sigma : float
        Of the latency's log-normal distribution; the median in seconds.
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
    for number, parts in enumerate(world.hosts):
        offset = number / host_count
        repeat(world, parts, REPORT_SECONDS, offset, parts.find("health").report)
        repeat(world, parts, STEP_SECONDS, offset, parts.find("coordinators").step)
        repeat(
            world, parts, STEP_SECONDS, offset, parts.find("coordinator_handovers").step
        )
        repeat(world, parts, REPORT_SECONDS, offset, parts.find("drains").read_list)
        repeat(world, parts, PULL_SECONDS, offset, pull_notices, world, parts)
    zones = [AvailabilityZone(zone, region) for zone in ZONES]
    routes = [Route(pool.id, "", f"/{pool.id}", (), pool.id) for pool in pools]
    submit(world, *zones, *pools, *routes)
    return world


def create_host(world, host, hosts):
    """Create one host's services in the order of the daemon."""

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
    return HostParts(host, kernel, view, notice_store, kernel.find)


def create_memberships(world, view):
    """Create the fake membership, remembering what it ranked."""
    plain = fleets.create_memberships(view)

    def ranked(name):
        key = (name, frozenset(view.absent))
        if key not in world.ranked_by_name:
            world.ranked_by_name[key] = plain.ranked(name)
        return world.ranked_by_name[key]

    def first(name):
        return ranked(name)[0]

    def roster():
        return tuple(view.host_by_incarnation.values())

    return plain._replace(first=first, ranked=ranked, roster=roster)


KIND_BY_TYPE = {AvailabilityZone: "zone", Pool: "pool", Route: "route"}


def submit(world, *records):
    """Put records in force on every host by a ticket."""
    world.ticket += 1
    changes = tuple(
        ObjectChange(KIND_BY_TYPE[type(record)], record.id, record)
        for record in records
    )
    ticket = ChangeTicket(world.ticket, "", changes)
    for record in records:
        if isinstance(record, Pool):
            world.pools[record.id] = record
    for parts in world.hosts:
        parts.find("configurations").apply(ticket)


def warm_up(world):
    """Have every host know every upstream as warm, as after a long run."""
    for parts in world.hosts:
        for pool in world.pools.values():
            for upstream in pool.upstreams:
                parts.find("upstream_states").set_state(
                    pool.id, upstream.id, State.WARM
                )


def push(world, at, function):
    """Have a function called at a time."""
    world.order += 1
    heapq.heappush(world.queue, (at, world.order, function))


def drive(world, pool, rate, until, accounts=("hielo",), weights=None, tries=1):
    """Send requests at random times through random hosts, until a time.

    A refused or shed request is tried again through the same host after a pause.

    Parameters
    ----------
    world : World
    pool : str
    rate : float
        Requests a second.
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
        parts = rng.choice(world.hosts)
        account = rng.choices(accounts, weights)[0]
        attempt_once(parts, account, f"{rng.getrandbits(64):016x}", tries)

    def attempt_once(parts, account, fingerprint, left):
        def done(attempt):
            if attempt.verdict is Verdict.NOT_RUN and left > 1:
                again(parts, account, fingerprint, left)
            elif attempt.answer is not None and attempt.answer.status < 500:
                world.answered += 1
            else:
                world.failed += 1

        if request(world, parts, pool, account, fingerprint, done):
            return
        if left > 1:
            again(parts, account, fingerprint, left)
        else:
            world.refused += 1

    def again(parts, account, fingerprint, left):
        at = world.state.now + RETRY_SECONDS
        push(world, at, lambda: attempt_once(parts, account, fingerprint, left - 1))

    push(world, world.state.now + rng.expovariate(rate), arrive)


def run_until(world, at):
    """Move time on, from event to event."""
    while world.queue and world.queue[0][0] <= at:
        when, _, function = heapq.heappop(world.queue)
        world.state.now = max(world.state.now, when)
        function()
    world.state.now = max(world.state.now, at)


def repeat(world, parts, seconds, offset, function, *arguments):
    """Run one of a host's steps regularly, unless it is frozen or dead."""

    def turn():
        push(world, world.state.now + seconds, turn)
        address = parts.host.peer_address
        if address not in world.state.dead and address not in world.state.frozen:
            function(*arguments)

    push(world, world.state.now + offset * seconds, turn)


def pull_notices(world, parts):
    """Have one host take over the notices of a random other one."""
    source = world.state.rng.choice(world.hosts)
    pair = (source.host.peer_address, parts.host.peer_address)
    if pair[0] in world.state.dead or pair in world.state.cut_pairs:
        return
    for notice in list(source.notice_store.notice_by_key.values()):
        fleets.merge_notice(parts.notice_store, notice)


def request(world, parts, pool, account="hielo", fingerprint="", done=None):
    """Send one request through a host; return False when it was refused.

    Parameters
    ----------
    world : World
    parts : HostParts
    pool : str
    account, fingerprint : str
    done : callable, optional
        ``done(attempt)`` is called at the end.
    """
    service = parts.find("balancers")
    record = parts.find("configurations").pools_by_id[pool]
    chosen = service.choose(record, frozenset(), account)
    if not isinstance(chosen, Success):
        return False
    choice = chosen.unwrap()
    model = world.model_by_id[(pool, choice.upstream.id)]
    attempt = start(world, parts, model)

    def end():
        if not attempt.shed and attempt.reason is not Reason.UPSTREAM_UNREACHABLE:
            model.in_flight -= 1
        service.release(choice, attempt, account, fingerprint)
        if done is not None:
            done(attempt)

    push(world, world.state.now + attempt.seconds, end)
    return True


def start(world, parts, model):
    """Begin a request at an upstream; return the ``Attempt`` as it will end."""
    rng = world.state.rng
    now = world.state.now
    if (parts.host.name, model.upstream.id) in world.unreachable:
        return failed(Reason.UPSTREAM_UNREACHABLE, 1.0, Verdict.NOT_RUN)
    if model.in_flight >= model.upstream.slots:
        model.sheds += 1
        answer = Answer(503, (), b"")
        return Attempt(Verdict.NOT_RUN, answer, None, "", 0.001, shed=True)
    model.in_flight += 1
    model.starts.append(now)
    model.peak = max(model.peak, model.in_flight)
    bearable = bears(model, now)
    excess = model.in_flight - bearable
    model.peak_cold_excess = max(model.peak_cold_excess, excess)
    seconds = model.median * math.exp(rng.gauss(0, model.sigma)) * model.latency_factor
    if model.in_flight > bearable / 2 and bearable < model.upstream.slots:
        seconds *= SLOW_WHEN_LOADED
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
    broke = reason is Reason.UPSTREAM_BROKEN
    return Attempt(verdict, None, reason, "", seconds, broke_connection=broke)

"""Several hosts with the real services for writes, and fakes of all other services.

The fake upstreams record which requests ran, how often, and their answers.
"""

from typing import Any, Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import (
    claim_codecs,
    claims,
    departed_hosts,
    issuers,
    opaque_keys,
    operations,
    poison_requests,
    proxies,
    retries,
    table_transfers,
)
from trefoilpin.answers import AnswerBounds
from trefoilpin.fakes.calls import connect, create_tasks, slow_store
from trefoilpin.fakes.fleets import (
    FleetView,
    NoticeStore,
    create_memberships,
    create_notices,
)
from trefoilpin.fakes.loops import LoopState, create_store
from trefoilpin.kernel import Kernel, create_kernel
from trefoilpin.messages import Answer, Attempt, CallerRequest, Choice
from trefoilpin.metrics import Metrics
from trefoilpin.records import ClientAccount, Host, Pool, Route, Upstream
from trefoilpin.services import (
    Balancers,
    Configurations,
    Events,
    Forwarders,
    Keys,
    Limits,
    Queues,
    Routes,
)
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = [
    "Fleet",
    "Variant",
    "WriterHost",
    "create_fleet",
    "create_stand_ins",
    "request",
]

UPSTREAMS = tuple(Upstream(f"u{n}", f"10.0.0.{n}:80", "a", 6) for n in range(4))
POOL = Pool("dispatcher", UPSTREAMS, 0)
ROUTE = Route("order", "", "/orders", (), POOL.id, deadline=8.0)
NO_UPSTREAM = Refusal(
    Reason.NO_UPSTREAM, Verdict.NOT_RUN, "no upstream is left to try", 1.0
)
ISSUER_BOUNDS = issuers.IssuerBounds(
    max_keys=10_000,
    max_adopted_keys=20_000,
    answers=AnswerBounds(65_536, 1_048_576, 900.0),
)
OPAQUE_BOUNDS = opaque_keys.OpaqueBounds(calls_per_second=1000.0, days=7.0)
SILENT_METRICS = Metrics(*[lambda *arguments: None] * 4)
GONE_AFTER_SECONDS = 3.0
HAND_OVER_TIMEOUT_SECONDS = 10.0


class Variant(NamedTuple):
    """Mechanisms of the write path that a benchmark can switch off.

    ``create_claims(kernel)`` registers ``claims``; ``hand_over`` says whether a
    stopping host hands over its tables.
    """

    create_claims: Callable[[Kernel], Any] = claims.create
    hand_over: bool = True


class UpstreamState:
    """Injected faults, and what ran at the upstreams by operation and by request."""

    def __init__(self):
        self.bodies_by_operation: dict[str, list[bytes]] = {}
        self.ran_requests: set[str] = set()
        self.uncertain_operations: set[str] = set()
        self.answered_by_operation: dict[str, str] = {}
        self.faults: tuple[str, ...] = ("none",)


class WriterHost(NamedTuple):
    """One host: its view of the fleet, its services and its active requests."""

    host: Host
    view: FleetView
    kernel: Kernel
    active: list


class Fleet(NamedTuple):
    """Simulated hosts by incarnation, and the state that they share."""

    state: LoopState
    tasks: Any
    host_by_incarnation: dict[str, WriterHost]
    upstream_state: UpstreamState
    store_faults: Any


def request(request_id, account, key, text, now):
    """Return a caller's write request; the fakes read its account from a header."""
    headers = [("x-account", account)]
    if key is not None:
        headers.append((operations.KEY_HEADER, key))
    body = text.encode()
    return CallerRequest(
        request_id,
        "POST",
        "",
        "/orders",
        "",
        tuple(headers),
        body,
        "",
        now,
        lambda: False,
    )


def name_operation(caller_request):
    """Return the identifier of the operation that a request belongs to."""
    key = caller_request.header(operations.KEY_HEADER) or caller_request.request_id
    return f"{caller_request.header('x-account')} {key}"


def create_exchange(tasks, upstream_state, incarnation):
    """Return the function ``exchange`` of a forwarder to the fake upstreams."""
    state = tasks.loop.state

    def run(caller_request):
        operation = name_operation(caller_request)
        bodies = upstream_state.bodies_by_operation.setdefault(operation, [])
        bodies.append(f"{operation} {len(bodies)}".encode())
        upstream_state.ran_requests.add(caller_request.request_id)
        return bodies[-1]

    def fail(verdict, reason, is_connection_broken=False):
        return Attempt(
            verdict, None, reason, "fault", 0.0, broke_connection=is_connection_broken
        )

    def exchange(upstream, caller_request, deadline, idempotent):
        upstream_state.uncertain_operations.add(name_operation(caller_request))
        attempt = exchange_once(caller_request)
        if attempt.verdict is not Verdict.MAY_HAVE_RUN:
            upstream_state.uncertain_operations.discard(name_operation(caller_request))
        return attempt

    def exchange_once(caller_request):
        tasks.clock.sleep(state.rng.uniform(0.0, 0.05))
        fault = state.rng.choice(upstream_state.faults)
        if fault == "unreachable":
            return fail(Verdict.NOT_RUN, Reason.UPSTREAM_UNREACHABLE)
        if fault == "shed":
            answer = Answer(503, (), b"")
            return Attempt(Verdict.NOT_RUN, answer, None, "", 0.0, shed=True)
        if fault == "broken_before":
            return fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_BROKEN, True)
        body = run(caller_request)
        tasks.clock.sleep(state.rng.uniform(0.0, 2.0))
        if fault == "broken_after":
            return fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_BROKEN, True)
        upstream_state.answered_by_operation[name_operation(caller_request)] = (
            incarnation
        )
        return Attempt(Verdict.RAN, Answer(200, (), body), None, "", 0.0)

    return exchange


def create_stand_ins(kernel, tasks, upstream_state, incarnation):
    """Return by name the fake services that the real services for writes need."""
    account_by_id = {
        name: ClientAccount(name, 1e9, 1e9) for name in ("hielo", "cupula")
    }

    def choose(pool, excluded, account=None):
        candidates = [item for item in pool.upstreams if item.id not in excluded]
        if not candidates:
            return Failure(NO_UPSTREAM)
        return Success(Choice(kernel.rng.choice(candidates), pool.id, 0))

    exchange = create_exchange(tasks, upstream_state, incarnation)
    return {
        "routes": Routes(lambda host, path, method: Success(ROUTE)),
        "keys": Keys(
            lambda route, caller_request: Success(
                account_by_id[caller_request.header("x-account")]
            ),
            lambda headers: headers,
        ),
        "limits": Limits(lambda account, deadline: Success(None)),
        "queues": Queues(
            lambda pool, account, deadline, choose: choose(), lambda pool: None
        ),
        "balancers": Balancers(choose, lambda *release: None),
        "forwarders": Forwarders(exchange),
        "configurations": Configurations(
            {}, {}, {POOL.id: POOL}, {}, {}, None, None, None, None
        ),
    }


def create_host(tasks, upstream_state, hosts, own, store, variant):
    """Create one host on the shared scheduler."""
    state = tasks.loop.state

    def spawn(function, *arguments):
        return tasks.spawn(own.incarnation, 0.0, function, *arguments)

    kernel = create_kernel(tasks.clock, spawn, state.rng)
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    kernel.register("metrics", SILENT_METRICS)
    view = FleetView(own, hosts)
    kernel.register("memberships", create_memberships(view))
    kernel.register("peers", connect(tasks, own.incarnation))
    notices = create_notices(NoticeStore(own.incarnation), tasks.clock.now)
    kernel.register("notices", notices)
    kernel.register("store", store)
    stand_ins = create_stand_ins(kernel, tasks, upstream_state, own.incarnation)
    for name, service in stand_ins.items():
        kernel.register(name, service)
    departed_hosts.create(kernel, GONE_AFTER_SECONDS)
    issuers.create(kernel, ISSUER_BOUNDS)
    table_transfers.create(kernel, ISSUER_BOUNDS, HAND_OVER_TIMEOUT_SECONDS)
    variant.create_claims(kernel)
    opaque_keys.create(kernel, OPAQUE_BOUNDS, claim_codecs.encode, claim_codecs.decode)
    operations.create(
        kernel, ISSUER_BOUNDS.answers.max_bytes, HAND_OVER_TIMEOUT_SECONDS
    )
    poison_requests.create(kernel, 300.0)
    retries.create(kernel, 0.2, 10.0)
    proxies.create(kernel)
    return WriterHost(own, view, kernel, [])


def create_fleet(seed, size, variant=Variant()):
    """Create hosts that share one scheduler, one store and the fake upstreams.

    Parameters
    ----------
    seed : int
    size : int
        Number of hosts.
    variant : Variant

    Returns
    -------
    Fleet
    """
    state = LoopState(seed)
    tasks = create_tasks(state)
    upstream_state = UpstreamState()
    store, store_faults, _ = create_store(state)
    names = [f"{state.rng.getrandbits(64):016x}" for _ in range(size)]
    hosts = [Host(name, name, "a", "default", name, name) for name in names]
    store_with_latency = slow_store(tasks, store, late_share=0.05)
    host_by_incarnation = {
        host.incarnation: create_host(
            tasks, upstream_state, hosts, host, store_with_latency, variant
        )
        for host in hosts
    }
    return Fleet(state, tasks, host_by_incarnation, upstream_state, store_faults)

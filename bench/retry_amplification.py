"""Attempts per request that reach upstreams, with and without the retry budget.

The real proxy serves a pool in which a share of the upstreams refuses every request.
The bound is the retry budget: a share of the requests plus a minimum rate.
"""

from returns.result import Success

from bench.results import Result, finish
from trefoilpin import poison_requests, proxies, retries
from trefoilpin.fakes import fleets, loops, writers
from trefoilpin.fakes.calls import create_tasks
from trefoilpin.kernel import create_kernel
from trefoilpin.messages import Answer, Attempt, Choice, Permit
from trefoilpin.records import Host, Upstream
from trefoilpin.services import Balancers, Events, Forwarders, Operations
from trefoilpin.verdicts import Reason, Verdict

SEED = 1
UPSTREAM_COUNT = 25
REQUEST_COUNT = 6000
REQUESTS_PER_SECOND = 100.0
RETRY_SHARE = 0.2
MIN_RETRIES_PER_SECOND = 1.0
UNLIMITED_RETRIES = 1e9
FAILING_SHARES = (0.1, 0.5, 1.0)
MIN_SERVED_PERCENT = 99.0

REFUSED_ATTEMPT = Attempt(Verdict.NOT_RUN, None, Reason.UPSTREAM_UNREACHABLE, "", 0.0)
SERVED_ATTEMPT = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.0)


class ProxyCounts:
    """Numbers of attempts made and of requests served."""

    def __init__(self):
        self.attempts = 0
        self.served = 0


def create_proxy(state, counts, failing_count, retry_share, min_retries_per_second):
    """Return a proxy for a pool whose first ``failing_count`` upstreams refuse."""
    tasks = create_tasks(state)
    kernel = create_kernel(tasks.clock, lambda *task: None, state.rng)
    kernel.register("events", Events(lambda event, **fields: None, None))
    kernel.register("metrics", writers.SILENT_METRICS)
    notices = fleets.create_notices(fleets.NoticeStore("h1"), tasks.clock.now)
    kernel.register("notices", notices)
    upstreams = [
        Upstream(str(number), "10.0.0.1:80", "a", 6) for number in range(UPSTREAM_COUNT)
    ]

    def choose(pool, excluded, account=None):
        candidates = [item for item in upstreams if item.id not in excluded]
        return Success(Choice(state.rng.choice(candidates), pool.id, 0))

    def exchange(upstream, request, deadline, idempotent):
        counts.attempts += 1
        return REFUSED_ATTEMPT if int(upstream.id) < failing_count else SERVED_ATTEMPT

    own = Host("h1", "h1", "a", "r", "", "")
    view = fleets.FleetView(own, [own])
    kernel.register("memberships", fleets.create_memberships(view))
    fake_services = writers.create_stand_ins(
        kernel, tasks, writers.UpstreamState(), "h1"
    )
    fake_services["balancers"] = Balancers(choose, lambda *release: None)
    fake_services["forwarders"] = Forwarders(exchange)
    fake_services["operations"] = Operations(
        lambda account, request: Success(None),
        lambda key, route, account, deadline: Success(Permit(key, "", route, account)),
        lambda permit, attempt: None,
        None,
    )
    for name, service in fake_services.items():
        kernel.register(name, service)
    poison_requests.create(kernel, 300.0)
    retries.create(kernel, retry_share, min_retries_per_second)
    return proxies.create(kernel)


def run(failing_share, retry_share, min_retries_per_second):
    """Return the ``ProxyCounts`` of one run."""
    state, counts = loops.LoopState(SEED), ProxyCounts()
    failing_count = round(failing_share * UPSTREAM_COUNT)
    proxy = create_proxy(
        state, counts, failing_count, retry_share, min_retries_per_second
    )
    for number in range(REQUEST_COUNT):
        state.now += 1 / REQUESTS_PER_SECOND
        request = writers.request(f"r{number}", "hielo", None, "order", state.now)
        counts.served += isinstance(proxy.handle(request), Success)
    return counts


def results():
    """Yield amplification and served requests for each share of failing upstreams."""
    bound = 1 + RETRY_SHARE + (MIN_RETRIES_PER_SECOND + 1) / REQUESTS_PER_SECOND
    for failing_share in FAILING_SHARES:
        with_budget = run(failing_share, RETRY_SHARE, MIN_RETRIES_PER_SECOND)
        without_budget = run(failing_share, UNLIMITED_RETRIES, UNLIMITED_RETRIES)
        failing_percent = round(failing_share * 100)
        yield Result(
            f"retry_amplification_{failing_percent}_percent_failing",
            round(with_budget.attempts / REQUEST_COUNT, 4),
            "attempts per request",
            bound,
            SEED,
            round(without_budget.attempts / REQUEST_COUNT, 4),
        )
        has_bound = failing_share <= RETRY_SHARE / 2
        yield Result(
            f"retry_served_{failing_percent}_percent_failing",
            round(100 * with_budget.served / REQUEST_COUNT, 2),
            "percent",
            MIN_SERVED_PERCENT if has_bound else None,
            SEED,
            round(100 * without_budget.served / REQUEST_COUNT, 2),
            at_least=True,
        )


if __name__ == "__main__":
    finish(list(results()))

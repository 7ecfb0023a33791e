"""Attempts that upstreams get for each request, with and without the retry budget.

The real proxy runs before a pool of which a share refuses every request. The bound
is the budget: its share of the requests, and its least rate over the time.
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
UPSTREAMS = 25
REQUESTS = 6000
REQUESTS_PER_SECOND = 100.0
SHARE = 0.2
LEAST_PER_SECOND = 1.0
UNLIMITED = 1e9
FAILING_SHARES = (0.1, 0.5, 1.0)
SERVED_BOUND_PERCENT = 99.0

REFUSED = Attempt(Verdict.NOT_RUN, None, Reason.UPSTREAM_UNREACHABLE, "", 0.0)
WHOLE = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.0)


class Counts:
    """Attempts made and requests served."""

    def __init__(self):
        self.attempts = 0
        self.served = 0


def create_proxy(state, counts, failing, share, least):
    """Return the proxy before a pool whose first ``failing`` upstreams refuse."""
    tasks = create_tasks(state)
    kernel = create_kernel(tasks.clock, lambda *task: None, state.rng)
    kernel.register("events", Events(lambda event, **fields: None, None))
    kernel.register("metrics", writers.SILENT_METRICS)
    notices = fleets.create_notices(fleets.NoticeStore("h1"), tasks.clock.now)
    kernel.register("notices", notices)
    upstreams = [
        Upstream(str(number), "10.0.0.1:80", "a", 6) for number in range(UPSTREAMS)
    ]

    def choose(pool, excluded, account=None):
        left = [item for item in upstreams if item.id not in excluded]
        return Success(Choice(state.rng.choice(left), pool.id, 0))

    def exchange(upstream, request, deadline, idempotent):
        counts.attempts += 1
        return REFUSED if int(upstream.id) < failing else WHOLE

    own = Host("h1", "h1", "a", "r", "", "")
    view = fleets.FleetView(own, [own])
    kernel.register("memberships", fleets.create_memberships(view))
    stand_ins = writers.create_stand_ins(kernel, tasks, writers.UpstreamState(), "h1")
    stand_ins["balancers"] = Balancers(choose, lambda *release: None)
    stand_ins["forwarders"] = Forwarders(exchange)
    stand_ins["operations"] = Operations(
        lambda account, request: Success(None),
        lambda key, route, account, deadline: Success(Permit(key, "", route, account)),
        lambda permit, attempt: None,
        None,
    )
    for name, service in stand_ins.items():
        kernel.register(name, service)
    poison_requests.create(kernel, 300.0)
    retries.create(kernel, share, least)
    return proxies.create(kernel)


def run(failing_share, share, least):
    """Return the ``Counts`` of one run."""
    state, counts = loops.LoopState(SEED), Counts()
    failing = round(failing_share * UPSTREAMS)
    proxy = create_proxy(state, counts, failing, share, least)
    for number in range(REQUESTS):
        state.now += 1 / REQUESTS_PER_SECOND
        request = writers.request(f"r{number}", "hielo", None, "order", state.now)
        counts.served += isinstance(proxy.handle(request), Success)
    return counts


def results():
    """Yield amplification and requests served for each share of failing upstreams."""
    bound = 1 + SHARE + (LEAST_PER_SECOND + 1) / REQUESTS_PER_SECOND
    for failing_share in FAILING_SHARES:
        with_budget = run(failing_share, SHARE, LEAST_PER_SECOND)
        without = run(failing_share, UNLIMITED, UNLIMITED)
        percent = round(failing_share * 100)
        yield Result(
            f"retry_amplification_{percent}_percent_failing",
            round(with_budget.attempts / REQUESTS, 4),
            "attempts per request",
            bound,
            SEED,
            round(without.attempts / REQUESTS, 4),
        )
        is_bound = failing_share <= SHARE / 2
        yield Result(
            f"retry_served_{percent}_percent_failing",
            round(100 * with_budget.served / REQUESTS, 2),
            "percent",
            SERVED_BOUND_PERCENT if is_bound else None,
            SEED,
            round(100 * without.served / REQUESTS, 2),
            at_least=True,
        )


if __name__ == "__main__":
    finish(list(results()))

"""Time from the start of a gray failure until no host sends work to the upstream.

The real functions of 44 hosts run in a plain loop. The baseline of each figure is a
rule by which each host alone ejects after consecutive errors.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.results import Result, finish
from trefoilpin.fakes import pools

HOSTS = 44
SEEDS = 50
SETTLE_SECONDS = 10.0
WATCH_SECONDS = 15.0
READMITTED_SECONDS = 9.5
WORKERS = 4
NAIVE_ERRORS = 5
ACCOUNTS = "ABCDEFGH"
WEIGHTS = (8, 6, 1, 1, 1, 1, 1, 1)


def half_errors(model):
    """Answer every second request with an error."""
    model.fault = lambda rng: "error" if rng.random() < 0.5 else None


def slow(model):
    """Answer ten times slower."""
    model.latency_factor = 10.0


def stalled(model):
    """Never answer."""
    model.fault = lambda rng: "stall"


def reset(model):
    """Break the connection after reading the request."""
    model.fault = lambda rng: "reset"


FAULTS = {
    "half_errors": half_errors,
    "ten_times_slower": slow,
    "stalled": stalled,
    "reset": reset,
}
# Name, upstreams, slots, floor, requests a second at each, bound in seconds.
DEPLOYMENTS = (("wide", 25, 6, 12, 5.0, 5.0), ("thin", 6, 6, 4, 2.0, 10.0))
DEPLOYMENT_BY_NAME = {deployment[0]: deployment for deployment in DEPLOYMENTS}


class Naive:
    """Consecutive errors by host, and the time of each host's last request."""

    def __init__(self):
        self.errors_by_host = {}
        self.last_at = 0.0


def run(seed, name, kind):
    """Return seconds until the last request at the gray upstream, both ways."""
    _, count, slots, floor, rate, _ = DEPLOYMENT_BY_NAME[name]
    fault = FAULTS[kind]
    pool = pools.make_pool(name, count, slots, floor)
    world = pools.create_world(seed, HOSTS, (pool,))
    pools.warm_up(world)
    gray = world.model_by_id[(name, f"{name}0")]
    began = world.state.now + SETTLE_SECONDS
    end = began + WATCH_SECONDS
    pools.drive(world, name, count * rate, end, ACCOUNTS, WEIGHTS)
    pools.run_until(world, began)
    fault(gray)
    pools.run_until(world, end)
    ejected_at = end
    for at, _, event, fields in world.lines:
        if event == "upstream_ejected" and fields["upstream"] == gray.upstream.id:
            ejected_at = min(ejected_at, at)
    limit = ejected_at + READMITTED_SECONDS
    starts = [at - began for at in gray.starts if began < at < limit]
    naive = naive_seconds(world.state.rng, rate, fault, Naive())
    return max(starts, default=0.0), naive


def naive_seconds(rng, rate, fault, naive):
    """Return the same for hosts that each count consecutive errors."""
    model = pools.ModelUpstream(None, 0.05, 0.5)
    fault(model)
    at = 0.0
    while at < WATCH_SECONDS:
        at += rng.expovariate(rate)
        host = rng.randrange(HOSTS)
        failed = model.fault is not None and model.fault(rng) is not None
        errors = naive.errors_by_host.get(host, 0)
        if errors >= NAIVE_ERRORS:
            continue
        naive.last_at = at
        naive.errors_by_host[host] = errors + 1 if failed else 0
    return min(naive.last_at, WATCH_SECONDS)


def measure(deployment, kind, executor):
    """Yield the figures of one fault in one deployment."""
    name, bound = deployment[0], deployment[5]
    arguments = range(SEEDS), [name] * SEEDS, [kind] * SEEDS
    found, naive = zip(*executor.map(run, *arguments))
    for label, merge in (("median", statistics.median), ("worst", max)):
        value, baseline = round(merge(found), 2), round(merge(naive), 2)
        title = f"detection_time_{name}_{kind}_{label}"
        yield Result(title, value, "s", bound, SEEDS, baseline)
    late = sum(value > bound for value in found)
    naive_late = sum(value > bound for value in naive)
    title = f"detection_time_{name}_{kind}_late"
    yield Result(title, late, f"of {SEEDS} seeds", None, SEEDS, naive_late)


def main():
    """Measure every fault in both deployments."""
    results = []
    with ProcessPoolExecutor(WORKERS) as executor:
        for deployment in DEPLOYMENTS:
            for kind in FAULTS:
                results.extend(measure(deployment, kind, executor))
    finish(results)


if __name__ == "__main__":
    main()

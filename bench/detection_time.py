"""Time from the start of a gray failure until no host uses the upstream any more.

The real services of 44 hosts run on a simulated clock. In the baseline of each figure,
every host by itself ejects the upstream after consecutive errors.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor

from bench.results import Result, finish
from trefoilpin.fakes import pools

HOSTS = 44
SEEDS = 50
SETTLE_SECONDS = 10.0
OBSERVE_SECONDS = 15.0
READMISSION_SECONDS = 9.5
WORKERS = 4
CONSECUTIVE_ERRORS_TO_EJECT = 5
ACCOUNTS = "ABCDEFGH"
WEIGHTS = (8, 6, 1, 1, 1, 1, 1, 1)


def fail_half(model):
    """Answer half of the requests with an error."""
    model.fault = lambda rng: "error" if rng.random() < 0.5 else None


def slow_down(model):
    """Answer ten times slower."""
    model.latency_factor = 10.0


def stall(model):
    """Never answer."""
    model.fault = lambda rng: "stall"


def reset_connections(model):
    """Reset the connection after reading the request."""
    model.fault = lambda rng: "reset"


FAULTS = {
    "half_errors": fail_half,
    "ten_times_slower": slow_down,
    "stalled": stall,
    "reset": reset_connections,
}
# Name, upstreams, slots, floor, requests a second at each, bound in seconds.
DEPLOYMENTS = (("wide", 25, 6, 12, 5.0, 5.0), ("thin", 6, 6, 4, 2.0, 10.0))
DEPLOYMENT_BY_NAME = {deployment[0]: deployment for deployment in DEPLOYMENTS}


class ConsecutiveErrorRule:
    """Consecutive errors by host, and the time of the last request of any host."""

    def __init__(self):
        self.errors_by_host = {}
        self.last_at = 0.0


def run(seed, name, kind):
    """Return seconds until the last request to the faulty upstream, and the baseline.

    Requests after its first readmission are not counted.
    """
    _, count, slots, floor, rate, _ = DEPLOYMENT_BY_NAME[name]
    inject_fault = FAULTS[kind]
    pool = pools.make_pool(name, count, slots, floor)
    world = pools.create_world(seed, HOSTS, (pool,))
    pools.warm_up(world)
    faulty = world.model_by_id[(name, f"{name}0")]
    started_at = world.state.now + SETTLE_SECONDS
    end = started_at + OBSERVE_SECONDS
    pools.drive(world, name, count * rate, end, ACCOUNTS, WEIGHTS)
    pools.run_until(world, started_at)
    inject_fault(faulty)
    pools.run_until(world, end)
    ejected_at = end
    for at, _, event, fields in world.lines:
        if event == "upstream_ejected" and fields["upstream"] == faulty.upstream.id:
            ejected_at = min(ejected_at, at)
    readmission_at = ejected_at + READMISSION_SECONDS
    send_times = [
        at - started_at for at in faulty.starts if started_at < at < readmission_at
    ]
    baseline = baseline_seconds(
        world.state.rng, rate, inject_fault, ConsecutiveErrorRule()
    )
    return max(send_times, default=0.0), baseline


def baseline_seconds(rng, rate, inject_fault, rule):
    """Return the same for hosts that each eject after consecutive errors."""
    model = pools.ModelUpstream(None, 0.05, 0.5)
    inject_fault(model)
    at = 0.0
    while at < OBSERVE_SECONDS:
        at += rng.expovariate(rate)
        host = rng.randrange(HOSTS)
        failed = model.fault is not None and model.fault(rng) is not None
        errors = rule.errors_by_host.get(host, 0)
        if errors >= CONSECUTIVE_ERRORS_TO_EJECT:
            continue
        rule.last_at = at
        rule.errors_by_host[host] = errors + 1 if failed else 0
    return min(rule.last_at, OBSERVE_SECONDS)


def measure(deployment, kind, executor):
    """Yield the figures of one fault in one deployment."""
    name, bound = deployment[0], deployment[5]
    arguments = range(SEEDS), [name] * SEEDS, [kind] * SEEDS
    detection_times, baselines = zip(*executor.map(run, *arguments))
    for label, aggregate in (("median", statistics.median), ("worst", max)):
        value, baseline = round(aggregate(detection_times), 2), round(
            aggregate(baselines), 2
        )
        figure_name = f"detection_time_{name}_{kind}_{label}"
        yield Result(figure_name, value, "s", bound, SEEDS, baseline)
    late_count = sum(value > bound for value in detection_times)
    baseline_late_count = sum(value > bound for value in baselines)
    figure_name = f"detection_time_{name}_{kind}_late"
    yield Result(
        figure_name, late_count, f"of {SEEDS} seeds", None, SEEDS, baseline_late_count
    )


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

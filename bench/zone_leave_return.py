"""An availability zone that operators take out and return, under in-rate load.

The baseline of the late work is the zone's work in the same time had it stayed; the
baseline of the excess is a return without slow start.
"""

from bench.results import Result, finish
from trefoilpin.fakes import pools
from trefoilpin.records import AvailabilityZone

HOSTS = 44
SEEDS = 3
GRACE_SECONDS = 3.0
OUT_SECONDS = 20.0
BACK_SECONDS = 30.0
COLD_SECONDS = 8.0
LEAST_SUCCESS = 0.999
DEPLOYMENTS = (("wide", 25, 12, 125.0), ("thin", 6, 3, 12.0))


def run(seed, deployment, protects):
    """Return late work, successes, all requests and the excess on return."""
    name, count, floor, rate = deployment
    pool = pools.make_pool(name, count, 6, floor)
    world = pools.create_world(seed, HOSTS, (pool,))
    pools.warm_up(world)
    left_at = world.state.now + 5.0
    end = left_at + OUT_SECONDS + BACK_SECONDS
    pools.drive(world, name, rate, end, "ABCDEFGH", None, 30)
    pools.run_until(world, left_at)
    if protects:
        pools.submit(world, AvailabilityZone("a", "r", out=True))
    pools.run_until(world, left_at + OUT_SECONDS)
    models = [item for item in world.model_by_id.values() if item.upstream.zone == "a"]
    late = sum(left_at + GRACE_SECONDS < at for model in models for at in model.starts)
    for model in models:
        model.cold_since = world.state.now
        model.cold_seconds = COLD_SECONDS
    if protects:
        pools.submit(world, AvailabilityZone("a", "r", out=False))
    pools.run_until(world, end + 5.0)
    excess = max(model.peak_cold_excess for model in models)
    served = sum(len(model.starts) for model in models)
    total = world.answered + world.failed + world.refused
    return late, world.answered, total, excess, served


def main():
    """Measure both deployments."""
    results = []
    for deployment in DEPLOYMENTS:
        name = deployment[0]
        found = [run(seed, deployment, True) for seed in range(SEEDS)]
        without = [run(seed, deployment, False) for seed in range(SEEDS)]
        late, late_without = (sum(row[0] for row in rows) for rows in (found, without))
        success = sum(row[1] for row in found) / sum(row[2] for row in found)
        excess, without_ramp = (
            max(row[3] for row in rows) for rows in (found, without)
        )
        prefix = f"zone_leave_return_{name}"
        results.append(
            Result(f"{prefix}_late_work", late, "requests", 0, SEEDS, late_without)
        )
        results.append(
            Result(
                f"{prefix}_success",
                round(success, 6),
                "share",
                LEAST_SUCCESS,
                SEEDS,
                at_least=True,
            )
        )
        results.append(
            Result(
                f"{prefix}_excess",
                round(excess, 2),
                "requests",
                0,
                SEEDS,
                round(without_ramp, 2),
            )
        )
    finish(results)


if __name__ == "__main__":
    main()

"""An availability zone that is taken out of service and returned, under in-rate load.

The baseline of the late requests is the zone's requests in the same period if it stays
in service. The baseline of the excess is a return without slow start.
"""

from bench.results import Result, finish
from trefoilpin.fakes import pools
from trefoilpin.records import AvailabilityZone

HOSTS = 44
SEEDS = 3
GRACE_SECONDS = 3.0
OUT_SECONDS = 20.0
RETURN_SECONDS = 30.0
COLD_SECONDS = 8.0
MIN_SUCCESS_SHARE = 0.999
DEPLOYMENTS = (("wide", 25, 12, 125.0), ("thin", 6, 3, 12.0))


def run(seed, deployment, is_protected):
    """Return late requests, successes, all requests, excess and the zone's requests."""
    name, count, floor, rate = deployment
    pool = pools.make_pool(name, count, 6, floor)
    world = pools.create_world(seed, HOSTS, (pool,))
    pools.warm_up(world)
    zone_out_at = world.state.now + 5.0
    end = zone_out_at + OUT_SECONDS + RETURN_SECONDS
    pools.drive(world, name, rate, end, "ABCDEFGH", None, 30)
    pools.run_until(world, zone_out_at)
    if is_protected:
        pools.submit(world, AvailabilityZone("a", "r", out=True))
    pools.run_until(world, zone_out_at + OUT_SECONDS)
    models = [item for item in world.model_by_id.values() if item.upstream.zone == "a"]
    late_requests = sum(
        zone_out_at + GRACE_SECONDS < at for model in models for at in model.starts
    )
    for model in models:
        model.cold_since = world.state.now
        model.cold_seconds = COLD_SECONDS
    if is_protected:
        pools.submit(world, AvailabilityZone("a", "r", out=False))
    pools.run_until(world, end + 5.0)
    excess = max(model.peak_cold_excess for model in models)
    started_count = sum(len(model.starts) for model in models)
    request_count = world.answered + world.failed + world.refused
    return late_requests, world.answered, request_count, excess, started_count


def main():
    """Measure both deployments."""
    results = []
    for deployment in DEPLOYMENTS:
        name = deployment[0]
        protected_runs = [run(seed, deployment, True) for seed in range(SEEDS)]
        unprotected_runs = [run(seed, deployment, False) for seed in range(SEEDS)]
        late_requests, baseline_late_requests = (
            sum(row[0] for row in rows) for rows in (protected_runs, unprotected_runs)
        )
        success_share = sum(row[1] for row in protected_runs) / sum(
            row[2] for row in protected_runs
        )
        excess, baseline_excess = (
            max(row[3] for row in rows) for rows in (protected_runs, unprotected_runs)
        )
        prefix = f"zone_leave_return_{name}"
        results.append(
            Result(
                f"{prefix}_late_work",
                late_requests,
                "requests",
                0,
                SEEDS,
                baseline_late_requests,
            )
        )
        results.append(
            Result(
                f"{prefix}_success",
                round(success_share, 6),
                "share",
                MIN_SUCCESS_SHARE,
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
                round(baseline_excess, 2),
            )
        )
    finish(results)


if __name__ == "__main__":
    main()

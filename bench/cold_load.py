"""Load on cold upstreams above their capacity, and the time to full load.

The capacity of a cold upstream is a share of its slots that grows with time, at least
one slot; above half of its capacity it answers more slowly. The baseline sends requests
to cold upstreams as if they were warm.
"""

from concurrent.futures import ProcessPoolExecutor

from bench.results import Result, finish
from trefoilpin.fakes import pools
from trefoilpin.ramps import MIN_LEVEL_SECONDS
from trefoilpin.slow_starts import GRANT_SECONDS

HOSTS = 44
SEEDS = 6
WORKERS = 3
RUN_SECONDS = 40.0
LONG_RUN_SECONDS = 65.0
COLD_SECONDS = 8.0
DEFAULT_COLD_SECONDS = 4.0
LEVELS = 4
REPORT_LAG_SECONDS = 2.0
MAX_TERM_SECONDS = 2 * pools.FRESH_SECONDS + GRANT_SECONDS + pools.DEADLINE_SECONDS
TAKE_OVER_SECONDS = 2.0
COLD_AFTER_SECONDS = 8.0
SCENARIOS = ("new_upstream", "whole_pool", "two_coordinators", "coordinator_dies")


def full_load_bound(cold_seconds):
    """Return the seconds that the ramp may take to full load."""
    ramp_seconds = LEVELS * (MIN_LEVEL_SECONDS + REPORT_LAG_SECONDS) + TAKE_OVER_SECONDS
    return ramp_seconds + cold_seconds


def set_cold(world, models, seconds):
    """Make upstreams cold as of now."""
    for model in models:
        model.cold_since = world.state.now
        model.cold_seconds = seconds


def inject_fault(world, scenario):
    """Schedule the fault of a scenario: split views, or the coordinator's crash."""
    rng = world.state.rng
    coordinator = world.hosts[0].find("memberships").first("pool/p")
    if scenario == "coordinator_dies":
        world.state.dead.add(coordinator.peer_address)
        at = world.state.now + pools.LIVE_SECONDS
        pools.push(world, at, lambda: mark_absent(world.hosts, coordinator))
        return
    if scenario != "two_coordinators":
        return
    for repetition in range(int(RUN_SECONDS / 4)):
        at = world.state.now + 4.0 * repetition
        unreached = rng.sample(world.hosts, HOSTS // 2)
        pools.push(
            world,
            at,
            lambda unreached=unreached: split_views(world, unreached, coordinator),
        )


def split_views(world, unreached, coordinator):
    """Block the coordinator's messages to some hosts, which regard it as absent."""
    for parts in world.hosts:
        parts.view.absent.clear()
    mark_absent(unreached, coordinator)
    blocked_pairs = world.state.cut_pairs
    blocked_pairs.clear()
    for parts in unreached:
        blocked_pairs.add((coordinator.peer_address, parts.host.peer_address))


def mark_absent(hosts, dead_host):
    """Mark a host as absent in the views of other hosts."""
    for parts in hosts:
        if parts.host is not dead_host:
            parts.view.absent.add(dead_host.incarnation)
        for function in parts.view.subscribers:
            function()


def run_seconds(scenario):
    """Return the duration of a scenario."""
    return LONG_RUN_SECONDS if scenario == "coordinator_dies" else RUN_SECONDS


def create_scenario(seed, scenario, is_protected):
    """Create a scenario; return its world and the models of its cold upstreams."""
    is_whole_pool = scenario == "whole_pool"
    pool = pools.make_pool("p", 25, 6, 12)
    world = pools.create_world(seed, HOSTS, (pool,))
    if is_whole_pool:
        models = list(world.model_by_id.values())
        set_cold(world, models, DEFAULT_COLD_SECONDS)
    else:
        pools.warm_up(world)
        models = []
    end = world.state.now + COLD_AFTER_SECONDS + run_seconds(scenario)
    pools.drive(world, "p", 125.0, end, tries=30)
    if not is_whole_pool:
        pools.run_until(world, world.state.now + COLD_AFTER_SECONDS)
        models = add_upstreams(world, pool)
    if not is_protected:
        pools.warm_up(world)
    return world, models


def add_upstreams(world, pool):
    """Add two cold upstreams to the pool with a ticket; return their models."""
    added = pools.make_pool("new", 2, 6, 0).upstreams
    models = []
    for upstream in added:
        model = pools.ModelUpstream(upstream, 0.05, 0.5)
        world.model_by_id[("p", upstream.id)] = model
        models.append(model)
    set_cold(world, models, COLD_SECONDS)
    pools.submit(world, pool._replace(upstreams=pool.upstreams + added))
    return models


def run(seed, scenario, is_protected):
    """Return the largest excess of requests, and the seconds until all were warm."""
    world, models = create_scenario(seed, scenario, is_protected)
    started_at = world.state.now
    inject_fault(world, scenario)
    pools.run_until(world, started_at + run_seconds(scenario))
    excess = max(model.peak_cold_excess for model in models)
    cold_ids = {model.upstream.id for model in models}
    warm_at = {}
    for logged_at, _, event, fields in world.lines:
        if event == "slow_start_step" and fields["step"] == "warm":
            warm_at.setdefault(fields["upstream"], logged_at - started_at)
    all_warm = cold_ids <= warm_at.keys()
    seconds = (
        max(warm_at[upstream_id] for upstream_id in cold_ids)
        if all_warm
        else run_seconds(scenario)
    )
    return excess, seconds


def main():
    """Measure every scenario with and without slow start."""
    results = []
    with ProcessPoolExecutor(WORKERS) as executor:
        for scenario in SCENARIOS:
            arguments = range(SEEDS), [scenario] * SEEDS
            protected_runs = list(executor.map(run, *arguments, [True] * SEEDS))
            unprotected_runs = list(executor.map(run, *arguments, [False] * SEEDS))
            excess = round(max(item[0] for item in protected_runs), 2)
            baseline = round(max(item[0] for item in unprotected_runs), 2)
            name = f"cold_load_{scenario}_excess"
            results.append(Result(name, excess, "requests", 0, SEEDS, baseline))
            seconds = round(max(item[1] for item in protected_runs), 1)
            is_whole_pool = scenario == "whole_pool"
            bound = full_load_bound(
                DEFAULT_COLD_SECONDS if is_whole_pool else COLD_SECONDS
            )
            if scenario == "two_coordinators":
                bound = None
            if scenario == "coordinator_dies":
                bound += pools.LIVE_SECONDS + MAX_TERM_SECONDS
            name = f"cold_load_{scenario}_full_after"
            results.append(Result(name, seconds, "s", bound, SEEDS))
    finish(results)


if __name__ == "__main__":
    main()

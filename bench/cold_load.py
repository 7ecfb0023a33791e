"""Work on cold upstreams over what they bear, and the time to full load.

A cold upstream bears a share of its slots that grows with time, one at least, and
answers more slowly above half of what it bears. The baseline sends cold upstreams
work as if they were warm.
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
UNKNOWN_COLD_SECONDS = 4.0
LEVELS = 4
REPORT_LAG_SECONDS = 2.0
TENURE_SECONDS = 2 * pools.FRESH_SECONDS + GRANT_SECONDS + pools.DEADLINE_SECONDS
TAKE_OVER_SECONDS = 2.0
RESTART_AFTER_SECONDS = 8.0
SCENARIOS = ("new_upstream", "whole_pool", "two_coordinators", "coordinator_dies")


def bound(cold_seconds):
    """Return the seconds to full load that the ramp allows."""
    ramp = LEVELS * (MIN_LEVEL_SECONDS + REPORT_LAG_SECONDS) + TAKE_OVER_SECONDS
    return ramp + cold_seconds


def make_cold(world, models, seconds):
    """Turn upstreams cold now."""
    for model in models:
        model.cold_since = world.state.now
        model.cold_seconds = seconds


def disturb(world, scenario):
    """Have hosts disagree on who coordinates, or the coordinator die."""
    rng = world.state.rng
    first = world.hosts[0].find("memberships").first("pool/p")
    if scenario == "coordinator_dies":
        world.state.dead.add(first.peer_address)
        at = world.state.now + pools.LIVE_SECONDS
        pools.push(world, at, lambda: believe_dead(world.hosts, first))
        return
    if scenario != "two_coordinators":
        return
    for turn in range(int(RUN_SECONDS / 4)):
        at = world.state.now + 4.0 * turn
        half = rng.sample(world.hosts, HOSTS // 2)
        pools.push(world, at, lambda half=half: split(world, half, first))


def split(world, half, first):
    """Have half of the hosts believe that the first one is gone."""
    for parts in world.hosts:
        parts.view.absent.clear()
    believe_dead(half, first)
    cut = world.state.cut_pairs
    cut.clear()
    for parts in half:
        cut.add((first.peer_address, parts.host.peer_address))


def believe_dead(hosts, dead):
    """Take a host out of the views of others."""
    for parts in hosts:
        if parts.host is not dead:
            parts.view.absent.add(dead.incarnation)
        for function in parts.view.subscribers:
            function()


def run_seconds(scenario):
    """Return how long a scenario runs."""
    return LONG_RUN_SECONDS if scenario == "coordinator_dies" else RUN_SECONDS


def create(seed, scenario, protects):
    """Return a world and the models of its cold upstreams."""
    is_whole = scenario == "whole_pool"
    pool = pools.make_pool("p", 25, 6, 12)
    world = pools.create_world(seed, HOSTS, (pool,))
    if is_whole:
        models = list(world.model_by_id.values())
        make_cold(world, models, UNKNOWN_COLD_SECONDS)
    else:
        pools.warm_up(world)
        models = []
    end = world.state.now + RESTART_AFTER_SECONDS + run_seconds(scenario)
    pools.drive(world, "p", 125.0, end, tries=30)
    if not is_whole:
        pools.run_until(world, world.state.now + RESTART_AFTER_SECONDS)
        models = add_upstreams(world, pool)
    if not protects:
        pools.warm_up(world)
    return world, models


def add_upstreams(world, pool):
    """Add two cold upstreams to the pool by a ticket."""
    added = pools.make_pool("new", 2, 6, 0).upstreams
    models = []
    for upstream in added:
        model = pools.ModelUpstream(upstream, 0.05, 0.5)
        world.model_by_id[("p", upstream.id)] = model
        models.append(model)
    make_cold(world, models, COLD_SECONDS)
    pools.submit(world, pool._replace(upstreams=pool.upstreams + added))
    return models


def run(seed, scenario, protects):
    """Return the largest excess, and seconds until every upstream was warm."""
    world, models = create(seed, scenario, protects)
    began = world.state.now
    disturb(world, scenario)
    pools.run_until(world, began + run_seconds(scenario))
    excess = max(model.peak_cold_excess for model in models)
    cold = {model.upstream.id for model in models}
    warm_at = {}
    for at, _, event, fields in world.lines:
        if event == "slow_start_step" and fields["step"] == "warm":
            warm_at.setdefault(fields["upstream"], at - began)
    done = cold <= warm_at.keys()
    seconds = max(warm_at[item] for item in cold) if done else run_seconds(scenario)
    return excess, seconds


def main():
    """Measure every scenario."""
    results = []
    with ProcessPoolExecutor(WORKERS) as executor:
        for scenario in SCENARIOS:
            arguments = range(SEEDS), [scenario] * SEEDS
            found = list(executor.map(run, *arguments, [True] * SEEDS))
            without = list(executor.map(run, *arguments, [False] * SEEDS))
            excess = round(max(item[0] for item in found), 2)
            baseline = round(max(item[0] for item in without), 2)
            name = f"cold_load_{scenario}_excess"
            results.append(Result(name, excess, "requests", 0, SEEDS, baseline))
            seconds = round(max(item[1] for item in found), 1)
            whole = scenario == "whole_pool"
            limit = bound(UNKNOWN_COLD_SECONDS if whole else COLD_SECONDS)
            if scenario == "two_coordinators":
                limit = None
            if scenario == "coordinator_dies":
                limit += pools.LIVE_SECONDS + TENURE_SECONDS
            name = f"cold_load_{scenario}_full_after"
            results.append(Result(name, seconds, "s", limit, SEEDS))
    finish(results)


if __name__ == "__main__":
    main()

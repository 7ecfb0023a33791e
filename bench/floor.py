"""Upstream choices made while ejections keep the healthy set below the pool's floor.

Random histories of ejections, avoidance, drains, zone outages and message loss run on
every host. Each choice is checked against an independent count over the view of the
host that chose. In the baseline every ejection and avoidance takes effect.
"""

from returns.result import Success

from bench.results import Result, finish
from trefoilpin import upstream_states
from trefoilpin.fakes import pools
from trefoilpin.records import AvailabilityZone
from trefoilpin.upstream_states import State

HOSTS = 12
SEEDS = 12
STEPS = 120
STEP_SECONDS = 1.0
CHOICES_PER_STEP = 3


def inject_event(world, rng, pool):
    """Apply a random event on a random host, and set a random message loss."""
    parts = rng.choice(world.hosts)
    upstream = rng.choice(pool.upstreams).id
    event = rng.randrange(8)
    if event < 3:
        badness = rng.random()
        parts.find("upstream_states").set_state(
            "p", upstream, State.EJECTED, badness, 1
        )
        parts.find("upstream_states").publish("p")
    if event in (3, 4):
        parts.find("upstream_states").avoid_locally(
            "p", upstream, 1 + 10 * rng.random(), 3.0
        )
    if event == 5:
        parts.find("drains").report("p", upstream, "answer")
    if event == 6:
        pools.submit(world, AvailabilityZone("a", "r", out=rng.random() < 0.5))
    if event == 7:
        parts.find("upstream_states").set_state("p", upstream, State.WARM)
        parts.find("upstream_states").publish("p")
    world.state.loss_share = 0.5 * rng.random()


def is_below_floor(world, parts, pool):
    """Count independently whether ejections and avoidance violate the floor."""
    view = parts.find("upstream_states").pool_view(pool)
    exclusions = view.exclusion_by_id
    reasons = [
        exclusions[item.id].reason for item in pool.upstreams if item.id in exclusions
    ]
    excluded_count = sum(reason in ("ejected", "avoided") for reason in reasons)
    unavailable_count = sum(
        reason in ("draining", "zone_out", "cold") for reason in reasons
    )
    healthy_count = len(pool.upstreams) - unavailable_count - excluded_count
    return excluded_count > 0 and healthy_count < pool.floor


def run(seed, is_enforced):
    """Return the number of choices below the floor, and of all choices."""
    pool = pools.make_pool("p", 6, 6, 4)
    world = pools.create_world(seed, HOSTS, (pool,))
    world.queue.clear()
    for parts in world.hosts:
        pools.repeat(world, parts, 0.4, 0.5, pools.pull_notices, world, parts)
    pools.warm_up(world)
    configured = pool if is_enforced else pool._replace(floor=0)
    rng = world.state.rng
    below_count = choice_count = 0
    for step in range(STEPS):
        inject_event(world, rng, pool)
        for parts in world.hosts:
            for _ in range(CHOICES_PER_STEP):
                chosen = parts.find("balancers").choose(configured, frozenset())
                if not isinstance(chosen, Success):
                    continue
                choice_count += 1
                below_count += is_below_floor(
                    world, parts, configured._replace(floor=4)
                )
        end_all_attempts(world)
        pools.run_until(world, world.state.now + STEP_SECONDS)
    return below_count, choice_count


def end_all_attempts(world):
    """End every attempt that is in flight."""
    failure = pools.failed(None, 0.05)
    for parts in world.hosts:
        service = parts.find("attempts")
        for number in range(1, STEPS * CHOICES_PER_STEP + 1):
            service.end(number, failure, "A", "")


def main():
    """Measure with and without enforcement of the floor."""
    build_view = upstream_states.build_view
    enforced_runs = [run(seed, True) for seed in range(SEEDS)]
    upstream_states.build_view = lambda pool, classify: build_view(
        pool._replace(floor=0), classify
    )
    unenforced_runs = [run(seed, False) for seed in range(SEEDS)]
    below_count, choice_count = (sum(column) for column in zip(*enforced_runs))
    baseline = sum(row[0] for row in unenforced_runs)
    finish(
        [
            Result("floor_choices_below", below_count, "choices", 0, SEEDS, baseline),
            Result("floor_choices", choice_count, "choices", None, SEEDS),
        ]
    )


if __name__ == "__main__":
    main()

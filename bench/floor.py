"""Choices made while ejection holds the healthy set below the pool's floor.

Drawn histories of ejections, avoidance, drains, zones and losses run on every host;
each choice is checked on the choosing host's own view against a separate count. The
baseline lets every ejection and avoidance take effect.
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


def act(world, rng, pool):
    """Let one thing happen on some hosts."""
    parts = rng.choice(world.hosts)
    upstream = rng.choice(pool.upstreams).id
    action = rng.randrange(8)
    if action < 3:
        badness = rng.random()
        parts.find("upstream_states").set_state(
            "p", upstream, State.EJECTED, badness, 1
        )
        parts.find("upstream_states").publish("p")
    if action in (3, 4):
        parts.find("upstream_states").avoid_locally(
            "p", upstream, 1 + 10 * rng.random(), 3.0
        )
    if action == 5:
        parts.find("drains").report("p", upstream, "answer")
    if action == 6:
        pools.submit(world, AvailabilityZone("a", "r", out=rng.random() < 0.5))
    if action == 7:
        parts.find("upstream_states").set_state("p", upstream, State.WARM)
        parts.find("upstream_states").publish("p")
    world.state.loss_share = 0.5 * rng.random()


def is_below_floor(world, parts, pool):
    """Count apart from the code whether ejection holds too many upstreams out."""
    view = parts.find("upstream_states").pool_view(pool)
    exclusions = view.exclusion_by_id
    reasons = [
        exclusions[item.id].reason for item in pool.upstreams if item.id in exclusions
    ]
    excluded_count = sum(reason in ("ejected", "avoided") for reason in reasons)
    lost = sum(reason in ("draining", "zone_out", "cold") for reason in reasons)
    healthy = len(pool.upstreams) - lost - excluded_count
    return excluded_count > 0 and healthy < pool.floor


def run(seed, enforced):
    """Return how many choices were made below the floor, and how many in all."""
    pool = pools.make_pool("p", 6, 6, 4)
    world = pools.create_world(seed, HOSTS, (pool,))
    world.queue.clear()
    for parts in world.hosts:
        pools.repeat(world, parts, 0.4, 0.5, pools.pull_notices, world, parts)
    pools.warm_up(world)
    configured = pool if enforced else pool._replace(floor=0)
    rng = world.state.rng
    below = total = 0
    for step in range(STEPS):
        act(world, rng, pool)
        for parts in world.hosts:
            for _ in range(CHOICES_PER_STEP):
                chosen = parts.find("balancers").choose(configured, frozenset())
                if not isinstance(chosen, Success):
                    continue
                total += 1
                below += is_below_floor(world, parts, configured._replace(floor=4))
        release_all(world)
        pools.run_until(world, world.state.now + STEP_SECONDS)
    return below, total


def release_all(world):
    """End every attempt under way."""
    done = pools.failed(None, 0.05)
    for parts in world.hosts:
        service = parts.find("attempts")
        for number in range(1, STEPS * CHOICES_PER_STEP + 1):
            service.end(number, done, "A", "")


def main():
    """Measure with the floor enforced and without."""
    build_view = upstream_states.build_view
    found = [run(seed, True) for seed in range(SEEDS)]
    upstream_states.build_view = lambda pool, classify: build_view(
        pool._replace(floor=0), classify
    )
    without = [run(seed, False) for seed in range(SEEDS)]
    below, total = (sum(column) for column in zip(*found))
    baseline = sum(row[0] for row in without)
    finish(
        [
            Result("floor_choices_below", below, "choices", 0, SEEDS, baseline),
            Result("floor_choices", total, "choices", None, SEEDS),
        ]
    )


if __name__ == "__main__":
    main()

"""New work on a departing upstream later than three seconds after the first sign.

The sign comes from the platform's list, from the upstream's answers, or by ticket.
The baseline is the work within the same time when no sign is spread.
"""

from bench.results import Result, finish
from trefoilpin.fakes import pools

HOSTS = 44
SEEDS = 5
GRACE_SECONDS = 3.0
WATCH_SECONDS = 15.0
SIGNS = ("list", "answer", "ticket")


def give_sign(world, pool, model, sign):
    """Show that an upstream is leaving."""
    if sign == "list":
        path = f"platform/upstreams/{pool.id}/{model.upstream.id}"
        world.objects.put(path, {"leaving": True}, 0)
    if sign == "answer":
        model.draining = True
    if sign == "ticket":
        first, *others = pool.upstreams
        changed = (first._replace(draining=True), *others)
        pools.submit(world, pool._replace(upstreams=changed))


def run(seed, sign, spreads):
    """Return how many requests started too late on the leaving upstream."""
    pool = pools.make_pool("p", 25, 6, 12)
    world = pools.create_world(seed, HOSTS, (pool,))
    pools.warm_up(world)
    began = world.state.now + 6.0
    pools.drive(world, "p", 125.0, began + WATCH_SECONDS)
    pools.run_until(world, began)
    model = world.model_by_id[("p", "p0")]
    if spreads:
        give_sign(world, pool, model, sign)
    pools.run_until(world, began + WATCH_SECONDS)
    if sign == "answer" and spreads:
        began = min(at for at in model.starts if at > began) + 0.5
    return sum(at > began + GRACE_SECONDS for at in model.starts)


def main():
    """Measure every kind of sign."""
    results = []
    for sign in SIGNS:
        late = sum(run(seed, sign, True) for seed in range(SEEDS))
        baseline = sum(run(seed, sign, False) for seed in range(SEEDS))
        name = f"drain_late_work_{sign}"
        results.append(Result(name, late, "requests", 0, SEEDS, baseline))
    finish(results)


if __name__ == "__main__":
    main()

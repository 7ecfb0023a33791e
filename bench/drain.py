"""New requests to a draining upstream later than three seconds after the first signal.

The signal comes from the platform's list, from the upstream's answers, or by ticket.
The baseline counts the requests in the same period without any signal.
"""

from bench.results import Result, finish
from trefoilpin.fakes import pools

HOSTS = 44
SEEDS = 5
GRACE_SECONDS = 3.0
OBSERVE_SECONDS = 15.0
SIGNALS = ("list", "answer", "ticket")


def signal_drain(world, pool, model, signal):
    """Signal that an upstream is draining."""
    if signal == "list":
        path = f"platform/upstreams/{pool.id}/{model.upstream.id}"
        world.objects.put(path, {"leaving": True}, 0)
    if signal == "answer":
        model.draining = True
    if signal == "ticket":
        first, *others = pool.upstreams
        changed_upstreams = (first._replace(draining=True), *others)
        pools.submit(world, pool._replace(upstreams=changed_upstreams))


def run(seed, signal, is_signalled):
    """Return how many requests started too late on the draining upstream."""
    pool = pools.make_pool("p", 25, 6, 12)
    world = pools.create_world(seed, HOSTS, (pool,))
    pools.warm_up(world)
    signalled_at = world.state.now + 6.0
    pools.drive(world, "p", 125.0, signalled_at + OBSERVE_SECONDS)
    pools.run_until(world, signalled_at)
    model = world.model_by_id[("p", "p0")]
    if is_signalled:
        signal_drain(world, pool, model, signal)
    pools.run_until(world, signalled_at + OBSERVE_SECONDS)
    if signal == "answer" and is_signalled:
        signalled_at = min(at for at in model.starts if at > signalled_at) + 0.5
    return sum(at > signalled_at + GRACE_SECONDS for at in model.starts)


def main():
    """Measure every kind of signal."""
    results = []
    for signal in SIGNALS:
        late_requests = sum(run(seed, signal, True) for seed in range(SEEDS))
        baseline = sum(run(seed, signal, False) for seed in range(SEEDS))
        name = f"drain_late_work_{signal}"
        results.append(Result(name, late_requests, "requests", 0, SEEDS, baseline))
    finish(results)


if __name__ == "__main__":
    main()

"""Cost of health reports and coordination for hosts and coordinators.

The real services of 44 hosts observe one pool on a simulated clock. Every message
between them is encoded as on the wire to determine its size, and handlers are timed.
"""

import time

from bench.results import Result, finish
from trefoilpin import health, peer_codecs
from trefoilpin.fakes import pools

SEED = 1
HOSTS = 44
POOL_SIZES = (7, 28)
SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 10.0
REQUESTS_PER_UPSTREAM = 5.0
ENVELOPE_BYTES = 50
PLANNED_SERVICES = 200
PLANNED_HOSTS = 460


class HandlerCost:
    """Messages of one method: their number, bytes and handler time in seconds."""

    def __init__(self):
        self.count = 0
        self.bytes = 0
        self.seconds = 0.0


def measure_handlers(world, name, cost):
    """Wrap the handler of a method on every host to record its cost."""
    method = peer_codecs.METHODS[name]

    def wrap(handler):
        def handle(sender, message):
            started_at = time.process_time()
            reply = handler(sender, message)
            cost.seconds += time.process_time() - started_at
            cost.count += 1
            cost.bytes += len(peer_codecs.encode(message, method.request_struct))
            cost.bytes += len(peer_codecs.encode(reply, method.reply_struct))
            return reply

        return handle

    for handlers in world.state.handler_by_method_by_address.values():
        if name in handlers:
            handlers[name] = wrap(handlers[name])


def measure_pool(upstream_count):
    """Return bytes and seconds of a report, and seconds of a coordinator step."""
    pool = pools.make_pool("p", upstream_count, 6, upstream_count // 2)
    world = pools.create_world(SEED, HOSTS, (pool,))
    pools.warm_up(world)
    rate = REQUESTS_PER_UPSTREAM * upstream_count
    pools.drive(world, "p", rate, world.state.now + SETTLE_SECONDS + MEASURE_SECONDS)
    pools.run_until(world, world.state.now + SETTLE_SECONDS)
    cost = HandlerCost()
    measure_handlers(world, health.METHOD, cost)
    pools.run_until(world, world.state.now + MEASURE_SECONDS)
    coordinator = world.hosts[0].find("memberships").first("pool/p")
    parts = next(item for item in world.hosts if item.host == coordinator)
    started_at = time.process_time()
    parts.find("coordinators").step()
    step_seconds = time.process_time() - started_at
    return cost.bytes / cost.count, cost.seconds / cost.count, step_seconds


def main():
    """Report the costs of a large pool and their slopes over its upstreams."""
    small_pool, large_pool = (measure_pool(count) for count in POOL_SIZES)
    added_upstreams = POOL_SIZES[1] - POOL_SIZES[0]
    per_upstream = [
        (large_cost - small_cost) / added_upstreams
        for small_cost, large_cost in zip(small_pool, large_pool)
    ]
    report_bytes, handler_seconds, step_seconds = large_pool
    finish(
        (
            Result(
                "health_report_bytes",
                round(report_bytes + ENVELOPE_BYTES),
                "B",
                seed=SEED,
            ),
            Result("health_report_bytes_per_upstream", round(per_upstream[0], 1), "B"),
            Result(
                "health_report_time", round(handler_seconds * 1e6, 1), "us", seed=SEED
            ),
            Result("coordinator_step_time", round(step_seconds * 1e6), "us", seed=SEED),
            Result("coordinator_step_per_upstream", round(per_upstream[2] * 1e6), "us"),
        )
    )


if __name__ == "__main__":
    main()

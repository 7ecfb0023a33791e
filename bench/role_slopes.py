"""What the health of upstreams costs hosts and coordinators.

The real functions of 44 hosts watch one pool in a plain loop. Every message between
them is encoded as on the wire to know its size, and each handler is timed.
"""

import time

from bench.results import Result, finish
from trefoilpin import health, peer_codecs
from trefoilpin.fakes import pools

SEED = 1
HOSTS = 44
UPSTREAMS = (7, 28)
SETTLE_SECONDS = 5.0
WATCH_SECONDS = 10.0
REQUESTS_PER_UPSTREAM = 5.0
ENVELOPE_BYTES = 50
PLANNED_SERVICES = 200
PLANNED_HOSTS = 460


class Meter:
    """Messages of one method: how many, their bytes, time in their handlers."""

    def __init__(self):
        self.count = 0
        self.bytes = 0
        self.seconds = 0.0


def meter_handlers(world, name, meter):
    """Wrap every host's handler of a method."""
    method = peer_codecs.METHODS[name]

    def wrap(handler):
        def handle(sender, message):
            started = time.process_time()
            reply = handler(sender, message)
            meter.seconds += time.process_time() - started
            meter.count += 1
            meter.bytes += len(peer_codecs.encode(message, method.request_struct))
            meter.bytes += len(peer_codecs.encode(reply, method.reply_struct))
            return reply

        return handle

    for handlers in world.state.handler_by_method_by_address.values():
        if name in handlers:
            handlers[name] = wrap(handlers[name])


def watch(count):
    """Watch a pool; return bytes and handler time of a report, and a step's time."""
    pool = pools.make_pool("p", count, 6, count // 2)
    world = pools.create_world(SEED, HOSTS, (pool,))
    pools.warm_up(world)
    rate = REQUESTS_PER_UPSTREAM * count
    pools.drive(world, "p", rate, world.state.now + SETTLE_SECONDS + WATCH_SECONDS)
    pools.run_until(world, world.state.now + SETTLE_SECONDS)
    meter = Meter()
    meter_handlers(world, health.METHOD, meter)
    pools.run_until(world, world.state.now + WATCH_SECONDS)
    coordinator = world.hosts[0].find("memberships").first("pool/p")
    parts = next(item for item in world.hosts if item.host == coordinator)
    started = time.process_time()
    parts.find("coordinators").step()
    step = time.process_time() - started
    return meter.bytes / meter.count, meter.seconds / meter.count, step


def main():
    """Print slopes over the upstreams of a pool."""
    small, large = (watch(count) for count in UPSTREAMS)
    span = UPSTREAMS[1] - UPSTREAMS[0]
    per_upstream = [(b - a) / span for a, b in zip(small, large)]
    size, handling, step = large
    finish(
        (
            Result("health_report_bytes", round(size + ENVELOPE_BYTES), "B", seed=SEED),
            Result("health_report_bytes_per_upstream", round(per_upstream[0], 1), "B"),
            Result("health_report_time", round(handling * 1e6, 1), "us", seed=SEED),
            Result("coordinator_step_time", round(step * 1e6), "us", seed=SEED),
            Result("coordinator_step_per_upstream", round(per_upstream[2] * 1e6), "us"),
        )
    )


if __name__ == "__main__":
    main()

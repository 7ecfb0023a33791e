"""Memory and time that the configuration takes, for each object of every kind.

Slopes come from two sizes of configuration; they are carried to the planned size in
``docs/CAPACITY.md``.
"""

import gc
import json
import time
import tracemalloc

from bench.results import Result, finish
from trefoilpin import codecs, configurations, keys, routes
from trefoilpin.fakes.loops import LoopState, create_host_kernel
from trefoilpin.records import (
    ChangeTicket,
    ClientAccount,
    Key,
    ObjectChange,
    Pool,
    Route,
    Upstream,
)

SMALL = 1000
LARGE = 5000
LOOKUPS = 20_000
PLANNED_ACCOUNTS = 21_000
PLANNED_ROUTES = 2900
PLANNED_UPSTREAMS = 5600
MEMORY_BOUND_MEGABYTES = 64
UPSTREAMS_PER_POOL = 28


def create_record(kind, number):
    """Return a record like those of a real configuration."""
    name = f"{kind}-{number:06d}"
    if kind == "account":
        return ClientAccount(name, 10.0 + number, 20.0 + number)
    if kind == "key":
        digest = f"{number:064x}"
        return Key(name, f"account-{number:06d}", f"{number:016x}", digest)
    if kind == "route":
        path, pool = f"/service/{number}", f"pool-{number % 200}"
        return Route(name, f"host{number % 50}.example", path, ("GET",), pool)
    upstreams = tuple(
        Upstream(f"{name}-{item}", f"10.0.{number % 250}.{item}:80", "a", 6)
        for item in range(UPSTREAMS_PER_POOL)
    )
    return Pool(name, upstreams, 14)


def apply_records(kind, count):
    """Join one ticket of many records; return bytes kept, seconds, encoded size."""
    changes = []
    for number in range(count):
        record = create_record(kind, number)
        changes.append(ObjectChange(kind, record.id, record))
    text = json.dumps(codecs.encode_changes(changes))
    del changes
    started = time.perf_counter()
    join(text)
    seconds = time.perf_counter() - started
    gc.collect()
    tracemalloc.start()
    kernel = join(text)
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kernel.find("configurations")
    return kept, seconds, len(text)


def join(text):
    """Decode the changes of one ticket and join them; return the kernel."""
    kernel = create_host_kernel(LoopState(1))
    service = configurations.create(kernel)
    routes.create(kernel)
    decoded = codecs.decode_changes(json.loads(text)).unwrap()
    service.apply(ChangeTicket(1, "", decoded))
    return kernel


def slope(kind):
    """Return bytes kept, microseconds and encoded bytes for each record."""
    small, large = apply_records(kind, SMALL), apply_records(kind, LARGE)
    per_record = [(b - a) / (LARGE - SMALL) for a, b in zip(small, large)]
    return per_record[0], per_record[1] * 1_000_000, per_record[2]


def time_lookups():
    """Return microseconds of a route match and of a key check at planned size."""
    kernel = create_host_kernel(LoopState(1))
    service = configurations.create(kernel)
    matching = routes.create(kernel)
    records = [create_record("route", number) for number in range(PLANNED_ROUTES)]
    changes = tuple(ObjectChange("route", record.id, record) for record in records)
    service.apply(ChangeTicket(1, "", changes))
    started = time.perf_counter()
    for number in range(LOOKUPS):
        matching.match(
            f"host{number % 50}.example", f"/service/{number % 2900}/x", "GET"
        )
    match = (time.perf_counter() - started) / LOOKUPS
    started = time.perf_counter()
    for _ in range(LOOKUPS):
        keys.digest_secret("00ff", "secret")
    digest = (time.perf_counter() - started) / LOOKUPS
    return match * 1_000_000, digest * 1_000_000


def results():
    """Yield the slopes and the configuration's memory at the planned size."""
    planned = {
        "account": PLANNED_ACCOUNTS,
        "key": PLANNED_ACCOUNTS,
        "route": PLANNED_ROUTES,
        "pool": PLANNED_UPSTREAMS // UPSTREAMS_PER_POOL,
    }
    total = 0.0
    for kind, count in planned.items():
        kept, microseconds, size = slope(kind)
        total += kept * count
        yield Result(f"state_{kind}_bytes", round(kept), "B")
        yield Result(f"state_{kind}_join_time", round(microseconds, 1), "us")
        yield Result(f"state_{kind}_encoded_bytes", round(size), "B")
    megabytes = round(total / 1_000_000, 1)
    name = "state_configuration_at_planned_size"
    yield Result(name, megabytes, "MB", MEMORY_BOUND_MEGABYTES)
    match, digest = time_lookups()
    yield Result("state_route_match_time", round(match, 2), "us")
    yield Result("state_key_digest_time", round(digest, 2), "us")


def main():
    """Print the slopes."""
    finish(results())


if __name__ == "__main__":
    main()

"""Memory and time that the configuration takes, for each object of every kind.

The slopes are measured between two sizes of the configuration; ``docs/CAPACITY.md``
extrapolates them to the planned size.
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

SMALL_COUNT = 1000
LARGE_COUNT = 5000
LOOKUP_COUNT = 20_000
PLANNED_ACCOUNTS = 21_000
PLANNED_ROUTES = 2900
PLANNED_UPSTREAMS = 5600
MEMORY_BOUND_MEGABYTES = 64
UPSTREAMS_PER_POOL = 28


def create_record(kind, number):
    """Return a record of a kind, similar to those of a real configuration."""
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


def measure(kind, count):
    """Apply a ticket of many records; return bytes kept, seconds and encoded size."""
    changes = []
    for number in range(count):
        record = create_record(kind, number)
        changes.append(ObjectChange(kind, record.id, record))
    encoded_changes = json.dumps(codecs.encode_changes(changes))
    del changes
    started_at = time.perf_counter()
    apply_changes(encoded_changes)
    seconds = time.perf_counter() - started_at
    gc.collect()
    tracemalloc.start()
    kernel = apply_changes(encoded_changes)
    gc.collect()
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kernel.find("configurations")
    return kept_bytes, seconds, len(encoded_changes)


def apply_changes(encoded_changes):
    """Decode and apply the changes of a ticket on a new host; return its kernel."""
    kernel = create_host_kernel(LoopState(1))
    service = configurations.create(kernel)
    routes.create(kernel)
    decoded = codecs.decode_changes(json.loads(encoded_changes)).unwrap()
    service.apply(ChangeTicket(1, "", decoded))
    return kernel


def slope(kind):
    """Return bytes kept, microseconds and encoded bytes for each record."""
    small, large = measure(kind, SMALL_COUNT), measure(kind, LARGE_COUNT)
    per_record = [
        (large_cost - small_cost) / (LARGE_COUNT - SMALL_COUNT)
        for small_cost, large_cost in zip(small, large)
    ]
    return per_record[0], per_record[1] * 1_000_000, per_record[2]


def time_lookups():
    """Return microseconds of a route match at planned size, and of a key digest."""
    kernel = create_host_kernel(LoopState(1))
    service = configurations.create(kernel)
    route_service = routes.create(kernel)
    records = [create_record("route", number) for number in range(PLANNED_ROUTES)]
    changes = tuple(ObjectChange("route", record.id, record) for record in records)
    service.apply(ChangeTicket(1, "", changes))
    started_at = time.perf_counter()
    for number in range(LOOKUP_COUNT):
        route_service.match(
            f"host{number % 50}.example", f"/service/{number % 2900}/x", "GET"
        )
    match_seconds = (time.perf_counter() - started_at) / LOOKUP_COUNT
    started_at = time.perf_counter()
    for _ in range(LOOKUP_COUNT):
        keys.digest_secret("00ff", "secret")
    digest_seconds = (time.perf_counter() - started_at) / LOOKUP_COUNT
    return match_seconds * 1_000_000, digest_seconds * 1_000_000


def results():
    """Yield the slopes, and the memory of the configuration at the planned size."""
    planned_count_by_kind = {
        "account": PLANNED_ACCOUNTS,
        "key": PLANNED_ACCOUNTS,
        "route": PLANNED_ROUTES,
        "pool": PLANNED_UPSTREAMS // UPSTREAMS_PER_POOL,
    }
    total_bytes = 0.0
    for kind, count in planned_count_by_kind.items():
        kept_bytes, microseconds, encoded_bytes = slope(kind)
        total_bytes += kept_bytes * count
        yield Result(f"state_{kind}_bytes", round(kept_bytes), "B")
        yield Result(f"state_{kind}_join_time", round(microseconds, 1), "us")
        yield Result(f"state_{kind}_encoded_bytes", round(encoded_bytes), "B")
    megabytes = round(total_bytes / 1_000_000, 1)
    name = "state_configuration_at_planned_size"
    yield Result(name, megabytes, "MB", MEMORY_BOUND_MEGABYTES)
    match_microseconds, digest_microseconds = time_lookups()
    yield Result("state_route_match_time", round(match_microseconds, 2), "us")
    yield Result("state_key_digest_time", round(digest_microseconds, 2), "us")


def main():
    """Print the slopes."""
    finish(results())


if __name__ == "__main__":
    main()

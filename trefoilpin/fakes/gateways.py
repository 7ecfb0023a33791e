"""Kernel of a gateway host on a manual clock, and sample records for tests."""

import random
from functools import partial

from returns.result import Failure, Success

from trefoilpin import metrics
from trefoilpin.gateway.store import document_cache
from trefoilpin.gateway.store.records import (
    Account,
    CallerLimits,
    Configuration,
    Pool,
    Route,
    Upstream,
    WeightedPool,
)
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.services import Events

ROUTE = Route("r1", "h", "/a/", (WeightedPool("p", 1.0),), False, 2.0, 0.5, 2, 1, False)
ACCOUNT = Account("acme", 10.0, 5.0, None)


class ManualClock:
    """Clock that only ``sleep`` and the test advance."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.time += seconds


def create_host(seed=1):
    """Return a kernel, its clock and the list of emitted ``(event, fields)``."""
    clock = ManualClock()
    tasks = []
    kernel = create_kernel(
        Clock(clock.now, clock.now, clock.sleep),
        lambda *task: tasks.append(task),
        random.Random(seed),
    )
    log_lines = []
    kernel.register(
        "events",
        Events(lambda event, **fields: log_lines.append((event, fields)), lambda: None),
    )
    metrics.create(kernel)
    return kernel, clock, log_lines


def named(log_lines, event):
    """Return the fields of each occurrence of an event."""
    return [fields for logged, fields in log_lines if logged is event]


def create_document_cache(kernel, values=None):
    """Create ``document_cache`` and a function that applies a value to it.

    Hosts that share ``values`` can read each other's documents.
    """
    values = {} if values is None else values

    def decode(rows):
        return Success(values[rows["value"]])

    decode_by_kind = dict.fromkeys(document_cache.KINDS, decode)
    service = document_cache.create(kernel, decode_by_kind)

    def put(kind, revision, value, age=0.0, era=0):
        values[repr(value)] = value
        rows = {"value": repr(value)}
        return service.apply_document(kind, revision, rows, age, "store", 0.0, era)

    return service, put


def decode_records(kind, rows):
    """Return the value of rows such as ``upstream_row`` returns, by kind."""
    if kind == document_cache.ZONES_OUT:
        return Success(frozenset(rows))
    if kind == document_cache.CONFIGURATION:
        if not rows:
            return Failure("there is no configuration")
        return Success(configuration()._replace(version=rows["version"]))
    upstream_by_id = {}
    for name, text in rows.items():
        born, state = text.split()
        entry = upstream(1, draining=state == "draining", born=int(born))
        upstream_by_id[name] = entry._replace(id=name)
    return Success(upstream_by_id)


def create_record_cache(kernel, heartbeat_seconds=1.5):
    """Create ``document_cache`` with records as values, which restores depend on."""
    decode_by_kind = {}
    for kind in document_cache.KINDS:
        decode_by_kind[kind] = partial(decode_records, kind)
    return document_cache.create(kernel, decode_by_kind, heartbeat_seconds)


def upstream_row(born, draining=False):
    """Return the text of an upstream's row for ``decode_records``."""
    return f"{born} {'draining' if draining else 'ready'}"


def configuration(routes=(ROUTE,), accounts=(("k1", ACCOUNT),), cold_rate=20.0):
    """Return a configuration with one pool."""
    route_by_prefix_by_host = {}
    for route in routes:
        route_by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
    pools = {"p": Pool("p", 100, cold_rate)}
    return Configuration(
        "v1", route_by_prefix_by_host, dict(accounts), pools, CallerLimits()
    )


def upstream(number, zone="a", slots=2, draining=False, cold=0.0, born=1):
    """Return an upstream of pool ``p``."""
    address = f"10.0.0.{number}:80"
    return Upstream(f"u{number}", born, "p", address, zone, slots, draining, cold)


def table(*upstreams):
    """Return upstreams by id."""
    return {entry.id: entry for entry in upstreams}

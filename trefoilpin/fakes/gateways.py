"""A host's kernel with a clock that the test moves, and records to play with."""

import random

from returns.result import Success

from trefoilpin import metrics
from trefoilpin.gateway import document_cache
from trefoilpin.gateway.records import (
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
    """Time that stands still until a test moves it."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.time += seconds


def create_host(seed=1):
    """Return a kernel, its clock and the log events emitted on it."""
    clock = ManualClock()
    tasks = []
    kernel = create_kernel(
        Clock(clock.now, clock.now, clock.sleep),
        lambda *task: tasks.append(task),
        random.Random(seed),
    )
    lines = []
    kernel.register(
        "events",
        Events(lambda event, **fields: lines.append((event, fields)), lambda: None),
    )
    metrics.create(kernel)
    return kernel, clock, lines


def named(lines, event):
    """Return the fields of each line of an event."""
    return [fields for found, fields in lines if found is event]


def create_document_cache(kernel, values=None):
    """Create ``document_cache`` and a function that puts a value into it.

    Hosts that share ``values`` can read each other's documents.
    """
    values = {} if values is None else values

    def decode(rows):
        return Success(values[rows["value"]])

    decode_by_kind = dict.fromkeys(document_cache.KINDS, decode)
    service = document_cache.create(kernel, decode_by_kind)

    def put(kind, revision, value, age=0.0):
        values[repr(value)] = value
        return service.apply_document(
            kind, revision, {"value": repr(value)}, age, "store"
        )

    return service, put


def configuration(routes=(ROUTE,), accounts=(("k1", ACCOUNT),), cold_rate=20.0):
    """Return a configuration with one pool."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    pools = {"p": Pool("p", 100, cold_rate)}
    return Configuration("v1", by_host, dict(accounts), pools, CallerLimits())


def upstream(number, zone="a", slots=2, draining=False, cold=0.0, born=1):
    """Return an upstream of pool ``p``."""
    address = f"10.0.0.{number}:80"
    return Upstream(f"u{number}", born, "p", address, zone, slots, draining, cold)


def table(*upstreams):
    """Return upstreams by id."""
    return {entry.id: entry for entry in upstreams}

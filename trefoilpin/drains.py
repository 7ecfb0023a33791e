"""Draining upstreams, as signalled by a ticket, the platform's list or an answer.

A few hosts watch the platform's list. Each signal from the list or an answer is sent to
all hosts in a notice, which expires unless the signal is seen again.
"""

import math
from typing import NamedTuple

from returns.result import Success

from trefoilpin import events
from trefoilpin.services import Drains

__all__ = ["create"]

TOPIC = "drain"
LIST_PREFIX = "platform/upstreams/"
LIST_READER_COUNT = 3
WATCH_TIMEOUT_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.5
DRAIN_EXPIRY_SECONDS = 60.0
MIN_RENEWAL_INTERVAL_SECONDS = 20.0
SEPARATOR = "\t"


class Drain(NamedTuple):
    """Source of a drain signal, and when it expires."""

    source: str
    expires_at: float


class DrainState:
    """Drain signals known to this host."""

    def __init__(self):
        self.drain_by_upstream: dict[tuple[str, str], Drain] = {}
        self.listed: set[tuple[str, str]] = set()
        self.list_version = None
        self.subscribers: list = []


def create(kernel):
    """Create the service ``drains``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Drains
    """
    state = DrainState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    notices = kernel.find("notices")
    memberships = kernel.find("memberships")
    store = kernel.find("store")

    def until(pool, upstream):
        if upstream.draining:
            return math.inf
        drain = state.drain_by_upstream.get((pool, upstream.id))
        return (
            drain.expires_at if drain is not None and drain.expires_at > now() else 0.0
        )

    def record_drain(pool, upstream, source, new_expiry):
        known = state.drain_by_upstream.get((pool, upstream))
        is_new = known is None or known.expires_at <= now()
        if is_new or new_expiry > known.expires_at:
            state.drain_by_upstream[(pool, upstream)] = Drain(source, new_expiry)
            for function in state.subscribers:
                function(pool)
        if is_new:
            emit(events.UPSTREAM_DRAINING, pool=pool, upstream=upstream, source=source)

    def report(pool, upstream, source):
        known = state.drain_by_upstream.get((pool, upstream))
        new_expiry = now() + DRAIN_EXPIRY_SECONDS
        if (
            known is not None
            and known.expires_at > new_expiry - MIN_RENEWAL_INTERVAL_SECONDS
        ):
            return
        record_drain(pool, upstream, source, new_expiry)
        key = f"{pool}{SEPARATOR}{upstream}"
        notices.publish(TOPIC, key, source, DRAIN_EXPIRY_SECONDS)

    def on_notice(notice):
        pool, _, upstream = notice.key.partition(SEPARATOR)
        record_drain(pool, upstream, notice.value, notice.expires_at)

    def draining(pool):
        instant = now()
        return tuple(
            upstream
            for (pool_id, upstream), drain in state.drain_by_upstream.items()
            if pool_id == pool and drain.expires_at > instant
        )

    def is_reader():
        readers = memberships.ranked("platform/upstreams")[:LIST_READER_COUNT]
        return memberships.own() in readers

    def update_listed(path, value):
        pool, _, upstream = path.removeprefix(LIST_PREFIX).partition("/")
        is_leaving = isinstance(value, dict) and bool(value.get("leaving"))
        (state.listed.add if is_leaving else state.listed.discard)((pool, upstream))

    def read_list():
        """Load the platform's list or watch it once; return False on a failure."""
        if not is_reader():
            state.list_version = None
            return False
        if state.list_version is None:
            succeeded = load_list()
        else:
            succeeded = watch_list()
        for pool, upstream in state.listed:
            report(pool, upstream, "list")
        return succeeded

    def load_list():
        listed_objects = []
        after = ""
        while True:
            listed = store.list(LIST_PREFIX, after)
            if not isinstance(listed, Success):
                return False
            rows = listed.unwrap()
            if not rows:
                break
            listed_objects.extend(rows)
            after = rows[-1].path
        state.listed.clear()
        for stored in listed_objects:
            update_listed(stored.path, stored.value)
        state.list_version = max(
            (stored.version for stored in listed_objects), default=0
        )
        return True

    def watch_list():
        watched = store.watch(LIST_PREFIX, state.list_version, WATCH_TIMEOUT_SECONDS)
        if not isinstance(watched, Success):
            return False
        for change in watched.unwrap():
            update_listed(change.path, change.stored and change.stored.value)
            state.list_version = max(state.list_version, change.version)
        return True

    def run_forever():
        while True:
            if not read_list():
                kernel.clock.sleep(RETRY_INTERVAL_SECONDS * (1 + kernel.rng.random()))

    notices.subscribe(TOPIC, on_notice)
    service = Drains(until, report, draining, state.subscribers.append, read_list)
    kernel.register("drains", service, lambda: kernel.spawn(run_forever))
    return service

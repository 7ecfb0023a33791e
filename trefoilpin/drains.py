"""Upstreams that are leaving: by ticket, by the platform's list, by their answer.

A few hosts follow the platform's list. Each sign is spread to all hosts as a notice
that lapses unless the sign is seen again.
"""

import math
from typing import NamedTuple

from returns.result import Success

from trefoilpin import events
from trefoilpin.services import Drains

__all__ = ["create"]

TOPIC = "drain"
LIST_PREFIX = "platform/upstreams/"
LIST_READERS = 3
LIST_WATCH_SECONDS = 5.0
RETRY_SECONDS = 0.5
DRAIN_SECONDS = 60.0
RENEW_SECONDS = 20.0
SEPARATOR = "\t"


class Drain(NamedTuple):
    """Why an upstream takes no new work, and until when."""

    source: str
    until: float


class DrainState:
    """Signs known to this host."""

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
        return drain.until if drain is not None and drain.until > now() else 0.0

    def note(pool, upstream, source, ends_at):
        known = state.drain_by_upstream.get((pool, upstream))
        is_new = known is None or known.until <= now()
        if is_new or ends_at > known.until:
            state.drain_by_upstream[(pool, upstream)] = Drain(source, ends_at)
            for function in state.subscribers:
                function(pool)
        if is_new:
            emit(events.UPSTREAM_DRAINING, pool=pool, upstream=upstream, source=source)

    def report(pool, upstream, source):
        known = state.drain_by_upstream.get((pool, upstream))
        ends_at = now() + DRAIN_SECONDS
        if known is not None and known.until > ends_at - RENEW_SECONDS:
            return
        note(pool, upstream, source, ends_at)
        key = f"{pool}{SEPARATOR}{upstream}"
        notices.publish(TOPIC, key, source, DRAIN_SECONDS)

    def take_notice(notice):
        pool, _, upstream = notice.key.partition(SEPARATOR)
        note(pool, upstream, notice.value, notice.expires_at)

    def draining(pool):
        at = now()
        return tuple(
            upstream
            for (name, upstream), drain in state.drain_by_upstream.items()
            if name == pool and drain.until > at
        )

    def is_reader():
        readers = memberships.ranked("platform/upstreams")[:LIST_READERS]
        return memberships.own() in readers

    def take_listed(path, value):
        pool, _, upstream = path.removeprefix(LIST_PREFIX).partition("/")
        leaves = isinstance(value, dict) and bool(value.get("leaving"))
        (state.listed.add if leaves else state.listed.discard)((pool, upstream))

    def read_list():
        """Follow the platform's list for one turn; return False when it failed."""
        if not is_reader():
            state.list_version = None
            return False
        if state.list_version is None:
            read = read_whole_list()
        else:
            read = watch_list()
        for pool, upstream in state.listed:
            report(pool, upstream, "list")
        return read

    def read_whole_list():
        found = []
        after = ""
        while True:
            listed = store.list(LIST_PREFIX, after)
            if not isinstance(listed, Success):
                return False
            rows = listed.unwrap()
            if not rows:
                break
            found.extend(rows)
            after = rows[-1].path
        state.listed.clear()
        for stored in found:
            take_listed(stored.path, stored.value)
        state.list_version = max((stored.version for stored in found), default=0)
        return True

    def watch_list():
        watched = store.watch(LIST_PREFIX, state.list_version, LIST_WATCH_SECONDS)
        if not isinstance(watched, Success):
            return False
        for change in watched.unwrap():
            take_listed(change.path, change.stored and change.stored.value)
            state.list_version = max(state.list_version, change.version)
        return True

    def follow_forever():
        while True:
            if not read_list():
                kernel.clock.sleep(RETRY_SECONDS * (1 + kernel.rng.random()))

    notices.subscribe(TOPIC, take_notice)
    service = Drains(until, report, draining, state.subscribers.append, read_list)
    kernel.register("drains", service, lambda: kernel.spawn(follow_forever))
    return service

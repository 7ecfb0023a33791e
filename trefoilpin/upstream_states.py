"""Fleet-wide state of each upstream, and the floor on available upstreams.

The pool's coordinator publishes one entry per upstream: warm, cold or ejected. Entries
are merged by counter; at equal counters the more cautious state wins. The result is
therefore independent of the order of arrival, and of two coordinators at a time. An
upstream without an entry is cold.

Every host enforces the floor itself. Upstreams that are draining, cold or in a zone
that is out are unavailable in any case. Of the others, ejections apply worst first, and
only as long as the pool keeps its floor. What remains of this allowance is used for
upstreams that only this host avoids because it cannot reach them.
"""

import math
from enum import Enum
from typing import NamedTuple

from trefoilpin import events
from trefoilpin.records import Upstream
from trefoilpin.reports import Entry
from trefoilpin.services import UpstreamStates

__all__ = ["Exclusion", "PoolView", "State", "build_view", "create"]

TOPIC = "standing"
NOTICE_LIFETIME_SECONDS = 300.0
EJECTION_EXPIRY_SECONDS = 15.0
ENTRY_FIELD_COUNT = 5


class State(Enum):
    """State of an upstream as decided by the coordinator."""

    WARM = "warm"
    COLD = "cold"
    EJECTED = "ejected"


PRECEDENCE_BY_STATE = {State.WARM.value: 0, State.COLD.value: 1, State.EJECTED.value: 2}


class Exclusion(NamedTuple):
    """Reason why an upstream gets no requests from this host, or only granted ones.

    Attributes
    ----------
    upstream : str
    reason : str
        ``draining``, ``zone_out``, ``ejected``, ``avoided``, ``cold`` or
        ``ejected_over_floor``; the last two get granted requests.
    badness : float
    """

    upstream: str
    reason: str
    badness: float = 0.0


class PoolView(NamedTuple):
    """Upstreams of a pool by what one host may send them.

    Attributes
    ----------
    warm : tuple of Upstream
        Available for all requests within the concurrency limits.
    cold : tuple of Upstream
        Available only for granted requests.
    exclusion_by_id : dict
        ``Exclusion`` of each upstream that is not warm.
    excluded_count : int
        Upstreams excluded by ejection or avoidance.
    max_excluded : int
        Limit on ``excluded_count`` set by the floor.
    """

    warm: tuple[Upstream, ...]
    cold: tuple[Upstream, ...]
    exclusion_by_id: dict[str, Exclusion]
    excluded_count: int
    max_excluded: int


class Avoidance(NamedTuple):
    """Exclusion of an upstream on this host only."""

    expires_at: float
    badness: float


class UpstreamStateTable:
    """Entries and avoidances known to this host, with cached views."""

    def __init__(self):
        self.entry_by_id_by_pool: dict[str, dict[str, Entry]] = {}
        self.received_at_by_upstream: dict[tuple[str, str], float] = {}
        self.avoidance_by_upstream: dict[tuple[str, str], Avoidance] = {}
        self.address_by_upstream: dict[tuple[str, str], str] = {}
        self.change_count = 0
        self.view_by_pool: dict[str, tuple] = {}
        self.publish_count = 0


def supersedes(entry, known):
    """Return whether an entry replaces the known one."""
    if known is None:
        return True
    order = (entry.counter, PRECEDENCE_BY_STATE[entry.state], entry.times)
    return order > (known.counter, PRECEDENCE_BY_STATE[known.state], known.times)


def build_view(pool, classify):
    """Group a pool's upstreams by what a host may send them.

    Parameters
    ----------
    pool : Pool
    classify : callable
        ``classify(upstream)`` returns None for a warm upstream or its ``Exclusion``.

    Returns
    -------
    PoolView
    """
    warm, cold, ejected, avoided = [], [], [], []
    exclusion_by_id = {}
    for upstream in pool.upstreams:
        exclusion = classify(upstream)
        if exclusion is None:
            warm.append(upstream)
            continue
        exclusion_by_id[upstream.id] = exclusion
        if exclusion.reason == "cold":
            cold.append(upstream)
        elif exclusion.reason == "ejected":
            ejected.append(upstream)
        elif exclusion.reason == "avoided":
            avoided.append(upstream)
    usable = len(warm) + len(ejected) + len(avoided)
    max_excluded = max(0, usable - pool.floor)

    def worst_first(upstream):
        return -exclusion_by_id[upstream.id].badness, upstream.id

    ejected.sort(key=worst_first)
    avoided.sort(key=worst_first)
    for upstream in ejected[max_excluded:]:
        exclusion = exclusion_by_id[upstream.id]
        exclusion_by_id[upstream.id] = exclusion._replace(reason="ejected_over_floor")
        cold.append(upstream)
    max_avoided = max(0, max_excluded - len(ejected))
    for upstream in avoided[max_avoided:]:
        del exclusion_by_id[upstream.id]
        warm.append(upstream)
    excluded_count = min(len(ejected), max_excluded) + min(len(avoided), max_avoided)
    return PoolView(
        tuple(warm), tuple(cold), exclusion_by_id, excluded_count, max_excluded
    )


def format_entries(entries, renewal):
    """Return the text of a notice with the entries."""
    lines = ["\t".join(map(str, entry)) for entry in entries]
    return "\n".join([str(renewal), *lines])


def parse_entries(text):
    """Return the entries of a notice without malformed ones."""
    entries = []
    for line in text.split("\n")[1:]:
        fields = line.split("\t")
        if len(fields) != ENTRY_FIELD_COUNT or fields[2] not in PRECEDENCE_BY_STATE:
            continue
        upstream, counter, state, badness, times = fields
        try:
            entry = Entry(upstream, int(counter), state, float(badness), int(times))
        except ValueError:
            continue
        entries.append(entry)
    return tuple(entries)


def create(kernel):
    """Create the service ``upstream_states``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    UpstreamStates
    """
    state = UpstreamStateTable()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    configurations = kernel.find("configurations")
    notices = kernel.find("notices")
    drains = kernel.find("drains")

    def invalidate_views(*unused):
        state.change_count += 1

    def entries(pool):
        return tuple(state.entry_by_id_by_pool.get(pool, {}).values())

    def counter_total(pool):
        return sum(entry.counter for entry in entries(pool))

    def entry_for(pool, upstream):
        return state.entry_by_id_by_pool.get(pool, {}).get(upstream)

    def merge(pool, received):
        entry_by_id = state.entry_by_id_by_pool.setdefault(pool, {})
        for entry in received:
            if entry.state not in PRECEDENCE_BY_STATE:
                continue
            if entry == entry_by_id.get(entry.upstream):
                renew_ejection(pool, entry)
            elif supersedes(entry, entry_by_id.get(entry.upstream)):
                entry_by_id[entry.upstream] = entry
                state.received_at_by_upstream[(pool, entry.upstream)] = now()
                invalidate_views()

    def renew_ejection(pool, entry):
        if entry.state != State.EJECTED.value:
            return
        at = now()
        key = (pool, entry.upstream)
        if at - state.received_at_by_upstream[key] > EJECTION_EXPIRY_SECONDS:
            invalidate_views()
        state.received_at_by_upstream[key] = at

    def set_state(pool, upstream, new_state, badness=0.0, times=0):
        before = entry_for(pool, upstream)
        counter = before.counter + 1 if before else 1
        entry = Entry(upstream, counter, new_state.value, badness, times)
        merge(pool, (entry,))
        return entry

    def publish(pool):
        state.publish_count += 1
        text = format_entries(entries(pool), state.publish_count)
        notices.publish(TOPIC, pool, text, NOTICE_LIFETIME_SECONDS)

    def on_notice(notice):
        merge(notice.key, parse_entries(notice.value))

    def avoid_locally(pool, upstream, seconds, badness):
        expires_at = now() + seconds
        state.avoidance_by_upstream[(pool, upstream)] = Avoidance(expires_at, badness)
        invalidate_views()
        emit(
            events.UPSTREAM_AVOIDED,
            pool=pool,
            upstream=upstream,
            seconds=seconds,
            failures=badness,
        )

    def is_ejected(pool, entry):
        if entry is None or entry.state != State.EJECTED.value:
            return False
        received_at = state.received_at_by_upstream[(pool, entry.upstream)]
        return now() - received_at <= EJECTION_EXPIRY_SECONDS

    def classify(pool, upstream):
        if drains.until(pool.id, upstream) > now():
            return Exclusion(upstream.id, "draining")
        zone = configurations.zones_by_id.get(upstream.zone)
        if zone is None or zone.out:
            return Exclusion(upstream.id, "zone_out")
        entry = entry_for(pool.id, upstream.id)
        if is_ejected(pool.id, entry):
            return Exclusion(upstream.id, "ejected", entry.badness)
        if entry is None or entry.state != State.WARM.value:
            return Exclusion(upstream.id, "cold")
        avoidance = state.avoidance_by_upstream.get((pool.id, upstream.id))
        if avoidance is not None and avoidance.expires_at > now():
            return Exclusion(upstream.id, "avoided", avoidance.badness)
        return None

    def next_expiry(pool):
        """Return when the next drain, ejection or avoidance of this pool expires."""
        at = now()
        earliest = math.inf
        for upstream in pool.upstreams:
            key = (pool.id, upstream.id)
            received_at = state.received_at_by_upstream.get(key, -math.inf)
            avoidance = state.avoidance_by_upstream.get(key)
            expiries = [drains.until(pool.id, upstream)]
            expiries.append(received_at + EJECTION_EXPIRY_SECONDS)
            if avoidance is not None:
                expiries.append(avoidance.expires_at)
            earliest = min([earliest, *(expiry for expiry in expiries if expiry > at)])
        return earliest

    def pool_view(pool):
        cached = state.view_by_pool.get(pool.id)
        if cached is not None:
            change_count, expires_at, cached_pool, view = cached
            if (
                change_count == state.change_count
                and now() < expires_at
                and cached_pool is pool
            ):
                return view
        view = build_view(pool, lambda upstream: classify(pool, upstream))
        state.view_by_pool[pool.id] = (
            state.change_count,
            next_expiry(pool),
            pool,
            view,
        )
        return view

    def mark_cold(pool, upstream):
        """Mark an upstream as cold if it is warm."""
        entry = entry_for(pool, upstream)
        if entry is not None and entry.state == State.WARM.value:
            set_state(pool, upstream, State.COLD)

    def on_pool_change(pool):
        for upstream in pool.upstreams:
            key = (pool.id, upstream.id)
            address = state.address_by_upstream.get(key)
            if address is not None and address != upstream.address:
                mark_cold(pool.id, upstream.id)
            state.address_by_upstream[key] = upstream.address

    def on_zone_change(zone):
        for pool in configurations.pools_by_id.values():
            for upstream in pool.upstreams:
                if upstream.zone == zone.id and zone.out:
                    mark_cold(pool.id, upstream.id)

    def on_configuration_change(changes):
        for change in changes:
            if change.kind == "pool" and change.state is not None:
                on_pool_change(change.state)
            if change.kind == "zone" and change.state is not None:
                on_zone_change(change.state)
        invalidate_views()

    configurations.subscribe(on_configuration_change)
    notices.subscribe(TOPIC, on_notice)
    drains.subscribe(invalidate_views)
    service = UpstreamStates(
        pool_view,
        entries,
        counter_total,
        merge,
        set_state,
        publish,
        avoid_locally,
        entry_for,
    )
    kernel.register("upstream_states", service)
    return service

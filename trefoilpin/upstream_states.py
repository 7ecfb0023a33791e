"""Standing of each upstream, and the floor that ejections leave.

The pool's coordinator publishes one entry for each upstream: warm, cold or ejected.
Entries are joined by counter, and at equal counters the more cautious state holds,
so the result does not depend on their order, nor on two coordinators at once. An
upstream without an entry is cold. Every host enforces the floor itself: draining,
zone out and cold upstreams are unavailable already, and ejections, worst first,
hold only as far as the floor of what remains allows; the host's own avoidance of
upstreams it can't reach takes what is left of that allowance.
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
NOTICE_SECONDS = 300.0
EJECTION_LAPSE_SECONDS = 15.0
FIELDS = 5


class State(Enum):
    """What a coordinator says of an upstream."""

    WARM = "warm"
    COLD = "cold"
    EJECTED = "ejected"


CAUTION_BY_STATE = {State.WARM.value: 0, State.COLD.value: 1, State.EJECTED.value: 2}


class Exclusion(NamedTuple):
    """Why an upstream takes no work from this host, or only granted work.

    Attributes
    ----------
    upstream : str
    reason : str
        ``draining``, ``zone_out``, ``ejected``, ``avoided``, ``cold`` or
        ``ejected_over_floor``; the last two take granted work.
    badness : float
    """

    upstream: str
    reason: str
    badness: float = 0.0


class PoolView(NamedTuple):
    """Upstreams of a pool as one host may use them.

    Attributes
    ----------
    warm : tuple of Upstream
        For any work within the caps.
    cold : tuple of Upstream
        For granted work alone.
    exclusion_by_id : dict
        ``Exclusion`` of each upstream that is not warm.
    excluded_count : int
        Upstreams kept out by ejection or avoidance.
    max_excluded : int
        How many the floor lets be kept out.
    """

    warm: tuple[Upstream, ...]
    cold: tuple[Upstream, ...]
    exclusion_by_id: dict[str, Exclusion]
    excluded_count: int
    max_excluded: int


class Avoidance(NamedTuple):
    """This host's own avoidance of an upstream."""

    until: float
    badness: float


class StandingState:
    """Entries and avoidances known to this host."""

    def __init__(self):
        self.entry_by_id_by_pool: dict[str, dict[str, Entry]] = {}
        self.told_at_by_upstream: dict[tuple[str, str], float] = {}
        self.avoidance_by_upstream: dict[tuple[str, str], Avoidance] = {}
        self.address_by_upstream: dict[tuple[str, str], str] = {}
        self.version = 0
        self.view_by_pool: dict[str, tuple] = {}
        self.renewals = 0


def supersedes(entry, counter_total):
    """Tell whether an entry takes the place of a known one."""
    if counter_total is None:
        return True
    order = (entry.counter, CAUTION_BY_STATE[entry.state], entry.times)
    return order > (
        counter_total.counter,
        CAUTION_BY_STATE[counter_total.state],
        counter_total.times,
    )


def build_view(pool, classify):
    """Divide a pool's upstreams by what a host may send them.

    Parameters
    ----------
    pool : Pool
    classify : callable
        ``classify(upstream)`` gives None for a warm upstream or its ``Exclusion``.

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
    left = max(0, max_excluded - len(ejected))
    for upstream in avoided[left:]:
        del exclusion_by_id[upstream.id]
        warm.append(upstream)
    excluded_count = min(len(ejected), max_excluded) + min(len(avoided), left)
    return PoolView(
        tuple(warm), tuple(cold), exclusion_by_id, excluded_count, max_excluded
    )


def format_entries(entries, renewal):
    """Return entries as the text of a notice."""
    lines = ["\t".join(map(str, entry)) for entry in entries]
    return "\n".join([str(renewal), *lines])


def parse_entries(text):
    """Return the entries of a notice, leaving out malformed ones."""
    entries = []
    for line in text.split("\n")[1:]:
        fields = line.split("\t")
        if len(fields) != FIELDS or fields[2] not in CAUTION_BY_STATE:
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
    state = StandingState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    configurations = kernel.find("configurations")
    notices = kernel.find("notices")
    drains = kernel.find("drains")

    def changed(*unused):
        state.version += 1

    def entries(pool):
        return tuple(state.entry_by_id_by_pool.get(pool, {}).values())

    def counter_total(pool):
        return sum(entry.counter for entry in entries(pool))

    def entry_for(pool, upstream):
        return state.entry_by_id_by_pool.get(pool, {}).get(upstream)

    def merge(pool, told):
        entry_by_id = state.entry_by_id_by_pool.setdefault(pool, {})
        for entry in told:
            if entry.state not in CAUTION_BY_STATE:
                continue
            if entry == entry_by_id.get(entry.upstream):
                refresh(pool, entry)
            elif supersedes(entry, entry_by_id.get(entry.upstream)):
                entry_by_id[entry.upstream] = entry
                state.told_at_by_upstream[(pool, entry.upstream)] = now()
                changed()

    def refresh(pool, entry):
        if entry.state != State.EJECTED.value:
            return
        at = now()
        name = (pool, entry.upstream)
        if at - state.told_at_by_upstream[name] > EJECTION_LAPSE_SECONDS:
            changed()
        state.told_at_by_upstream[name] = at

    def set_state(pool, upstream, standing, badness=0.0, times=0):
        before = entry_for(pool, upstream)
        counter = before.counter + 1 if before else 1
        entry = Entry(upstream, counter, standing.value, badness, times)
        merge(pool, (entry,))
        return entry

    def publish(pool):
        state.renewals += 1
        text = format_entries(entries(pool), state.renewals)
        notices.publish(TOPIC, pool, text, NOTICE_SECONDS)

    def take_notice(notice):
        merge(notice.key, parse_entries(notice.value))

    def avoid_locally(pool, upstream, seconds, badness):
        until = now() + seconds
        state.avoidance_by_upstream[(pool, upstream)] = Avoidance(until, badness)
        changed()
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
        told_at = state.told_at_by_upstream[(pool, entry.upstream)]
        return now() - told_at <= EJECTION_LAPSE_SECONDS

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
        if avoidance is not None and avoidance.until > now():
            return Exclusion(upstream.id, "avoided", avoidance.badness)
        return None

    def next_lapse(pool):
        """Return when a timed sign of this pool ends."""
        at = now()
        lapse = math.inf
        for upstream in pool.upstreams:
            name = (pool.id, upstream.id)
            told_at = state.told_at_by_upstream.get(name, -math.inf)
            avoidance = state.avoidance_by_upstream.get(name)
            ends = [drains.until(pool.id, upstream)]
            ends.append(told_at + EJECTION_LAPSE_SECONDS)
            if avoidance is not None:
                ends.append(avoidance.until)
            lapse = min([lapse, *(end for end in ends if end > at)])
        return lapse

    def pool_view(pool):
        cached = state.view_by_pool.get(pool.id)
        if cached is not None:
            version, lapse, cached_pool, found = cached
            if version == state.version and now() < lapse and cached_pool is pool:
                return found
        found = build_view(pool, lambda upstream: classify(pool, upstream))
        state.view_by_pool[pool.id] = (state.version, next_lapse(pool), pool, found)
        return found

    def chill(pool, upstream):
        """Mark an upstream cold where this host believed it warm."""
        entry = entry_for(pool, upstream)
        if entry is not None and entry.state == State.WARM.value:
            set_state(pool, upstream, State.COLD)

    def follow_pool(pool):
        for upstream in pool.upstreams:
            name = (pool.id, upstream.id)
            address = state.address_by_upstream.get(name)
            if address is not None and address != upstream.address:
                chill(pool.id, upstream.id)
            state.address_by_upstream[name] = upstream.address

    def follow_zone(zone):
        for pool in configurations.pools_by_id.values():
            for upstream in pool.upstreams:
                if upstream.zone == zone.id and zone.out:
                    chill(pool.id, upstream.id)

    def follow_changes(changes):
        for change in changes:
            if change.kind == "pool" and change.state is not None:
                follow_pool(change.state)
            if change.kind == "zone" and change.state is not None:
                follow_zone(change.state)
        changed()

    configurations.subscribe(follow_changes)
    notices.subscribe(TOPIC, take_notice)
    drains.subscribe(changed)
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

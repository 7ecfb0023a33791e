"""Reading the store: which host does it, how often, and what happens in an outage.

One host lists each kind at a fixed period and tells the others. A host whose document
is older than a bound reads the store itself, the sooner the earlier it is in the order
of readers. So the number of calls does not grow with the fleet, and a dead reader is
replaced without any message.

Watches are not used: a watch may miss events while changes are made, so its silence
says nothing about the store's content. The age bounds rely on lists alone.
"""

from typing import Any, Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.document_cache import (
    CONFIGURATION,
    KINDS,
    UPSTREAMS,
    ZONES_OUT,
)
from trefoilpin.gateway.loops import repeat

__all__ = [
    "LAPSE_SECONDS",
    "OUTAGE_SECONDS",
    "ReadSettings",
    "StoreReaders",
    "create",
]

# Upstreams whose entries lapsed in an outage write them anew within this time.
LAPSE_SECONDS = 2.2
# An older view than this saw an outage in which entries may have lapsed.
OUTAGE_SECONDS = 2.5
# After a failure the first in order try again soon, so that an outage's end is seen at
# once; calls of all others would only add to it, as they are told.
FIRST_PAUSE_SECONDS = 0.2
MOST_PAUSE_SECONDS = 0.8
MOST_OTHER_PAUSE_SECONDS = 3.2
EAGER_HOSTS = 8
IDLE_SECONDS = 0.1
# Places further back read as late as this one, within the bound and the time of a call.
MOST_RANK = 8


class ReadSettings(NamedTuple):
    """Timing of the reads of one kind.

    Attributes
    ----------
    period : float
        Seconds between two lists by the reader.
    take_over : float
        Age in seconds from which the next host in order reads too.
    rank_seconds : float
        Added to it for each further position in the order.
    """

    period: float
    take_over: float
    rank_seconds: float


# Bounds are 2 s for configuration and draining upstreams and 5 s for zones. While the
# reader is live, a relay's documents are as old as the period and one gossip message
# (0.5 s); a takeover has to leave the time of one call and two gossip messages.
SETTINGS_BY_KIND = {
    CONFIGURATION: ReadSettings(0.6, 1.35, 0.06),
    UPSTREAMS: ReadSettings(0.6, 1.35, 0.06),
    ZONES_OUT: ReadSettings(1.4, 2.4, 0.2),
}


class ParsedObject(NamedTuple):
    """An object as it was read, and the rows parsed from it."""

    content: Any
    rows: dict[str, str]


class ReaderState:
    """Failures, pauses and parsed objects of this host's reads."""

    def __init__(self):
        self.failures_by_kind = dict.fromkeys(KINDS, 0)
        self.paused_until_by_kind = dict.fromkeys(KINDS, 0.0)
        self.held_until_by_name: dict[str, float] = {}
        self.hold_until = float("-inf")
        self.parsed_by_name_by_kind: dict[str, dict[str, ParsedObject]] = {}
        self.is_reachable = True


class StoreReaders(NamedTuple):
    """``store_readers``: ``step(kind)`` reads the store if it is this host's turn."""

    step: Callable[[str], bool]


def create(kernel, codec, parse_object, rank, startup_delay, share):
    """Create the service ``store_readers``.

    Parameters
    ----------
    kernel : Kernel
    codec : DocumentCodec
    parse_object : callable
        ``parse_object(kind, name, content)`` returns the rows of an object by name, as
        tables, without its heartbeat fields; no rows for an unusable object.
    reader_rank : callable
        This host's place in the order of readers, from 0.
    startup_delay : callable
        Seconds after the start in which this host leaves reading to others.
    share : callable
        Called when something was read, so that the others hear of it.

    Returns
    -------
    StoreReaders
    """
    state = ReaderState()
    now, sleep = kernel.clock.now, kernel.clock.sleep
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    store = kernel.find("store")
    document_cache = kernel.find("document_cache")

    started_at = now()

    def is_due(kind):
        running = now() - started_at
        if running < startup_delay() or now() < state.paused_until_by_kind[kind]:
            return False
        place = rank()
        if place == 0:
            return True
        settings = SETTINGS_BY_KIND[kind]
        late = min(place, MOST_RANK) * settings.rank_seconds
        return min(document_cache.age(kind), running) > settings.take_over + late

    def step(kind):
        if not is_due(kind):
            return False
        age_before = document_cache.age(kind)
        started = now()
        outcome = store.list_all(kind)
        if isinstance(outcome, Failure):
            note_failure(kind, outcome.failure())
            return True
        note_success(kind)
        note_read(kind, outcome.unwrap(), now() - started)
        # What other hosts told during the call is known too.
        before = document_cache.rows(kind)
        if kind == UPSTREAMS and before and age_before > OUTAGE_SECONDS:
            state.hold_until = now() + LAPSE_SECONDS
        take_listing(kind, outcome.unwrap(), before, started)
        share()
        pause(kind, SETTINGS_BY_KIND[kind].period - IDLE_SECONDS)
        return True

    def take_listing(kind, listing, before, started):
        after, split_by_name = {}, {}
        for name, content in listing.content_by_name.items():
            split_by_name[name] = split_once(kind, name, content)
            after.update(split_by_name[name].rows)
        state.parsed_by_name_by_kind[kind] = split_by_name
        if kind == UPSTREAMS:
            hold_lapsed(before, after)
        document_cache.apply_document(
            kind, listing.revision, after, now() - started, "store"
        )

    def split_once(kind, name, content):
        """Return an object with its rows, made anew only when it changed."""
        known = state.parsed_by_name_by_kind.get(kind, {}).get(name)
        if known is not None and known.content == content:
            return known
        rows = {}
        for row_name, row in parse_object(kind, name, content).items():
            rows[row_name] = codec.encode_content(row)
        return ParsedObject(content, rows)

    def hold_lapsed(before, after):
        """Keep upstreams for a while whose entries may have lapsed in an outage.

        Parameters
        ----------
        before, after : dict
            Rows as last known and as just read; ``after`` is changed.
        """
        held = state.held_until_by_name
        if now() < state.hold_until:
            for name in before:
                if name not in after:
                    held.setdefault(name, state.hold_until)
        for name, until in list(held.items()):
            if name in after or now() >= until:
                del held[name]
            elif name in before:
                after[name] = before[name]

    def note_read(kind, listing, seconds):
        metrics.time("store_list_seconds", seconds)
        emit(
            events.STORE_READ,
            kind=kind,
            revision=listing.revision,
            objects=len(listing.content_by_name),
            milliseconds=round(seconds * 1000, 1),
            place=rank(),
        )

    def note_failure(kind, failure):
        state.failures_by_kind[kind] += 1
        doubled = FIRST_PAUSE_SECONDS * 2 ** min(state.failures_by_kind[kind] - 1, 5)
        is_eager = rank() < EAGER_HOSTS
        most = MOST_PAUSE_SECONDS if is_eager else MOST_OTHER_PAUSE_SECONDS
        pause(kind, min(doubled, most))
        if state.is_reachable:
            state.is_reachable = False
            emit(events.STORE_LOST, kind=kind, detail=failure.detail)

    def note_success(kind):
        state.failures_by_kind[kind] = 0
        if not state.is_reachable:
            state.is_reachable = True
            emit(
                events.STORE_REGAINED, kind=kind, age=round(document_cache.age(kind), 3)
            )

    def pause(kind, seconds):
        jitter = 0.75 + 0.5 * kernel.rng.random()
        state.paused_until_by_kind[kind] = now() + seconds * jitter

    def pause_between():
        return IDLE_SECONDS * (0.75 + 0.5 * kernel.rng.random())

    def start():
        for kind in KINDS:
            kernel.spawn(repeat, sleep, pause_between, step, kind)

    service = StoreReaders(step)
    kernel.register("store_readers", service, start)
    return service

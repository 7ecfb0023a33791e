"""Reading the store: which host does it, how often, and what happens in an outage.

One host lists each kind at a fixed period and forwards the result. A host whose
document is older than a bound reads the store itself; the bound grows with its position
in the order of readers. So the number of calls does not grow with the fleet, and a dead
reader is replaced without any message.

Watches are not used: a watch may miss events, so receiving none does not show that the
content is unchanged. The age bounds rely on lists alone.
"""

from functools import partial
from typing import Any, Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.store.document_cache import (
    CONFIGURATION,
    ROLLOUTS,
    UPSTREAMS,
    ZONES_OUT,
)
from trefoilpin.gateway.store.store_outages import MIN_OUTAGE_SECONDS

__all__ = ["ReadSettings", "StoreReaders", "create"]

# After a failure the first hosts in the order retry soon, so that the end of an outage
# is noticed at once. The others are sent the result and would only add load.
MIN_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 0.8
MAX_OTHER_RETRY_DELAY_SECONDS = 3.2
FREQUENT_RETRY_HOSTS = 8
STEP_INTERVAL_SECONDS = 0.1
# A host that becomes the first reader notices it within this time.
MAX_STEP_PAUSE_SECONDS = 0.3
PARSE_ERRORS = (ValueError, TypeError, RecursionError)
# The delay does not grow beyond this rank, so that with one call it stays within the
# age bound.
MAX_DELAY_RANK = 8


class ReadSettings(NamedTuple):
    """Timing of the reads of one kind.

    Attributes
    ----------
    period : float
        Seconds between two lists by the reader.
    take_over_age : float
        Age in seconds of the document from which other hosts read too.
    rank_seconds : float
        Added to it for each position in the order.
    """

    period: float
    take_over_age: float
    rank_seconds: float


# Bounds are 2 s for configuration and draining upstreams and 5 s for zones. While the
# reader is live, a relay's documents are at most as old as the period plus one gossip
# message (0.5 s). A takeover has to leave time for one call and two gossip messages.
SETTINGS_BY_KIND = {
    CONFIGURATION: ReadSettings(0.6, 1.35, 0.06),
    UPSTREAMS: ReadSettings(0.6, 1.35, 0.06),
    ZONES_OUT: ReadSettings(1.4, 2.4, 0.2),
    ROLLOUTS: ReadSettings(0.6, 1.35, 0.06),
}


class ParsedObject(NamedTuple):
    """An object of the store and the rows parsed from it."""

    content: Any
    rows: dict[str, str]


class ReaderState:
    """Failures, pauses and parsed objects of this host's reads."""

    def __init__(self, kinds):
        self.failures_by_kind = dict.fromkeys(kinds, 0)
        self.paused_until_by_kind = dict.fromkeys(kinds, 0.0)
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
    rank : callable
        Returns this host's position in the order of readers, from 0.
    startup_delay : callable
        Returns the seconds after the start in which this host does not read.
    share : callable
        Called after each successful read, to forward it to other hosts.

    Returns
    -------
    StoreReaders
    """
    document_cache = kernel.find("document_cache")
    state = ReaderState(document_cache.kinds)
    now, sleep = kernel.clock.now, kernel.clock.sleep
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    store = kernel.find("store")

    started_at = now()

    def is_due(kind):
        uptime = now() - started_at
        if uptime < startup_delay() or now() < state.paused_until_by_kind[kind]:
            return False
        position = rank()
        if position == 0:
            return True
        return min(document_cache.age(kind), uptime) > due_age(kind)

    def due_age(kind):
        """Return the age from which this host reads a document."""
        settings = SETTINGS_BY_KIND[kind]
        delay = min(rank(), MAX_DELAY_RANK) * settings.rank_seconds
        return settings.take_over_age + delay

    def step(kind):
        if not is_due(kind):
            return False
        age_before = document_cache.age(kind)
        started = now()
        outcome = store.list_all(kind)
        if isinstance(outcome, Failure):
            record_failure(kind, outcome.failure())
            return True
        record_success(kind)
        log_read(kind, outcome.unwrap(), now() - started)
        is_unbroken = age_before <= MIN_OUTAGE_SECONDS
        apply_listing(kind, outcome.unwrap(), started, is_unbroken)
        share()
        pause(kind, SETTINGS_BY_KIND[kind].period - STEP_INTERVAL_SECONDS)
        return True

    def apply_listing(kind, listing, started, is_unbroken):
        rows, parsed_by_name = {}, {}
        for name, content in listing.content_by_name.items():
            parsed_by_name[name] = parse_if_changed(kind, name, content)
            rows.update(parsed_by_name[name].rows)
        state.parsed_by_name_by_kind[kind] = parsed_by_name
        version = document_cache.version(kind)
        is_unbroken = is_unbroken and version.era == listing.era
        if listing.era < version.era:
            metrics.count("old_era_listings")
            emit(
                events.OLD_ERA_IGNORED,
                kind=kind,
                era=listing.era,
                current_era=version.era,
                revision=listing.revision,
            )
        document_cache.apply_document(
            kind,
            listing.revision,
            rows,
            now() - started,
            "store",
            version.unbroken_seconds if is_unbroken else 0.0,
            listing.era,
        )

    def parse_if_changed(kind, name, content):
        """Return an object with its rows, parsed only when it changed.

        An object that can't be parsed has no rows and leaves the others in use.
        """
        cached = state.parsed_by_name_by_kind.get(kind, {}).get(name)
        try:
            if cached is not None and cached.content == content:
                return cached
            rows = {}
            for row_name, row in parse_object(kind, name, content).items():
                rows[row_name] = codec.encode_content(row)
            return ParsedObject(content, rows)
        except PARSE_ERRORS as error:
            detail = f"{type(error).__name__}: {error}"
            if cached is None or cached.rows:
                emit(events.OBJECT_MALFORMED, kind=kind, object=name, detail=detail)
            return ParsedObject(content, {})

    def log_read(kind, listing, seconds):
        metrics.time("store_list_seconds", seconds)
        emit(
            events.STORE_READ,
            kind=kind,
            revision=listing.revision,
            objects=len(listing.content_by_name),
            milliseconds=round(seconds * 1000, 1),
            place=rank(),
        )

    def record_failure(kind, failure):
        state.failures_by_kind[kind] += 1
        doubled = MIN_RETRY_DELAY_SECONDS * 2 ** min(
            state.failures_by_kind[kind] - 1, 5
        )
        retries_often = rank() < FREQUENT_RETRY_HOSTS
        longest = (
            MAX_RETRY_DELAY_SECONDS if retries_often else MAX_OTHER_RETRY_DELAY_SECONDS
        )
        pause(kind, min(doubled, longest))
        if state.is_reachable:
            state.is_reachable = False
            emit(events.STORE_LOST, kind=kind, detail=failure.detail)

    def record_success(kind):
        state.failures_by_kind[kind] = 0
        if not state.is_reachable:
            state.is_reachable = True
            emit(
                events.STORE_REGAINED, kind=kind, age=round(document_cache.age(kind), 3)
            )

    def pause(kind, seconds):
        jitter = 0.75 + 0.5 * kernel.rng.random()
        state.paused_until_by_kind[kind] = now() + seconds * jitter

    def step_pause(kind):
        """Return the time until the next step; hosts far from their turn wait longer.

        A document that is not replaced meanwhile is due when the pause ends.
        """
        jitter = 0.75 + 0.5 * kernel.rng.random()
        if rank() == 0 or now() - started_at < startup_delay():
            return STEP_INTERVAL_SECONDS * jitter
        remaining = due_age(kind) - document_cache.age(kind)
        return min(
            max(remaining, STEP_INTERVAL_SECONDS * jitter), MAX_STEP_PAUSE_SECONDS
        )

    def start():
        for kind in document_cache.kinds:
            kernel.spawn(repeat, sleep, partial(step_pause, kind), step, kind)

    service = StoreReaders(step)
    kernel.register("store_readers", service, start)
    return service

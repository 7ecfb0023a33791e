"""Upstreams that said in a response that they are leaving, shared between hosts.

A departure names one incarnation of an upstream and is never taken back. It is kept
until its entry has been gone for a while, as the store may forget entries in an outage,
and may arrive before the entry that it is about.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.store.document_cache import UPSTREAMS

__all__ = [
    "MAX_INTRODUCED",
    "Departure",
    "Departures",
    "create",
    "is_due",
    "is_forgotten",
    "is_valid",
]

# Longer than the store may forget entries in an outage.
FORGET_SECONDS = 600.0
MAX_DEPARTURES = 4096
# Departures in a regular message, and in an introduction: some kilobytes each.
MAX_SHARED = 64
MAX_INTRODUCED = 200
MAX_ID_CHARACTERS = 128
MAX_BORN = 2**63
# A departure is in every message for the first seconds, as datagrams may be lost, and
# again for a moment in each period, for hosts that were cut off meanwhile. After the
# last age all hosts know it from the store.
SHARING_SECONDS = 2.0
REPEAT_PERIOD_SECONDS = 5.0
REPEAT_SECONDS = 0.5
MAX_SHARED_AGE_SECONDS = 60.0


class Departure(NamedTuple):
    """An incarnation of an upstream that is leaving.

    Attributes
    ----------
    upstream : str
        Id of the upstream.
    born : int
        Start time of the incarnation in Unix milliseconds.
    """

    upstream: str
    born: int


class Departures(NamedTuple):
    """``departures``: incarnations of upstreams that are leaving.

    ``record(upstream)`` records what a response to this host said and tells whether it
    was new. ``merge(departures, is_for_all_zones)`` takes those that another host
    reported; ``is_for_all_zones`` is True when this host has to pass them on to other
    zones. ``is_leaving(upstream)`` tells whether an ``Upstream`` is leaving.
    ``recent(is_same_zone)`` returns the ones to share with a host, and ``introduced()``
    those for a host that starts. ``on_merged(function)`` has ``function(departure)``
    called for each new one of another host, and ``on_recorded(function)`` has
    ``function()`` called for each new one of this host.
    """

    record: Callable
    merge: Callable
    is_leaving: Callable
    recent: Callable[[bool], tuple[Departure, ...]]
    introduced: Callable[[], tuple[Departure, ...]]
    on_merged: Callable
    on_recorded: Callable


class KnownDeparture:
    """When a departure was learned, and when its entry was last listed.

    Attributes
    ----------
    is_for_all_zones : bool
        True when this host reports it to other zones too.
    """

    def __init__(self, now, is_for_all_zones):
        self.learned_at = now
        self.listed_at = now
        self.is_for_all_zones = is_for_all_zones


class DepartureState:
    """Known departures in the order in which they were learned, and listed ones."""

    def __init__(self):
        self.known_by_departure: dict[Departure, KnownDeparture] = {}
        self.listed: frozenset[Departure] = frozenset()
        self.merged_listeners = []
        self.recorded_listeners = []


def is_valid(departure):
    """Tell whether a departure of another host has a possible id and start time."""
    has_id = 0 < len(departure.upstream) <= MAX_ID_CHARACTERS
    return has_id and 0 <= departure.born < MAX_BORN


def is_due(age, is_listed):
    """Tell whether a departure is part of a message.

    Parameters
    ----------
    age : float
        Seconds since this host learned of it.
    is_listed : bool
        True while the upstream's entry is listed.
    """
    if age < SHARING_SECONDS:
        return True
    if not is_listed or age > MAX_SHARED_AGE_SECONDS:
        return False
    return age % REPEAT_PERIOD_SECONDS < REPEAT_SECONDS


def is_forgotten(unlisted_seconds):
    """Tell whether a departure is forgotten, by the time since it was last listed."""
    return unlisted_seconds > FORGET_SECONDS


def create(kernel):
    """Create the service ``departures``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Departures
    """
    state = DepartureState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")

    def update_listed(upstream_by_id):
        expire()
        listed = set()
        for upstream in upstream_by_id.values():
            departure = Departure(upstream.id, upstream.born)
            if departure in state.known_by_departure:
                listed.add(departure)
        state.listed = frozenset(listed)

    def expire():
        for departure, known in list(state.known_by_departure.items()):
            if departure in state.listed:
                known.listed_at = now()
            elif is_forgotten(now() - known.listed_at):
                del state.known_by_departure[departure]

    def add(departure, is_for_all_zones):
        """Add a departure; return False when it was known."""
        if departure in state.known_by_departure:
            return False
        make_room()
        known = KnownDeparture(now(), is_for_all_zones)
        state.known_by_departure[departure] = known
        entry = document_cache.value(UPSTREAMS).get(departure.upstream)
        if entry is not None and entry.born == departure.born:
            state.listed |= {departure}
        return True

    def make_room():
        """Forget the first departure that is not listed, else the oldest."""
        if len(state.known_by_departure) < MAX_DEPARTURES:
            return
        forgotten = next(iter(state.known_by_departure))
        for departure in state.known_by_departure:
            if departure not in state.listed:
                forgotten = departure
                break
        del state.known_by_departure[forgotten]
        state.listed -= {forgotten}
        metrics.count("departures_dropped")
        emit(events.DEPARTURE_DROPPED, upstream=forgotten.upstream, born=forgotten.born)

    def record(upstream):
        is_new = add(Departure(upstream.id, upstream.born), True)
        if is_new:
            for function in state.recorded_listeners:
                function()
        return is_new

    def merge(departures, is_for_all_zones):
        for departure in departures:
            if not add(departure, is_for_all_zones):
                continue
            metrics.count("departures_learned")
            emit(
                events.DEPARTURE_LEARNED,
                upstream=departure.upstream,
                born=departure.born,
            )
            for function in state.merged_listeners:
                function(departure)

    def is_leaving(upstream):
        return Departure(upstream.id, upstream.born) in state.known_by_departure

    def recent(is_same_zone):
        due = []
        for departure, known in state.known_by_departure.items():
            if not (is_same_zone or known.is_for_all_zones):
                continue
            if is_due(now() - known.learned_at, departure in state.listed):
                due.append(departure)
        return tuple(due[-MAX_SHARED:])

    def introduced():
        listed, others = [], []
        for departure in state.known_by_departure:
            (listed if departure in state.listed else others).append(departure)
        return tuple((others + listed)[-MAX_INTRODUCED:])

    document_cache.subscribe(UPSTREAMS, update_listed)
    metrics.gauge("departures_known", lambda: len(state.known_by_departure))
    service = Departures(
        record,
        merge,
        is_leaving,
        recent,
        introduced,
        state.merged_listeners.append,
        state.recorded_listeners.append,
    )
    kernel.register("departures", service)
    return service

"""Interfaces of the log, the store, tickets and the configuration."""

from enum import Enum
from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Result

from trefoilpin.records import (
    AvailabilityZone,
    ChangeTicket,
    ClientAccount,
    Host,
    Key,
    Pool,
    Route,
)

__all__ = [
    "Configurations",
    "Events",
    "Snapshots",
    "Store",
    "StoreChange",
    "StoreFailure",
    "StoreOutcome",
    "StoredObject",
    "Tickets",
]


class Events(NamedTuple):
    """``events``: structured log with one line per decision.

    ``emit(event, **fields)`` logs an event of the catalogue with its fields.
    ``flush()`` writes all buffered lines.
    """

    emit: Callable[..., None]
    flush: Callable[[], None]


class StoreOutcome(Enum):
    """Outcome of a failed call to the store."""

    REFUSED = "refused"
    UNKNOWN = "unknown"


class StoreFailure(NamedTuple):
    """A call that was refused, or whose effect is unknown.

    Attributes
    ----------
    outcome : StoreOutcome
        ``REFUSED`` when the call certainly had no effect: the condition did not
        hold, the object does not exist, or nothing was sent.
    missing : bool
        True when the store stated that the object does not exist.
    conflict : bool
        True when the store stated that the condition did not hold.
    detail : str
    """

    outcome: StoreOutcome
    detail: str
    missing: bool = False
    conflict: bool = False


class StoredObject(NamedTuple):
    """An object of the store; ``value`` is its decoded JSON."""

    path: str
    version: int
    value: Any


class StoreChange(NamedTuple):
    """A change reported by a watch; ``stored`` is None for a deletion."""

    path: str
    version: int
    stored: StoredObject | None


class Store(NamedTuple):
    """``store``: the platform's object store.

    All functions return ``Result`` with a ``StoreFailure``.

    ``get(path)`` gives a ``StoredObject``. ``list(prefix, after="")`` gives a tuple
    of them, ordered by path. ``create(path, value)``, ``update(path, value, version)``
    and ``delete(path, version)`` are conditional; the first two give the
    ``StoredObject`` written. ``watch(prefix, version, timeout)`` waits up to
    ``timeout`` seconds and gives a tuple of ``StoreChange`` later than ``version``.
    """

    get: Callable[[str], Result]
    list: Callable[..., Result]
    create: Callable[[str, Any], Result]
    update: Callable[[str, Any, int], Result]
    delete: Callable[[str, int], Result]
    watch: Callable[[str, int, float], Result]


class Tickets(NamedTuple):
    """``tickets``: submission of numbered configuration changes.

    ``submit(ticket)`` returns the accepted ``ChangeTicket`` or a ``TicketFailure``.
    ``show(number)`` returns the ``ChangeTicket``; ``next_number()`` an int.
    ``watch_once()`` reads the store when it is this host's turn and returns True when
    the store was read.
    """

    submit: Callable[[ChangeTicket], Result]
    show: Callable[[int], Result]
    next_number: Callable[[], Result]
    watch_once: Callable[[], bool] = None


class Configurations(NamedTuple):
    """``configurations``: the configuration in force on this host.

    The mappings are live views. ``apply(ticket)`` merges a ticket; tickets may come in
    any order and more than once. ``subscribe(function)`` has ``function(changes)``
    called after each merge that had an effect, with the tuple of ``ObjectChange`` that
    took effect. ``head()`` is the highest number up to which every ticket is in force.
    ``last_ticket_number(kind, id)`` is the number of the last ticket that changed an
    object, 0 when none did. ``versions()`` yields an ``ObjectVersion`` for each object,
    including removed ones, and ``restore(versions, head)`` merges them, after which
    every ticket up to ``head`` is in force. ``recent(after)`` returns the tickets after
    a number in order, or None when some of them are no longer kept.
    """

    accounts_by_id: Mapping[str, ClientAccount]
    keys_by_id: Mapping[str, Key]
    pools_by_id: Mapping[str, Pool]
    routes_by_id: Mapping[str, Route]
    zones_by_id: Mapping[str, AvailabilityZone]
    apply: Callable[[ChangeTicket], bool]
    head: Callable[[], int]
    last_ticket_number: Callable[[str, str], int]
    subscribe: Callable[[Callable], None]
    restore: Callable[[Any, int], None] = None
    versions: Callable[[], Any] = None
    recent: Callable[[int], tuple | None] = None


class Snapshots(NamedTuple):
    """``snapshots``: the whole configuration, from and for other hosts and the store.

    ``fetch(host)`` gets the missing tickets or the whole configuration from another
    host; ``load_once()`` gets a starting configuration from a host or else from the
    store's snapshot; ``write_once()`` writes a snapshot to the store when one is due
    from this host. Each returns True when it did so.
    """

    fetch: Callable[[Host], bool]
    load_once: Callable[[], bool]
    write_once: Callable[[], bool]

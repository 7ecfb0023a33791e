"""Interfaces of the services that run a write at most once."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

from trefoilpin.messages import Attempt, CallerRequest, OperationKey, Permit
from trefoilpin.records import ClientAccount, Host, Route

__all__ = [
    "Claims",
    "Issuers",
    "OpaqueKeys",
    "Operations",
    "Sightings",
    "TableTransfers",
]


class Sightings(NamedTuple):
    """``sightings``: hosts that may still run although they left the fleet.

    ``find(incarnation)`` gives a ``Host`` seen at any time, or None.
    ``runs(incarnation)`` tells whether the host is believed to run.
    """

    find: Callable[[str], Host | None]
    runs: Callable[[str], bool]


class Issuers(NamedTuple):
    """``issuers``: decisions on the idempotency keys issued here or taken over.

    ``claim(message)`` and ``report(message)`` give a ``ClaimReply`` and a
    ``ReportReply``. ``takes_keys()`` tells whether callers should be given this host
    as issuer. ``state`` holds the tables, for their transfer.
    """

    claim: Callable[[Any], Any]
    report: Callable[[Any], Any]
    takes_keys: Callable[[], bool]
    state: Any


class TableTransfers(NamedTuple):
    """``table_transfers``: ``hand_over(successor)`` stops all decisions of this host
    and gives its tables of keys to a ``Host``; it tells whether all arrived."""

    hand_over: Callable[[Host | None], bool]


class Claims(NamedTuple):
    """``claims``: this host's claims on issued keys.

    ``claim(issuer, key, fingerprint, attempt_id, deadline)`` gives a ``ClaimReply``.
    ``report(message)`` has a ``Report`` arrive; ``outbox`` holds those that wait.
    """

    claim: Callable[[str, bytes, bytes, str, float], Any]
    report: Callable[[Any], None]
    outbox: Any


class OpaqueKeys(NamedTuple):
    """``opaque_keys``: claims on keys that the store decides on.

    ``claim(key, fingerprint, attempt_id, deadline)`` and ``report(message)`` are as
    for ``claims``; ``sweep_once()`` deletes some expired claims and counts them.
    """

    claim: Callable[[bytes, bytes, str, float], Any]
    report: Callable[[Any], None]
    sweep_once: Callable[[], int]
    outbox: Any


class Operations(NamedTuple):
    """``operations``: runs a non-idempotent request at most once.

    ``parse(account, request)`` gives an ``OperationKey``, None when the caller sent
    none, or a ``Refusal``. ``begin(key, route, account, deadline)`` gives a
    ``Permit`` to run, an ``Answer`` saved earlier, or a ``Refusal``.
    ``finish(permit, attempt)`` reports the last attempt, None when there was none.
    ``hand_over(successor)`` waits until all reports arrived and gives the tables of
    keys to a ``Host``; it tells whether everything arrived.
    """

    parse: Callable[[ClientAccount | None, CallerRequest], Result]
    begin: Callable[[OperationKey | None, Route, ClientAccount | None, float], Result]
    finish: Callable[[Permit, Attempt | None], None]
    hand_over: Callable[[Host | None], bool]

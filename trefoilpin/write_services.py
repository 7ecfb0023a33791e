"""Interfaces of the services that run a write at most once."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

from trefoilpin.messages import Attempt, CallerRequest, OperationKey, Permit
from trefoilpin.records import ClientAccount, Host, Route

__all__ = [
    "Claims",
    "DepartedHosts",
    "Issuers",
    "OpaqueKeys",
    "Operations",
    "TableTransfers",
]


class DepartedHosts(NamedTuple):
    """``departed_hosts``: hosts that may still run although they left the fleet.

    ``find(incarnation)`` returns a ``Host`` seen at any time, or None.
    ``is_running(incarnation)`` tells whether the host is believed to run.
    """

    find: Callable[[str], Host | None]
    is_running: Callable[[str], bool]


class Issuers(NamedTuple):
    """``issuers``: decisions on idempotency keys issued or taken over by this host.

    ``claim(message)`` and ``report(message)`` return a ``ClaimReply`` and a
    ``ReportReply``. ``takes_keys()`` tells whether callers should be given this host as
    issuer. ``state`` holds the key tables, for their transfer.
    """

    claim: Callable[[Any], Any]
    report: Callable[[Any], Any]
    takes_keys: Callable[[], bool]
    state: Any


class TableTransfers(NamedTuple):
    """``table_transfers``: transfer of key tables to another host.

    ``hand_over(successor)`` stops all decisions of this host and sends its key tables
    to a ``Host``; it returns True when all arrived.
    """

    hand_over: Callable[[Host | None], bool]


class Claims(NamedTuple):
    """``claims``: this host's claims on issued keys.

    ``claim(issuer, key, fingerprint, attempt_id, deadline)`` returns a ``ClaimReply``.
    ``report(message)`` delivers a ``Report``; ``outbox`` holds the pending ones.
    """

    claim: Callable[[str, bytes, bytes, str, float], Any]
    report: Callable[[Any], None]
    outbox: Any


class OpaqueKeys(NamedTuple):
    """``opaque_keys``: claims on keys whose decisions the store holds.

    ``claim(key, fingerprint, attempt_id, deadline)`` and ``report(message)`` are as for
    ``claims``; ``sweep_once()`` deletes some expired claims and returns their number.
    """

    claim: Callable[[bytes, bytes, str, float], Any]
    report: Callable[[Any], None]
    sweep_once: Callable[[], int]
    outbox: Any


class Operations(NamedTuple):
    """``operations``: runs a non-idempotent request at most once.

    ``parse(account, request)`` returns an ``OperationKey``, None when the caller sent
    none, or a ``Refusal``. ``begin(key, route, account, deadline)`` returns a
    ``Permit`` to run, a saved ``Answer``, or a ``Refusal``. ``finish(permit, attempt)``
    reports the last attempt, None when there was none. ``hand_over(successor)`` waits
    until all reports arrived and sends the key tables to a ``Host``; it returns True
    when everything arrived.
    """

    parse: Callable[[ClientAccount | None, CallerRequest], Result]
    begin: Callable[[OperationKey | None, Route, ClientAccount | None, float], Result]
    finish: Callable[[Permit, Attempt | None], None]
    hand_over: Callable[[Host | None], bool]

"""Interfaces of the services that a request passes through."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

from trefoilpin.messages import Answer, Attempt, CallerRequest
from trefoilpin.records import ClientAccount, Host, Pool, Route, Upstream
from trefoilpin.verdicts import Refusal

__all__ = [
    "Entitlements",
    "Forwarders",
    "Keys",
    "Lenders",
    "Limits",
    "Owners",
    "Proxies",
    "Quarantines",
    "Queues",
    "Retries",
    "Routes",
]


class Quarantines(NamedTuple):
    """``quarantines``: requests that break each upstream that runs them.

    ``check(fingerprint)`` gives None or a ``Refusal``. ``report(fingerprint,
    upstream, account)`` tells that a request broke an upstream's connection after it
    was written; ``account`` is an id, empty on a route open to all.
    ``succeeded(fingerprint)`` tells that an upstream answered it whole.
    """

    check: Callable[[str], Refusal | None]
    report: Callable[[str, str, str], None]
    succeeded: Callable[[str], None]


class Retries(NamedTuple):
    """``retries``: the retry budget of each pool.

    ``deposit(pool)`` counts a request. ``withdraw(pool, kept)`` takes a retry, or tells
    that none is left. ``balance(pool, kept)`` is the number of retries left. Both leave
    ``kept`` retries to others; none by default.
    """

    deposit: Callable[[str], None]
    withdraw: Callable[..., bool]
    balance: Callable[..., float]


class Routes(NamedTuple):
    """``routes``: ``match(host, path, method)`` gives a ``Route`` or ``Refusal``."""

    match: Callable[[str, str, str], Result]


class Keys(NamedTuple):
    """``keys``: ``check(route, request)`` gives a ``ClientAccount``, or None on a
    route open to all, or a ``Refusal``. ``strip(headers)`` leaves out every header
    that carries a key."""

    check: Callable[[Route, CallerRequest], Result]
    strip: Callable[[tuple[tuple[str, str], ...]], tuple[tuple[str, str], ...]]


class Entitlements(NamedTuple):
    """``entitlements``: units of the ledger that this host holds.

    ``units()`` may be used now, of ``total()``; ``since()`` is the instant of their
    last increase. ``step()`` keeps them, ``hand_over(successor)`` gives them away.
    """

    units: Callable[[], int]
    total: Callable[[], int]
    since: Callable[[], float]
    step: Callable[[], None]
    hand_over: Callable[[Host | None], bool]


class Lenders(NamedTuple):
    """``lenders``: ``handle(sender, request)`` answers a ``LoanRequest``; ``step()``
    forgets what is over."""

    handle: Callable[[str, Any], Any]
    step: Callable[[], None]


class Owners(NamedTuple):
    """``owners``: quotas of the accounts that this host is asked about.

    ``take(account)`` takes a token here and gives a ``ReservationReply``.
    ``renew(lender)`` renews the loans from one lender; ``step()`` closes idle quotas
    and gives the lenders.
    """

    take: Callable[[str], Any]
    renew: Callable[[str], bool]
    step: Callable[[], tuple[str, ...]]


class Limits(NamedTuple):
    """``limits``: ``admit(account, deadline)`` takes one token of an account's
    fleet-wide rate, or gives a ``Refusal``; it may wait, at most until ``deadline``.
    """

    admit: Callable[[ClientAccount, float], Result]


class Queues(NamedTuple):
    """``queues``: order of service in a saturated pool.

    ``enter(pool, account, deadline, choose)`` calls ``choose()`` at once or when the
    account's turn comes and gives its ``Choice`` or a ``Refusal``. ``released(pool)``
    tells that a slot came free.
    """

    enter: Callable[[Pool, ClientAccount | None, float, Callable], Result]
    released: Callable[[str], None]


class Forwarders(NamedTuple):
    """``forwarders``: ``exchange(upstream, request, deadline, idempotent)`` sends a
    request and gives an ``Attempt``."""

    exchange: Callable[[Upstream, CallerRequest, float, bool], Attempt]


class Proxies(NamedTuple):
    """``proxies``: ``handle(request)`` gives an ``Answer`` or a ``Refusal``."""

    handle: Callable[[CallerRequest], Result[Answer, Refusal]]

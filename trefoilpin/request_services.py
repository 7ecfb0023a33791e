"""Interfaces of the services on the path of a request."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

from trefoilpin.messages import Answer, Attempt, CallerRequest
from trefoilpin.records import ClientAccount, Host, Pool, Route
from trefoilpin.verdicts import Refusal

__all__ = [
    "Forwarders",
    "HealthProbes",
    "Keys",
    "Limits",
    "PoisonRequests",
    "Proxies",
    "Queues",
    "QuotaOwners",
    "Retries",
    "Routes",
    "UnitHoldings",
    "UnitLenders",
]


class PoisonRequests(NamedTuple):
    """``poison_requests``: requests that break each upstream that runs them.

    ``check(fingerprint)`` returns None or a ``Refusal``. ``record_break(fingerprint,
    upstream, account)`` records that an upstream's connection broke after the request
    was written; ``account`` is an id, empty on a route open to all.
    ``record_answer(fingerprint)`` records a complete answer of an upstream.
    """

    check: Callable[[str], Refusal | None]
    record_break: Callable[[str, str, str], None]
    record_answer: Callable[[str], None]


class Retries(NamedTuple):
    """``retries``: the retry budget of each pool.

    ``deposit(pool)`` counts a request. ``withdraw(pool, reserved)`` takes a retry, or
    returns False when none is left. ``balance(pool, reserved)`` is the number of
    retries left. Both leave ``reserved`` retries to other requests; none by default.
    """

    deposit: Callable[[str], None]
    withdraw: Callable[..., bool]
    balance: Callable[..., float]


class HealthProbes(NamedTuple):
    """``health_probes``: ``ask(upstream, path)`` asks an upstream for its health.

    It returns a ``Result`` with the seconds for which the upstream stays cold, or why
    that isn't known.
    """

    ask: Callable[..., Result]


class Routes(NamedTuple):
    """``routes``: ``match(host, path, method)`` gives a ``Route`` or ``Refusal``."""

    match: Callable[[str, str, str], Result]


class Keys(NamedTuple):
    """``keys``: ``check(route, request)`` gives a ``ClientAccount``, or None on a
    route open to all, or a ``Refusal``. ``strip(headers)`` leaves out every header
    that carries a key."""

    check: Callable[[Route, CallerRequest], Result]
    strip: Callable[[tuple[tuple[str, str], ...]], tuple[tuple[str, str], ...]]


class UnitHoldings(NamedTuple):
    """``unit_holdings``: rate limit units of the ledger that this host holds.

    ``units()`` of the ``total()`` may be used now; ``since()`` is when they last
    increased. ``step()`` renews them, ``hand_over(successor)`` transfers them to
    another host.
    """

    units: Callable[[], int]
    total: Callable[[], int]
    since: Callable[[], float]
    step: Callable[[], None]
    hand_over: Callable[[Host | None], bool]


class UnitLenders(NamedTuple):
    """``unit_lenders``: lending of this host's units.

    ``handle(sender, request)`` answers a ``LoanRequest``; ``step()`` drops expired
    loans.
    """

    handle: Callable[[str, Any], Any]
    step: Callable[[], None]


class QuotaOwners(NamedTuple):
    """``quota_owners``: quotas of the accounts for which this host is the owner.

    ``take(account)`` takes a token here and returns a ``ReservationReply``.
    ``renew(lender)`` renews the loans from one lender; ``step()`` closes idle quotas
    and returns the lenders.
    """

    take: Callable[[str], Any]
    renew: Callable[[str], bool]
    step: Callable[[], tuple[str, ...]]


class Limits(NamedTuple):
    """``limits``: fleet-wide rate limits of client accounts.

    ``admit(account, deadline)`` takes one token of an account's rate, or returns a
    ``Refusal``; it may wait, at most until ``deadline``.
    """

    admit: Callable[[ClientAccount, float], Result]


class Queues(NamedTuple):
    """``queues``: scheduling of requests in a saturated pool.

    ``enter(pool, account, deadline, choose)`` calls ``choose()`` at once or when the
    account's turn comes, and returns its ``Choice`` or a ``Refusal``.
    ``notify_release(pool)`` is called when a slot was released.
    """

    enter: Callable[[Pool, ClientAccount | None, float, Callable], Result]
    notify_release: Callable[[str], None]


class Forwarders(NamedTuple):
    """``forwarders``: ``exchange(upstream, request, deadline, idempotent,
    extra_headers, uses_new_connection, send_by, allows_decoys)`` sends a request and
    gives an ``Attempt``; the last four may be left out. From the time ``send_by`` on
    nothing is written, and the request did not run. An upstream that bears few requests
    allows no decoys. ``on_broken_answer(function)`` has ``function(upstream_id)``
    called when an answer that is passed on already breaks off or is malformed."""

    exchange: Callable[..., Attempt]
    on_broken_answer: Callable[[Callable[[str], None]], None] = lambda function: None


class ResponseMemory(NamedTuple):
    """``response_memory``: a limit on what a host holds for slow callers and upstreams.

    ``open(caller)`` returns the ``Holding`` of a request and ``admit(holding)`` counts
    it, or returns a ``Refusal`` when memory is full; ``check_body()`` returns one when
    the body of a request doesn't fit, and ``has_room()`` tells whether a further
    request would be admitted. ``reserve(holding, size)`` counts bytes that are
    to be buffered, or returns False; ``give_back(holding, size)`` undoes it.
    ``take_part(holding, ahead, waited)`` counts and returns how many bytes of a
    streamed response may be read now, where ``ahead`` bytes were read and not taken by
    the caller, and the last read was ``waited`` seconds ago.
    ``report_streamed(request_id)`` logs a response that is streamed for lack of memory.
    ``start_exchange(holding)`` and ``end_exchange(holding)`` surround each attempt.
    ``start_writing(holding)`` is called when the response goes to the caller, and
    ``release(holding)`` when the request has ended. ``held()`` is the number of bytes
    counted, and ``step()`` terminates responses that nobody reads while memory is
    short.
    """

    open: Callable
    admit: Callable
    check_body: Callable[[], Refusal | None]
    has_room: Callable[[], bool]
    reserve: Callable[..., bool]
    give_back: Callable
    take_part: Callable[..., int]
    report_streamed: Callable[[str], None]
    start_exchange: Callable
    end_exchange: Callable
    start_writing: Callable
    release: Callable
    held: Callable[[], int]
    step: Callable[[], None]


class Proxies(NamedTuple):
    """``proxies``: ``handle(request)`` gives an ``Answer`` or a ``Refusal``."""

    handle: Callable[[CallerRequest], Result[Answer, Refusal]]

"""Interfaces of the services for membership and communication between hosts."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

from trefoilpin.messages import CallerRequest
from trefoilpin.records import Host

__all__ = [
    "AddressAnswer",
    "Addresses",
    "Memberships",
    "Notice",
    "Notices",
    "PeerFailure",
    "Peers",
    "Shutdowns",
]


class AddressAnswer(NamedTuple):
    """Hosts that a caller should use.

    Attributes
    ----------
    hosts : tuple of (str, str)
        Address and availability zone, the preferred one first.
    lifetime : float
        Seconds for which the answer may be cached.
    issuer : str
        Incarnation that will decide on the caller's next idempotency keys.
    """

    hosts: tuple[tuple[str, str], ...]
    lifetime: float
    issuer: str


class Addresses(NamedTuple):
    """``addresses``: ``answer(request)`` gives an ``AddressAnswer`` or ``Refusal``."""

    answer: Callable[[CallerRequest], Result]


class PeerFailure(NamedTuple):
    """A call to another host that brought no reply.

    Attributes
    ----------
    may_have_arrived : bool
        False only when nothing of the message can have reached the other host.
    detail : str
    """

    may_have_arrived: bool
    detail: str


class Peers(NamedTuple):
    """``peers``: calls between the hosts of the fleet.

    ``call(address, method, message, timeout)`` returns a ``Result`` of the reply or a
    ``PeerFailure``. ``serve(method, handler)`` registers ``handler(sender, message)``,
    which returns the reply; ``sender`` is the calling host's incarnation. Messages are
    ``NamedTuple`` types listed in ``peer_codecs``. ``call_all(addresses, method,
    message, timeout, enough)`` calls many hosts concurrently and returns the addresses
    that replied as soon as there are ``enough`` of them. ``traffic()`` returns the
    bytes sent and received so far. ``cut(addresses)`` drops calls to these addresses,
    for tests of one-way partitions.
    """

    call: Callable[[str, str, Any, float], Result]
    serve: Callable[[str, Callable[[str, Any], Any]], None]
    call_all: Callable[[list[str], str, Any, float, int], tuple[str, ...]] = None
    traffic: Callable[[], tuple[int, int]] = None
    cut: Callable[[list[str]], None] = None


class Memberships(NamedTuple):
    """``memberships``: the membership as seen by this host.

    ``own()`` is this host. ``live()`` are the hosts believed to be live and not
    leaving, this one included, ordered by incarnation. ``find(incarnation)`` returns a
    ``Host`` or None. ``age(incarnation)`` is an upper bound in seconds since the host
    was last known to be alive, infinite when unknown. ``is_current()`` tells whether
    every ticket accepted more than ``MAX_FRESH_AGE_SECONDS`` ago is in force here.
    ``has_majority()`` tells whether a majority of the roster was known to be alive
    within that time. ``first(name)`` is the first live host by rendezvous hash for that
    name. ``ranked(name)`` are all live hosts in that order. ``successor(incarnation)``
    is the incarnation that took over from a departed host, or None.
    ``subscribe(function)`` has ``function()`` called when ``live()`` changed.

    ``roster()`` are all hosts that count for a majority, live or not.
    ``leave(successor)`` announces the departure of this host and the incarnation that
    takes over, or None. ``pull_once()`` gossips with one other host and returns the
    seconds until the next exchange; ``renew_once()`` publishes this host's own record.
    ``report_head(head, began_at)`` records that a read of the store, begun at that
    time, found this ticket to be the last; ``report_number(number)`` that a ticket of
    that number exists, and ``known_number()`` is the highest of those. ``store_age()``
    bounds the seconds since a read of the store whose head is in force here.
    ``is_store_watcher()`` tells whether this host watches the store for its zone.
    ``on_newer_tickets(function)`` has ``function(host)`` called after an exchange with
    a host that has tickets this one lacks. ``join(hosts)`` adds hosts to the roster.
    """

    own: Callable[[], Host]
    live: Callable[[], tuple[Host, ...]]
    find: Callable[[str], Host | None]
    age: Callable[[str], float]
    is_current: Callable[[], bool]
    has_majority: Callable[[], bool]
    first: Callable[[str], Host]
    ranked: Callable[[str], tuple[Host, ...]]
    successor: Callable[[str], str | None]
    subscribe: Callable[[Callable[[], None]], None]
    roster: Callable[[], tuple[Host, ...]] = None
    leave: Callable[[str | None], None] = None
    pull_once: Callable[[], float] = None
    renew_once: Callable[[], None] = None
    report_head: Callable[[int, float], None] = None
    report_number: Callable[[int], None] = None
    known_number: Callable[[], int] = None
    store_age: Callable[[], float] = None
    is_store_watcher: Callable[[], bool] = None
    on_newer_tickets: Callable[[Callable[[Host], None]], None] = None
    join: Callable[[tuple[Host, ...]], None] = None


class Notice(NamedTuple):
    """Soft state published by one host.

    Attributes
    ----------
    topic, key, value : str
    publisher : str
        Incarnation.
    expires_at : float
        Seconds of this host's clock.
    """

    topic: str
    key: str
    value: str
    publisher: str
    expires_at: float


class Notices(NamedTuple):
    """``notices``: small soft state, replicated to every host by gossip.

    ``publish(topic, key, value, lifetime)`` replaces this host's own notice for that
    topic and key; ``lifetime`` is in seconds, 0 withdraws it. ``read(topic)`` returns a
    tuple of the live ``Notice`` records of all publishers. ``subscribe(topic,
    function)`` has ``function(notice)`` called for each one that is new or changed.

    The other functions serve the gossip. ``merge_items(items, elapsed)`` merges items
    that were sent at most ``elapsed`` seconds ago. ``recent_ids()`` and ``all_ids()``
    are the concatenated identifiers of known notices; ``recent_missing(known_ids)`` and
    ``missing(known_ids)`` return the recent ones, or all, that are not among
    ``known_ids``; ``own_items(topic)`` those that this host published. ``digest()`` is
    equal on hosts with the same notices. ``expire()`` removes expired ones.
    """

    publish: Callable[[str, str, str, float], None]
    read: Callable[[str], tuple[Notice, ...]]
    subscribe: Callable[[str, Callable[[Notice], None]], None]
    merge_items: Callable[[tuple, float], None] = None
    recent_ids: Callable[[], bytes] = None
    recent_missing: Callable[[bytes], tuple] = None
    missing: Callable[[bytes], tuple] = None
    own_items: Callable[[str], tuple] = None
    all_ids: Callable[[], bytes] = None
    digest: Callable[[], bytes] = None
    expire: Callable[[], None] = None


class Shutdowns(NamedTuple):
    """``shutdowns``: the planned shutdown of this host.

    ``on_hand_over(name, function)`` has ``function(successor)`` called after the last
    request ended, with the ``Host`` that takes over, or None when there is none; it
    returns True once everything arrived. ``is_stopping()`` is True from the leave
    notice on. ``stop()`` runs the whole shutdown and returns at its end.
    ``is_due(share)`` tells whether connections with this share of the drain period
    should be closed by now.
    """

    on_hand_over: Callable[[str, Callable[[Host | None], bool]], None]
    is_stopping: Callable[[], bool]
    stop: Callable[[], None]
    is_due: Callable[[float], bool]

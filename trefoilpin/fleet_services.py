"""Interfaces of the services by which the hosts know one another."""

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
    """Hosts that a caller is to use.

    Attributes
    ----------
    hosts : tuple of (str, str)
        Address and availability zone, the preferred one first.
    lifetime : float
        Seconds for which the answer may be kept.
    issuer : str
        Incarnation that is to decide on the caller's next idempotency keys.
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

    ``call(address, method, message, timeout)`` gives a ``Result`` of the reply or a
    ``PeerFailure``. ``serve(method, handler)`` has ``handler(sender, message)``
    called, which returns the reply; ``sender`` is the caller's incarnation. Messages
    are ``NamedTuple`` types listed in ``peer_codecs``. ``call_all(addresses, method,
    message, timeout, enough)`` calls many hosts at the same time and gives the
    addresses that replied, as soon as there are ``enough`` of them. ``traffic()``
    gives the bytes sent and received so far. ``cut(addresses)`` has calls to these
    addresses get lost, for tests of partitions that run one way.
    """

    call: Callable[[str, str, Any, float], Result]
    serve: Callable[[str, Callable[[str, Any], Any]], None]
    call_all: Callable[[list[str], str, Any, float, int], tuple[str, ...]] = None
    traffic: Callable[[], tuple[int, int]] = None
    cut: Callable[[list[str]], None] = None


class Memberships(NamedTuple):
    """``memberships``: the fleet as this host sees it.

    ``own()`` is this host. ``live()`` are the hosts believed to run and not to be
    leaving, this one among them, ordered by incarnation. ``find(incarnation)`` gives
    a ``Host`` or None. ``age(incarnation)`` is an upper bound in seconds since the
    host is known to have run, infinite when unknown. ``is_current()`` tells whether
    every ticket accepted more than the freshness bound ago is in force here.
    ``has_majority()`` tells whether a majority of the roster had contact within the
    bound. ``first(name)`` is the live host, first by rendezvous hash for that name.
    ``ranked(name)`` are all live hosts in that order. ``successor(incarnation)`` is
    the incarnation to which a departed host handed its place, or None.
    ``subscribe(function)`` has ``function()`` called when ``live()`` changed.

    ``roster()`` are all hosts that count for a majority, live or not.
    ``leave(successor)`` spreads that this host goes and names the incarnation that
    takes its place, or None. ``pull_once()`` exchanges with one other host and gives
    the seconds until the next time;
    ``renew_once()`` spreads this host's own record. ``report_head(head, began_at)``
    tells that a read of the store, begun at an instant, found that ticket to be the
    last; ``report_number(number)`` that a ticket of that number exists,
    and ``known_number()`` is the highest of those.
    ``store_age()`` bounds the seconds since a read of the store whose head is in
    force here. ``is_watcher()`` tells whether this host is to watch the store for its
    zone. ``on_behind(function)`` has ``function(host)`` called after a pull from a
    host that has tickets this one lacks. ``join(hosts)`` adds hosts to the roster.
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
    is_watcher: Callable[[], bool] = None
    on_behind: Callable[[Callable[[Host], None]], None] = None
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
    """``notices``: small soft state that gossip carries to every host.

    ``publish(topic, key, value, lifetime)`` replaces this host's own notice for that
    topic and key; ``lifetime`` is in seconds, 0 withdraws it. ``read(topic)`` gives a
    tuple of the live ``Notice`` of all publishers. ``subscribe(topic, function)`` has
    ``function(notice)`` called for each one that is new or changed.

    Gossip uses the rest. ``learn(items, elapsed)`` takes over items that were sent at
    most ``elapsed`` seconds ago. ``recent_ids()`` and ``all_ids()`` are identifiers of
    known notices, one after the other; ``news(known_ids)`` and ``missing(known_ids)``
    give the recent ones and all those that are not among them; ``own_items(topic)``
    those that this host published. ``digest()`` is
    equal on hosts that know the same. ``expire()`` forgets what ended.
    """

    publish: Callable[[str, str, str, float], None]
    read: Callable[[str], tuple[Notice, ...]]
    subscribe: Callable[[str, Callable[[Notice], None]], None]
    learn: Callable[[tuple, float], None] = None
    recent_ids: Callable[[], bytes] = None
    news: Callable[[bytes], tuple] = None
    missing: Callable[[bytes], tuple] = None
    own_items: Callable[[str], tuple] = None
    all_ids: Callable[[], bytes] = None
    digest: Callable[[], bytes] = None
    expire: Callable[[], None] = None


class Shutdowns(NamedTuple):
    """``shutdowns``: the planned stop of this host.

    ``on_hand_over(name, function)`` has ``function(successor)`` called with the
    ``Host`` that takes this one's place, or None when there is none, after the last
    request ended; it returns True once everything arrived. ``is_stopping()`` is True
    from the leave notice on. ``stop()`` runs the whole stop and returns at its end.
    """

    on_hand_over: Callable[[str, Callable[[Host | None], bool]], None]
    is_stopping: Callable[[], bool]
    stop: Callable[[], None]
    is_due: Callable[[float], bool]

"""Interfaces of the services, each found in the kernel under its name.

Every interface is a ``NamedTuple`` of plain functions. Decisions meet one another
only through these, so that a test can put a function of its own in place of any.
Expected failures are ``returns`` results.
"""

from enum import Enum
from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Result

from trefoilpin.messages import (
    Answer,
    Attempt,
    CallerRequest,
    Choice,
    OperationKey,
    Permit,
)
from trefoilpin.records import (
    AvailabilityZone,
    ChangeTicket,
    ClientAccount,
    Host,
    Key,
    Pool,
    Route,
    Upstream,
)
from trefoilpin.verdicts import Refusal

__all__ = [
    "AddressAnswer",
    "Addresses",
    "Attempts",
    "Balancers",
    "Claims",
    "Configurations",
    "Coordinators",
    "Drains",
    "Entitlements",
    "Events",
    "Forwarders",
    "Issuers",
    "Health",
    "Keys",
    "Lenders",
    "Limits",
    "Memberships",
    "Notice",
    "Notices",
    "OpaqueKeys",
    "Operations",
    "Owners",
    "PeerFailure",
    "Peers",
    "Proxies",
    "Quarantines",
    "Queues",
    "Retries",
    "Routes",
    "Shutdowns",
    "Sightings",
    "SlowStarts",
    "Standings",
    "Snapshots",
    "Store",
    "StoreChange",
    "StoreFailure",
    "StoreOutcome",
    "StoredObject",
    "TableTransfers",
    "TakeOvers",
    "Tickets",
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


class Events(NamedTuple):
    """``events``: one line for each decision.

    ``emit(event, **fields)`` takes an event of the catalogue and its fields.
    ``flush()`` writes every line that still waits.
    """

    emit: Callable[..., None]
    flush: Callable[[], None]


class StoreOutcome(Enum):
    """What is known of a call to the store that did not succeed."""

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
    """An object of the store; ``value`` is what JSON holds."""

    path: str
    version: int
    value: Any


class StoreChange(NamedTuple):
    """A change seen by a watch; ``stored`` is None for a deletion."""

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
    """``tickets``: submission of numbered changes.

    ``submit(ticket)`` gives the accepted ``ChangeTicket`` or a ``TicketFailure``.
    ``show(number)`` gives the ``ChangeTicket``; ``next_number()`` an int.
    ``watch_once()`` reads the store when it is this host's turn; it gives True when
    the store was read.
    """

    submit: Callable[[ChangeTicket], Result]
    show: Callable[[int], Result]
    next_number: Callable[[], Result]
    watch_once: Callable[[], bool] = None


class Configurations(NamedTuple):
    """``configurations``: the configuration in force on this host.

    The mappings are live views. ``apply(ticket)`` joins a ticket; tickets may come
    in any order and more than once. ``subscribe(function)`` has
    ``function(changes)`` called after each join that had an effect, with the tuple
    of ``ObjectChange`` that took effect. ``head()`` is the highest number up to
    which every ticket is in force. ``touched(kind, id)`` is the number of the
    ticket that last touched an object, 0 when none did. ``versions()`` yields an
    ``ObjectVersion`` for each object, removed ones included, and ``restore(versions,
    head)`` joins them, after which every ticket up to ``head`` is in force.
    ``recent(after)`` gives the tickets after a number in order, None when some of
    them are no longer kept.
    """

    accounts_by_id: Mapping[str, ClientAccount]
    keys_by_id: Mapping[str, Key]
    pools_by_id: Mapping[str, Pool]
    routes_by_id: Mapping[str, Route]
    zones_by_id: Mapping[str, AvailabilityZone]
    apply: Callable[[ChangeTicket], bool]
    head: Callable[[], int]
    touched: Callable[[str, str], int]
    subscribe: Callable[[Callable], None]
    restore: Callable[[Any, int], None] = None
    versions: Callable[[], Any] = None
    recent: Callable[[int], tuple | None] = None


class Snapshots(NamedTuple):
    """``snapshots``: the whole configuration, from and for other hosts and the store.

    ``fetch(host)`` takes over what another host has in force, the missing tickets or
    the whole; ``load_once()`` finds a host or else the store's snapshot to start
    from; ``write_once()`` writes a snapshot to the store when it is due here. Each
    gives True when it did.
    """

    fetch: Callable[[Host], bool]
    load_once: Callable[[], bool]
    write_once: Callable[[], bool]


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

    ``deposit(pool)`` counts a request. ``withdraw(pool)`` takes a retry, or tells that
    none is left. ``balance(pool)`` is the number of retries left.
    """

    deposit: Callable[[str], None]
    withdraw: Callable[[str], bool]
    balance: Callable[[str], float]


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


class Queues(NamedTuple):
    """``queues``: order of service in a saturated pool.

    ``enter(pool, account, deadline, choose)`` calls ``choose()`` at once or when the
    account's turn comes and gives its ``Choice`` or a ``Refusal``. ``released(pool)``
    tells that a slot came free.
    """

    enter: Callable[[Pool, ClientAccount | None, float, Callable], Result]
    released: Callable[[str], None]


class Drains(NamedTuple):
    """``drains``: upstreams that are leaving.

    ``until(pool, upstream)`` takes a pool's id and an ``Upstream`` and gives when its
    drain lapses, 0 when there is none. ``report(pool, upstream, source)`` tells of a
    sign, by ids. ``draining(pool)`` gives the ids known to be leaving. ``subscribe``
    has a function called with a pool's id after a new sign. ``read_list()`` follows
    the platform's list for one turn, where this host is one of its readers.
    """

    until: Callable[[str, Upstream], float]
    report: Callable[[str, str, str], None]
    draining: Callable[[str], tuple[str, ...]]
    subscribe: Callable[[Callable[[str], None]], None]
    read_list: Callable[[], bool]


class Standings(NamedTuple):
    """``standings``: what the fleet holds of each upstream, and the floor.

    ``view(pool)`` takes a ``Pool`` and gives a ``standings.PoolView``: the upstreams
    in service, and for each other one why it is out. ``entries(pool)`` gives the
    ``reports.Entry`` of a pool's id, ``known(pool)`` the sum of their counters and
    ``entry_of(pool, upstream)`` one of them or None. ``learn(pool, entries)`` joins
    entries; ``mark(pool, upstream, state, badness, times)`` makes a new one and
    ``publish(pool)`` sends all to every host. ``avoid(pool, upstream, seconds,
    badness)`` keeps this host alone away.
    """

    view: Callable[[Pool], Any]
    entries: Callable[[str], tuple]
    known: Callable[[str], int]
    learn: Callable[[str, Any], None]
    mark: Callable[..., Any]
    publish: Callable[[str], None]
    avoid: Callable[[str, str, float, float], None]
    entry_of: Callable[[str, str], Any]


class SlowStarts(NamedTuple):
    """``slow_starts``: grants of concurrency on cold upstreams.

    As coordinator: ``grant(sender, report)`` gives the ``reports.Grant`` for a
    ``PoolReport``; ``ramp_of(pool, upstream)`` the ``ramps.Ramp``;
    ``restart(pool, upstream)`` begins anew; ``first_since(pool)`` is when this host
    became the pool's coordinator, None when it is not. As host:
    ``give_up(pool)`` drops the grants held, ``take(pool, grants, asked_at)`` holds new
    ones, ``units(pool, upstream)`` is the concurrency granted now.

    For a change of coordinator: ``missing(pool)`` are the hosts that have not given up
    their grants to this one, ``surrendered(host, pool, held)`` tells that one did, and
    ``yield_to_other(pool)`` stops this one's granting.
    """

    grant: Callable[[str, Any], tuple]
    give_up: Callable[[str], None]
    take: Callable[[str, tuple, float], None]
    units: Callable[[str, str], int]
    ramp_of: Callable[[str, str], Any]
    restart: Callable[[str, str], None]
    first_since: Callable[[str], float | None]
    missing: Callable[[str], tuple[Host, ...]]
    surrendered: Callable[[str, str, tuple], None]
    yield_to_other: Callable[[str], None]


class Attempts(NamedTuple):
    """``attempts``: attempts under way and counts of those that ended.

    ``begin(pool, upstream, account)`` gives a number, to be given to
    ``end(number, attempt, account, fingerprint)``. ``in_flight_by_upstream`` is a live
    view by pool and upstream. ``count_stalls()`` counts attempts that take too long.
    ``counted_pools()``, ``take_samples(pool)`` and ``held(pool, upstreams)`` are for
    the report to the coordinator.
    """

    begin: Callable[[str, str, str | None], int]
    end: Callable[[int, Attempt, str | None, str], None]
    in_flight_by_upstream: Mapping[tuple[str, str], int]
    count_stalls: Callable[[], None]
    counted_pools: Callable[[], Any]
    take_samples: Callable[[str], tuple]
    held: Callable[[str, tuple], tuple]


class Coordinators(NamedTuple):
    """``coordinators``: decisions on the pools that this host coordinates.

    ``receive(sender, report)`` takes a ``reports.HealthReport`` and gives a tuple of
    ``reports.PoolReply``. ``step()`` ejects, re-admits and raises levels once.
    ``on_ejection(function)`` has ``function(pool, entry)`` called for each ejection.
    """

    receive: Callable[[str, Any], tuple]
    step: Callable[[], None]
    on_ejection: Callable[[Callable[[str, Any], None]], None]


class Health(NamedTuple):
    """``health``: reports of this host to the coordinators.

    ``report()`` sends everything counted. ``ask(pool)`` asks for work on a pool's
    cold upstreams and tells whether the answer may be here already;
    ``note_demand(pool)`` has the next report ask. ``surrender(pool, coordinator)``
    gives up the pool's grants to a new coordinator and gives what still runs.
    """

    report: Callable[[], None]
    ask: Callable[[str], bool]
    note_demand: Callable[[str], None]
    surrender: Callable[[str, str], tuple]


class TakeOvers(NamedTuple):
    """``take_overs``: ``step()`` has the hosts give up their grants to this one,
    for every pool that it coordinates and that has cold upstreams."""

    step: Callable[[], None]


class Balancers(NamedTuple):
    """``balancers``: choice of an upstream.

    ``choose(pool, excluded, account=None)`` gives a ``Choice`` or a ``Refusal``, whose
    reason is ``OVERLOADED`` when every upstream that may be used is at its cap;
    ``excluded`` are ids of upstreams already tried, ``account`` is the client
    account's id. ``release(choice, attempt, account, fingerprint)`` must follow, once.
    """

    choose: Callable[..., Result]
    release: Callable[[Choice, Attempt, str | None, str], None]


class Forwarders(NamedTuple):
    """``forwarders``: ``exchange(upstream, request, deadline, idempotent)`` sends a
    request and gives an ``Attempt``."""

    exchange: Callable[[Upstream, CallerRequest, float, bool], Attempt]


class Proxies(NamedTuple):
    """``proxies``: ``handle(request)`` gives an ``Answer`` or a ``Refusal``."""

    handle: Callable[[CallerRequest], Result[Answer, Refusal]]

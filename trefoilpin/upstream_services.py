"""Interfaces of the services that watch over and choose upstreams."""

from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Result

from trefoilpin.messages import Attempt, Choice
from trefoilpin.records import Host, Pool, Upstream

__all__ = [
    "Attempts",
    "Balancers",
    "Coordinators",
    "Drains",
    "Health",
    "SlowStarts",
    "Standings",
    "TakeOvers",
]


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

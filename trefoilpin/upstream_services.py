"""Interfaces of the services for health checking and load balancing of upstreams."""

from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Result

from trefoilpin.messages import Attempt, Choice
from trefoilpin.records import Host, Pool, Upstream

__all__ = [
    "Attempts",
    "Balancers",
    "CoordinatorHandovers",
    "Coordinators",
    "Drains",
    "Health",
    "SlowStarts",
    "UpstreamStates",
]


class Drains(NamedTuple):
    """``drains``: draining upstreams.

    ``until(pool, upstream)`` takes a pool's id and an ``Upstream`` and returns when its
    drain expires, 0 when there is none. ``report(pool, upstream, source)`` records a
    drain signal, by ids. ``draining(pool)`` returns the ids of draining upstreams.
    ``subscribe`` has a function called with a pool's id after a new signal.
    ``read_list()`` reads the platform's list once, if this host is one of its readers.
    """

    until: Callable[[str, Upstream], float]
    report: Callable[[str, str, str], None]
    draining: Callable[[str], tuple[str, ...]]
    subscribe: Callable[[Callable[[str], None]], None]
    read_list: Callable[[], bool]


class UpstreamStates(NamedTuple):
    """``upstream_states``: fleet-wide state of each upstream, and the ejection floor.

    ``pool_view(pool)`` takes a ``Pool`` and returns an ``upstream_states.PoolView``:
    the upstreams in service, and an ``Exclusion`` for each other. ``entries(pool)``
    returns the ``reports.Entry`` records of a pool's id, ``counter_total(pool)`` the
    sum of their counters and ``entry_for(pool, upstream)`` one of them or None.
    ``merge(pool, entries)`` merges entries; ``set_state(pool, upstream, state, badness,
    times)`` creates a new one and ``publish(pool)`` sends the pool's entries to every
    host. ``avoid_locally(pool, upstream, seconds, badness)`` takes an upstream out of
    service on this host only.
    """

    pool_view: Callable[[Pool], Any]
    entries: Callable[[str], tuple]
    counter_total: Callable[[str], int]
    merge: Callable[[str, Any], None]
    set_state: Callable[..., Any]
    publish: Callable[[str], None]
    avoid_locally: Callable[[str, str, float, float], None]
    entry_for: Callable[[str, str], Any]


class SlowStarts(NamedTuple):
    """``slow_starts``: concurrency grants on cold upstreams.

    As coordinator: ``grant(sender, report)`` returns the ``reports.Grant`` records for
    a ``PoolReport``; ``ramp_of(pool, upstream)`` the ``ramps.Ramp``; ``restart(pool,
    upstream)`` starts the ramp again; ``coordinator_since(pool)`` is when this host
    became the pool's coordinator, None when it is not. As host: ``drop_grants(pool)``
    drops the grants held, ``store_grants(pool, grants, asked_at)`` stores new ones,
    ``units(pool, upstream)`` is the concurrency granted now.

    For a change of coordinator: ``pending_hosts(pool)`` are the hosts that have not
    surrendered their grants to this one, ``record_surrender(host, pool, held)`` records
    that one did, and ``resign(pool)`` stops granting on this host.
    """

    grant: Callable[[str, Any], tuple]
    drop_grants: Callable[[str], None]
    store_grants: Callable[[str, tuple, float], None]
    units: Callable[[str, str], int]
    ramp_of: Callable[[str, str], Any]
    restart: Callable[[str, str], None]
    coordinator_since: Callable[[str], float | None]
    pending_hosts: Callable[[str], tuple[Host, ...]]
    record_surrender: Callable[[str, str, tuple], None]
    resign: Callable[[str], None]


class Attempts(NamedTuple):
    """``attempts``: attempts in flight, and counts of finished ones.

    ``begin(pool, upstream, account)`` returns a number, which is passed to
    ``end(number, attempt, account, fingerprint)``. ``in_flight_by_upstream`` is a live
    view by pool and upstream. ``count_stalls()`` counts attempts that take too long.
    ``counted_pools()``, ``take_samples(pool)`` and ``held(pool, upstreams)`` provide
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
    """``coordinators``: health decisions for the pools that this host coordinates.

    ``receive(sender, report)`` takes a ``reports.HealthReport`` and returns a tuple of
    ``reports.PoolReply``. ``step()`` runs one round of ejections, re-admissions and
    slow-start increases. ``on_ejection(function)`` has ``function(pool, entry)`` called
    for each ejection.
    """

    receive: Callable[[str, Any], tuple]
    step: Callable[[], None]
    on_ejection: Callable[[Callable[[str, Any], None]], None]


class Health(NamedTuple):
    """``health``: reports of this host to the coordinators.

    ``report()`` sends the collected counts. ``ask(pool)`` requests concurrency on a
    pool's cold upstreams and returns whether the reply may have arrived;
    ``record_demand(pool)`` adds the request to the next report. ``surrender(pool,
    coordinator)`` surrenders the pool's grants to a new coordinator and returns the
    requests still in flight.
    """

    report: Callable[[], None]
    ask: Callable[[str], bool]
    record_demand: Callable[[str], None]
    surrender: Callable[[str, str], tuple]


class CoordinatorHandovers(NamedTuple):
    """``coordinator_handovers``: change of a pool's coordinator.

    ``step()`` has the hosts surrender their grants to this one, for every pool that it
    coordinates and that has cold upstreams.
    """

    step: Callable[[], None]


class Balancers(NamedTuple):
    """``balancers``: load balancing over the upstreams of a pool.

    ``choose(pool, excluded, account=None)`` returns a ``Choice`` or a ``Refusal``,
    whose reason is ``OVERLOADED`` when every usable upstream is at its concurrency
    limit; ``excluded`` are ids of upstreams already tried, ``account`` is the client
    account's id. ``release(choice, attempt, account, fingerprint)`` must be called
    exactly once for each ``Choice``.
    """

    choose: Callable[..., Result]
    release: Callable[[Choice, Attempt, str | None, str], None]

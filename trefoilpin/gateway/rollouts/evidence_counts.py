"""Counts of the requests of a rollout, from all hosts, as evidence for its decision.

Every count only grows while an order lasts, so that lost, repeated and late messages
do no harm: of two reports the higher count holds. A relay adds up the hosts of its zone
and sends the sums to the other relays. What a host reported before it stopped stays in
the sums.
"""

from typing import Callable, NamedTuple

from trefoilpin.binomials import Tally
from trefoilpin.gateway.rollouts.decisions import Evidence, RouteEvidence
from trefoilpin.gateway.rollouts.records import EMPTY_COUNTS, CountKey, Counts

__all__ = ["MAX_KEYS", "CountTable", "build_evidence", "create", "subtract"]

# Bound on the counts of one host or zone; more routes or upstreams are left out.
MAX_KEYS = 64
MAX_UPSTREAM_KEYS = 24
MAX_SOURCES = 1024


class CountTable(NamedTuple):
    """Counts of one rollout.

    ``add(key, sent, ended, bad)`` counts a request of this host. ``merge_host(host,
    key, counts)`` takes what a host of the own zone reports, where ``host`` names its
    incarnation, and ``merge_zone(zone, key, counts)`` the sums of a zone.
    ``own()`` returns this host's counts by key, ``by_zone()`` the sums of each zone and
    ``total()`` those of all. ``has_reports()`` tells whether other hosts reported.
    """

    add: Callable[..., None]
    merge_host: Callable[..., None]
    merge_zone: Callable[..., None]
    own: Callable[[], dict[CountKey, Counts]]
    by_zone: Callable[[], dict[str, dict[CountKey, Counts]]]
    total: Callable[[], dict[CountKey, Counts]]
    has_reports: Callable[[], bool]


class CountState:
    """Counts of this host, of the other hosts of its zone, and sums by zone."""

    def __init__(self):
        self.own: dict[CountKey, Counts] = {}
        self.by_host: dict[tuple[str, int], dict[CountKey, Counts]] = {}
        self.by_zone: dict[str, dict[CountKey, Counts]] = {}


def has_room(counts_by_key, key):
    """Tell whether a table takes a key, which bounds its size."""
    if key in counts_by_key:
        return True
    if len(counts_by_key) >= MAX_KEYS:
        return False
    upstream_keys = sum(bool(known.upstream) for known in counts_by_key)
    return not key.upstream or upstream_keys < MAX_UPSTREAM_KEYS


def raise_counts(counts_by_key, key, counts):
    """Raise the counts of a key to at least the given ones."""
    if has_room(counts_by_key, key):
        known = counts_by_key.get(key, EMPTY_COUNTS)
        counts_by_key[key] = Counts(*map(max, known, counts))


def add_counts(counts_by_key, key, counts):
    """Add counts to those of a key."""
    if has_room(counts_by_key, key):
        known = counts_by_key.get(key, EMPTY_COUNTS)
        counts_by_key[key] = Counts(*map(sum, zip(known, counts)))


def subtract(counts_by_key, earlier):
    """Return what was counted since an earlier state of the counts."""
    difference = {}
    for key, counts in counts_by_key.items():
        before = earlier.get(key, EMPTY_COUNTS)
        since = Counts(*(now - then for now, then in zip(counts, before)))
        difference[key] = Counts(*(max(count, 0) for count in since))
    return difference


def build_evidence(counts_by_key):
    """Return counts as ``Evidence``, in which requests in flight count as good.

    Failures end sooner than other responses, so that among the responses of the first
    moments of a stage a good version has several times its usual share of bad ones.
    """
    old_by_route, new_by_route, upstreams_by_route = {}, {}, {}
    for key, counts in counts_by_key.items():
        tally = Tally(max(counts.sent, counts.ended), counts.bad)
        upstreams_by_route.setdefault(key.route, {})
        if key.upstream:
            if counts.bad:
                upstreams_by_route[key.route][key.upstream] = tally
        elif key.is_target:
            new_by_route[key.route] = tally
        else:
            old_by_route[key.route] = tally
    by_route = {}
    for route, by_upstream in upstreams_by_route.items():
        old = old_by_route.get(route, Tally(0, 0))
        new = new_by_route.get(route, Tally(0, 0))
        by_route[route] = RouteEvidence(old, new, by_upstream)
    return Evidence(by_route)


def create(own_zone):
    """Create the functions of a count table.

    Parameters
    ----------
    own_zone : str

    Returns
    -------
    CountTable
    """
    state = CountState()

    def add(key, sent, ended, bad):
        add_counts(state.own, key, Counts(sent, ended, bad))

    def merge_host(host, key, counts):
        if host not in state.by_host and len(state.by_host) >= MAX_SOURCES:
            return
        raise_counts(state.by_host.setdefault(host, {}), key, counts)

    def merge_zone(zone, key, counts):
        if zone not in state.by_zone and len(state.by_zone) >= MAX_KEYS:
            return
        raise_counts(state.by_zone.setdefault(zone, {}), key, counts)

    def by_zone():
        sums: dict[CountKey, Counts] = {}
        for counts_by_key in (state.own, *state.by_host.values()):
            for key, counts in counts_by_key.items():
                add_counts(sums, key, counts)
        for key, counts in sums.items():
            merge_zone(own_zone, key, counts)
        return state.by_zone

    def total():
        sums: dict[CountKey, Counts] = {}
        for counts_by_key in by_zone().values():
            for key, counts in counts_by_key.items():
                add_counts(sums, key, counts)
        return sums

    return CountTable(
        add,
        merge_host,
        merge_zone,
        lambda: state.own,
        by_zone,
        total,
        lambda: bool(state.by_host),
    )

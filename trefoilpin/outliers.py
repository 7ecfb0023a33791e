"""Finding the upstreams that do worse than their pool.

An upstream is an outlier when its failures, or its slow answers, exceed what the
pool lets expect with a bound on the probability of chance, over one of several
windows, and when this does not come from one client account, from one host that got
no answer, or from one distant availability zone alone.
"""

from typing import NamedTuple

from trefoilpin import binomials
from trefoilpin.binomials import Tally
from trefoilpin.evidence import (
    LONGEST_WINDOW_SECONDS,
    expire_fingerprints,
    open_second,
)
from trefoilpin.reports import UNKNOWN_ACCOUNT

__all__ = ["Outlier", "find_outliers"]

WINDOWS_SECONDS = (2, 4, 6, 8, 11, LONGEST_WINDOW_SECONDS)
CHANCE_PER_POOL = 6e-5
REST_CHANCE = 1e-2
ZONE_CHANCE = 1e-2
LEAST_BAD = 4
LEAST_OTHERS = 10
SCREEN_RATIO = 2.0
SCREEN_SHARE = 0.05
HARD_RUN = 5
MOST_BREAKS_A_SECOND = 2
HARD_RUN_SECONDS = 2
MOST_SHARE = 0.99


class Outlier(NamedTuple):
    """An upstream that does worse than its pool, with the evidence.

    Attributes
    ----------
    upstream : str
    kind : str
        ``failures``, ``slow`` or ``hard``.
    requests, bad : int
    expected : float
        Share of bad attempts that the pool lets expect.
    chance : float
        Probability of this many by chance.
    hosts, zones : int
        How many saw it.
    """

    upstream: str
    kind: str
    requests: int
    bad: int
    expected: float
    chance: float
    hosts: int
    zones: int


def crashes(evidence, fingerprints):
    """Return how many of these requests broke other upstreams too."""
    known = evidence.upstreams_by_fingerprint
    return sum(len(known.get(item, ())) > 1 for item in fingerprints)


def rows_of(evidence, second, upstream):
    """Return an upstream's rows of a second.

    Where a request that breaks other upstreams too broke this one, the connections
    that broke with it don't count.
    """
    rows = second.rows_by_upstream.get(upstream, ())
    if not any(crashes(evidence, row.fingerprints) for row in rows):
        return rows
    return [
        row._replace(
            requests=row.requests - row.hard,
            failures=row.failures - row.hard,
            hard=0,
            fingerprints=(),
        )
        for row in rows
    ]


def bad_of(evidence, row, kind):
    """Return the bad attempts of a row that count against the upstream."""
    if kind == "slow":
        return row.slow
    return row.failures - crashes(evidence, row.fingerprints)


def is_suspect(evidence, upstream, position):
    """Screen an upstream by its sums over the longest window."""
    sums = evidence.sums_by_upstream[upstream]
    if sums[position] < LEAST_BAD:
        return False
    others = evidence.sums[0] - sums[0]
    if others < LEAST_OTHERS:
        return False
    share = (evidence.sums[position] - sums[position]) / others
    return sums[position] / sums[0] > max(SCREEN_RATIO * share, SCREEN_SHARE)


def pool_tallies(evidence, position, oldest):
    """Return ``Tally`` by account over the whole pool since a tick."""
    sums_by_account: dict[str, list[int]] = {}
    for second in evidence.seconds:
        if second.tick < oldest:
            continue
        for account, sums in second.sums_by_account.items():
            merged = sums_by_account.setdefault(account, [0, 0])
            merged[0] += sums[0]
            merged[1] += sums[position]
    return {account: Tally(*sums) for account, sums in sums_by_account.items()}


def merge_rows(evidence, rows, kind, field):
    """Return ``Tally`` by one field of the rows."""
    sums_by_name: dict[str, list[int]] = {}
    for row in rows:
        merged = sums_by_name.setdefault(getattr(row, field), [0, 0])
        merged[0] += row.requests
        merged[1] += bad_of(evidence, row, kind)
    return {name: Tally(*sums) for name, sums in sums_by_name.items()}


def is_beyond_one_account(own_by_account, pool_by_account, expected):
    """Tell whether the evidence holds without the account that fails most."""
    if len(pool_by_account) < 2:
        return True
    named = [account for account in own_by_account if account != UNKNOWN_ACCOUNT]
    if not named:
        return True
    worst = max(named, key=lambda account: own_by_account[account].bad)
    rest = [own for account, own in own_by_account.items() if account != worst]
    requests = sum(own.requests for own in rest)
    bad = sum(own.bad for own in rest)
    return binomials.binomial_tail(bad, requests, expected) < REST_CHANCE


def is_beyond_one_place(tally_by_zone, is_seen_twice, home, zones, expected):
    """Tell whether the evidence holds beyond one host and one distant zone.

    Parameters
    ----------
    tally_by_zone : dict
    is_seen_twice : bool
        True when two hosts saw bad attempts, or a second one can't be had.
    home : str
        The upstream's own zone.
    zones : set of str
        Zones that report on this pool.
    expected : float
    """
    affected = []
    for zone, tally in tally_by_zone.items():
        chance = binomials.binomial_tail(tally.bad, tally.requests, expected)
        if chance < ZONE_CHANCE:
            affected.append(zone)
    if not affected:
        return is_seen_twice
    requests = sum(tally_by_zone[zone].requests for zone in affected)
    share = sum(tally_by_zone[zone].bad for zone in affected) / requests
    share = min(share, MOST_SHARE)
    for zone, tally in tally_by_zone.items():
        if zone in affected:
            continue
        chance = binomials.binomial_at_most(tally.bad, tally.requests, share)
        if chance < ZONE_CHANCE:
            return False
    if len(affected) > 1:
        return True
    return is_seen_twice and (affected[0] == home or zones <= set(affected))


def reporters(evidence):
    """Return the hosts and the zones that reported within the longest window."""
    hosts, zones = set(), set()
    for second in evidence.seconds:
        for rows in second.rows_by_upstream.values():
            hosts.update(row.host for row in rows)
            zones.update(row.zone for row in rows)
    return hosts, zones


def test_window(evidence, upstream, home, kind, oldest, most_chance):
    """Return an ``Outlier`` for one kind and window, or None."""
    position = 1 if kind == "failures" else 2
    rows = []
    surplus = 0
    for second in evidence.seconds:
        if second.tick >= oldest:
            found = rows_of(evidence, second, upstream)
            broken = sum(len(row.fingerprints) for row in found)
            surplus += max(0, broken - MOST_BREAKS_A_SECOND)
            rows.extend(found)
    own_by_account = merge_rows(evidence, rows, kind, "account")
    requests = sum(own.requests for own in own_by_account.values()) - surplus
    bad = sum(own.bad for own in own_by_account.values()) - surplus
    if bad < LEAST_BAD:
        return None
    pool_by_account = pool_tallies(evidence, position, oldest)
    lasting_by_account = {
        account: Tally(sums[0], sums[position])
        for account, sums in evidence.lasting_by_account.items()
    }
    expected = binomials.expected_share(
        own_by_account, pool_by_account, lasting_by_account
    )
    chance = binomials.binomial_tail(bad, requests, expected)
    if chance > most_chance:
        return None
    if not is_beyond_one_account(own_by_account, pool_by_account, expected):
        return None
    tally_by_zone = merge_rows(evidence, rows, kind, "zone")
    tally_by_host = merge_rows(evidence, rows, kind, "host")
    hosts = sum(tally.bad > 0 for tally in tally_by_host.values())
    reporting_hosts, zones = reporters(evidence)
    answered = 0 if kind == "slow" else bad - sum(row.hard for row in rows)
    is_seen_twice = hosts > 1 or len(reporting_hosts) == 1 or answered >= LEAST_BAD
    if not is_beyond_one_place(tally_by_zone, is_seen_twice, home, zones, expected):
        return None
    affected = sum(tally.bad > 0 for tally in tally_by_zone.values())
    return Outlier(upstream, kind, requests, bad, expected, chance, hosts, affected)


def test_hard_run(evidence, upstream, home):
    """Return an ``Outlier`` for a run of failures without an answer, or None."""
    run = evidence.hard_run_by_upstream.get(upstream)
    if run is None or len(run.ticks) < HARD_RUN_SECONDS:
        return None
    count = run.count - crashes(evidence, run.fingerprints)
    if count < HARD_RUN:
        return None
    if len(run.hosts) < 2:
        return None
    if len(run.accounts) < 2 and UNKNOWN_ACCOUNT not in run.accounts:
        return None
    if len(run.zones) < 2 and run.zones != {home}:
        return None
    hosts, zones = len(run.hosts), len(run.zones)
    return Outlier(upstream, "hard", count, count, 0.0, 0.0, hosts, zones)


def find_outliers(evidence, tick, home_by_upstream):
    """Return the upstreams that do worse than their pool, the worst first.

    Parameters
    ----------
    evidence : PoolEvidence
    tick : int
    home_by_upstream : dict
        Availability zone by upstream, of the upstreams that may be ejected.

    Returns
    -------
    list of Outlier
    """
    open_second(evidence, tick)
    expire_fingerprints(evidence, tick)
    most_chance = CHANCE_PER_POOL / max(len(home_by_upstream), 1)
    found = []
    for upstream, home in home_by_upstream.items():
        outlier = test_hard_run(evidence, upstream, home)
        if outlier is None and upstream in evidence.sums_by_upstream:
            outlier = test_upstream(evidence, tick, upstream, home, most_chance)
        if outlier is not None:
            found.append(outlier)
    return sorted(found, key=lambda item: (-item.bad / item.requests, item.upstream))


def test_upstream(evidence, tick, upstream, home, most_chance):
    """Return an ``Outlier`` from the first kind and window that shows one."""
    for position, kind in ((1, "failures"), (2, "slow")):
        if not is_suspect(evidence, upstream, position):
            continue
        for seconds in WINDOWS_SECONDS:
            oldest = tick - seconds + 1
            outlier = test_window(evidence, upstream, home, kind, oldest, most_chance)
            if outlier is not None:
                return outlier
    return None

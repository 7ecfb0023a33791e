"""Outlier detection: upstreams that do worse than the rest of their pool.

An upstream is an outlier if its failures or slow answers in one of several windows
exceed the share expected from the pool, with a bound on the probability of chance. The
excess must not be confined to a single client account, to a single host that got no
answer, or to a single zone other than the upstream's own.
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
MAX_P_VALUE_PER_POOL = 6e-5
MAX_P_VALUE_WITHOUT_ACCOUNT = 1e-2
MAX_P_VALUE_PER_ZONE = 1e-2
MIN_BAD_ATTEMPTS = 4
MIN_OTHER_ATTEMPTS = 10
SCREEN_RATIO = 2.0
SCREEN_SHARE = 0.05
MIN_HARD_RUN_FAILURES = 5
MAX_BREAKS_PER_SECOND = 2
MIN_HARD_RUN_SECONDS = 2
MAX_BAD_SHARE = 0.99


class Outlier(NamedTuple):
    """An upstream that does worse than its pool, with the evidence for it.

    Attributes
    ----------
    upstream : str
    kind : str
        ``failures``, ``slow`` or ``hard``.
    requests, bad : int
    expected : float
        Share of bad attempts expected from the rest of the pool.
    p_value : float
        Probability of at least this many bad attempts by chance.
    hosts, zones : int
        Numbers of hosts and zones with bad attempts.
    """

    upstream: str
    kind: str
    requests: int
    bad: int
    expected: float
    p_value: float
    hosts: int
    zones: int


def count_crash_requests(evidence, fingerprints):
    """Return how many of these requests also broke connections of other upstreams."""
    known = evidence.ticks_by_fingerprint
    return sum(len(known.get(item, ())) > 1 for item in fingerprints)


def attributable_rows(evidence, second, upstream):
    """Return an upstream's rows of a second that count against it.

    If a request broke this upstream and others too, the connections that broke
    together with its own in that second are left out.
    """
    rows = second.rows_by_upstream.get(upstream, ())
    if not any(count_crash_requests(evidence, row.fingerprints) for row in rows):
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


def count_bad(evidence, row, kind):
    """Return the number of bad attempts in a row that count against the upstream."""
    if kind == "slow":
        return row.slow
    return row.failures - count_crash_requests(evidence, row.fingerprints)


def passes_screening(evidence, upstream, column):
    """Return whether the sums over the longest window warrant the full check."""
    sums = evidence.sums_by_upstream[upstream]
    if sums[column] < MIN_BAD_ATTEMPTS:
        return False
    others = evidence.sums[0] - sums[0]
    if others < MIN_OTHER_ATTEMPTS:
        return False
    share = (evidence.sums[column] - sums[column]) / others
    return sums[column] / sums[0] > max(SCREEN_RATIO * share, SCREEN_SHARE)


def pool_tallies(evidence, column, oldest):
    """Return a ``Tally`` by account over the whole pool since a tick."""
    sums_by_account: dict[str, list[int]] = {}
    for second in evidence.seconds:
        if second.tick < oldest:
            continue
        for account, sums in second.sums_by_account.items():
            merged = sums_by_account.setdefault(account, [0, 0])
            merged[0] += sums[0]
            merged[1] += sums[column]
    return {account: Tally(*sums) for account, sums in sums_by_account.items()}


def tally_rows(evidence, rows, kind, field):
    """Return a ``Tally`` by the values of one field of the rows."""
    sums_by_name: dict[str, list[int]] = {}
    for row in rows:
        merged = sums_by_name.setdefault(getattr(row, field), [0, 0])
        merged[0] += row.requests
        merged[1] += count_bad(evidence, row, kind)
    return {name: Tally(*sums) for name, sums in sums_by_name.items()}


def is_beyond_one_account(own_by_account, pool_by_account, expected):
    """Return whether the evidence remains without the account with most failures."""
    if len(pool_by_account) < 2:
        return True
    named = [account for account in own_by_account if account != UNKNOWN_ACCOUNT]
    if not named:
        return True
    worst = max(named, key=lambda account: own_by_account[account].bad)
    rest = [own for account, own in own_by_account.items() if account != worst]
    requests = sum(own.requests for own in rest)
    bad = sum(own.bad for own in rest)
    return (
        binomials.binomial_upper_tail(bad, requests, expected)
        < MAX_P_VALUE_WITHOUT_ACCOUNT
    )


def is_beyond_one_location(
    tally_by_zone, is_seen_by_two_hosts, own_zone, zones, expected
):
    """Return whether the evidence is not confined to one host or one distant zone.

    Parameters
    ----------
    tally_by_zone : dict
    is_seen_by_two_hosts : bool
        True if two hosts saw bad attempts, or if no second host is needed.
    own_zone : str
        Zone of the upstream.
    zones : set of str
        Zones with reports on this pool.
    expected : float
    """
    affected = []
    for zone, tally in tally_by_zone.items():
        p_value = binomials.binomial_upper_tail(tally.bad, tally.requests, expected)
        if p_value < MAX_P_VALUE_PER_ZONE:
            affected.append(zone)
    if not affected:
        return is_seen_by_two_hosts
    requests = sum(tally_by_zone[zone].requests for zone in affected)
    share = sum(tally_by_zone[zone].bad for zone in affected) / requests
    share = min(share, MAX_BAD_SHARE)
    for zone, tally in tally_by_zone.items():
        if zone in affected:
            continue
        p_value = binomials.binomial_lower_tail(tally.bad, tally.requests, share)
        if p_value < MAX_P_VALUE_PER_ZONE:
            return False
    if len(affected) > 1:
        return True
    return is_seen_by_two_hosts and (affected[0] == own_zone or zones <= set(affected))


def find_reporters(evidence):
    """Return the hosts and the zones with reports in the longest window."""
    hosts, zones = set(), set()
    for second in evidence.seconds:
        for rows in second.rows_by_upstream.values():
            hosts.update(row.host for row in rows)
            zones.update(row.zone for row in rows)
    return hosts, zones


def check_window(evidence, upstream, own_zone, kind, oldest, max_p_value):
    """Return an ``Outlier`` for one kind of failure and one window, or None."""
    column = 1 if kind == "failures" else 2
    rows = []
    excess_breaks = 0
    for second in evidence.seconds:
        if second.tick >= oldest:
            found_rows = attributable_rows(evidence, second, upstream)
            broken = sum(len(row.fingerprints) for row in found_rows)
            excess_breaks += max(0, broken - MAX_BREAKS_PER_SECOND)
            rows.extend(found_rows)
    own_by_account = tally_rows(evidence, rows, kind, "account")
    requests = sum(own.requests for own in own_by_account.values()) - excess_breaks
    bad = sum(own.bad for own in own_by_account.values()) - excess_breaks
    if bad < MIN_BAD_ATTEMPTS:
        return None
    pool_by_account = pool_tallies(evidence, column, oldest)
    long_term_by_account = {
        account: Tally(sums[0], sums[column])
        for account, sums in evidence.long_term_by_account.items()
    }
    expected = binomials.expected_share(
        own_by_account, pool_by_account, long_term_by_account
    )
    p_value = binomials.binomial_upper_tail(bad, requests, expected)
    if p_value > max_p_value:
        return None
    if not is_beyond_one_account(own_by_account, pool_by_account, expected):
        return None
    tally_by_zone = tally_rows(evidence, rows, kind, "zone")
    tally_by_host = tally_rows(evidence, rows, kind, "host")
    hosts = sum(tally.bad > 0 for tally in tally_by_host.values())
    reporting_hosts, zones = find_reporters(evidence)
    answered_failures = 0 if kind == "slow" else bad - sum(row.hard for row in rows)
    is_seen_by_two_hosts = (
        hosts > 1 or len(reporting_hosts) == 1 or answered_failures >= MIN_BAD_ATTEMPTS
    )
    if not is_beyond_one_location(
        tally_by_zone, is_seen_by_two_hosts, own_zone, zones, expected
    ):
        return None
    affected = sum(tally.bad > 0 for tally in tally_by_zone.values())
    return Outlier(upstream, kind, requests, bad, expected, p_value, hosts, affected)


def check_hard_run(evidence, upstream, own_zone):
    """Return an ``Outlier`` for a run of failures without an answer, or None."""
    run = evidence.hard_run_by_upstream.get(upstream)
    if run is None or len(run.ticks) < MIN_HARD_RUN_SECONDS:
        return None
    count = run.count - count_crash_requests(evidence, run.fingerprints)
    if count < MIN_HARD_RUN_FAILURES:
        return None
    if len(run.hosts) < 2:
        return None
    if len(run.accounts) < 2 and UNKNOWN_ACCOUNT not in run.accounts:
        return None
    if len(run.zones) < 2 and run.zones != {own_zone}:
        return None
    hosts, zones = len(run.hosts), len(run.zones)
    return Outlier(upstream, "hard", count, count, 0.0, 0.0, hosts, zones)


def find_outliers(evidence, tick, zone_by_upstream):
    """Return the upstreams that do worse than their pool, worst first.

    Parameters
    ----------
    evidence : PoolEvidence
    tick : int
    zone_by_upstream : dict
        Availability zone of each upstream that may be ejected.

    Returns
    -------
    list of Outlier
    """
    open_second(evidence, tick)
    expire_fingerprints(evidence, tick)
    max_p_value = MAX_P_VALUE_PER_POOL / max(len(zone_by_upstream), 1)
    found = []
    for upstream, own_zone in zone_by_upstream.items():
        outlier = check_hard_run(evidence, upstream, own_zone)
        if outlier is None and upstream in evidence.sums_by_upstream:
            outlier = check_upstream(evidence, tick, upstream, own_zone, max_p_value)
        if outlier is not None:
            found.append(outlier)
    return sorted(found, key=lambda item: (-item.bad / item.requests, item.upstream))


def check_upstream(evidence, tick, upstream, own_zone, max_p_value):
    """Return an ``Outlier`` from the first kind and window that shows one."""
    for column, kind in ((1, "failures"), (2, "slow")):
        if not passes_screening(evidence, upstream, column):
            continue
        for seconds in WINDOWS_SECONDS:
            oldest = tick - seconds + 1
            outlier = check_window(
                evidence, upstream, own_zone, kind, oldest, max_p_value
            )
            if outlier is not None:
                return outlier
    return None

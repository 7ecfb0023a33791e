"""Requests refused although within the account's rate, over 44 hosts.

Callers of eight accounts, one of them large, use two hosts each and switch to other
hosts every 30 s. A request is within the rate if a single global token bucket admits
it. Figures cover steady state and the time from 3 s after a crash of the large
account's quota owner, and the same after the store has been down for an hour. The large
account uses 80% of its rate and the others 50%; with 80% for all accounts, the figures
are reported without a bound. The baseline splits each rate evenly among the hosts.
"""

import random
import time
from typing import NamedTuple

from bench.results import Result, finish
from trefoilpin.fakes.limit_fleets import crash, create_limit_fleet, start_request
from trefoilpin.fakes.naive_buckets import Segment, admissible
from trefoilpin.records import ClientAccount

HOSTS = 44
SEED = 1
BOUND_PERCENT = 0.1
WARM_UP_SECONDS = 20.0
STEADY_SECONDS = 60.0
AFTER_CRASH_SECONDS = 20.0
RECOVERY_SECONDS = 3.0
DETECTION_SECONDS = 8.0
SWITCH_SECONDS = 30.0
OUTAGE_SECONDS = 3600.0
LARGE_LOAD_SHARE = 0.8
SMALL_LOAD_SHARE = 0.5
MAX_WAIT_SECONDS = 0.25
LARGE = ClientAccount("large", 60.0, 60.0)
SMALL = tuple(ClientAccount(f"small{number}", 6.0, 20.0) for number in range(7))
ACCOUNTS = (LARGE, *SMALL)


class Arrival(NamedTuple):
    """A request with its arrival time and outcome."""

    instant: float
    account: str
    host: str
    is_granted: bool


def run_callers(fleet, account, load_share, rng):
    """Send an account's requests to two random hosts, chosen anew regularly."""
    while True:
        running = sorted(set(fleet.host_by_incarnation) - fleet.loop.dead)
        hosts = rng.sample(running, 2)
        switch_at = fleet.loop.now + SWITCH_SECONDS
        while fleet.loop.now < switch_at:
            fleet.tasks.sleep(rng.expovariate(account.rate * load_share))
            running_hosts = [name for name in hosts if name not in fleet.loop.dead]
            start_request(fleet, rng.choice(running_hosts), account.id)


def read_arrivals(fleet):
    """Return every finished request in order of arrival."""
    arrivals = [
        Arrival(row[3], row[1], row[2], log is fleet.granted)
        for log in (fleet.granted, fleet.refused)
        for row in log
    ]
    return sorted(arrivals)


def in_period(arrivals, begin, end):
    """Return the arrivals of a period."""
    return [row for row in arrivals if begin <= row.instant < end]


def within_rate(arrivals):
    """Return the arrivals that a global bucket for each account admits."""
    admitted = []
    for account in ACCOUNTS:
        rows = [row for row in arrivals if row.account == account.id]
        segment = Segment(0.0, account.rate, account.burst)
        admitted_flags = admissible([row.instant for row in rows], [segment])
        admitted += [
            row for row, is_admitted in zip(rows, admitted_flags) if is_admitted
        ]
    return admitted


def percent_refused(rows):
    """Return the percentage of refused requests."""
    refused = sum(not row.is_granted for row in rows)
    return round(100 * refused / max(len(rows), 1), 3)


def percent_refused_by_split(rows):
    """Return the percentage refused if each host had an equal share of the rate."""
    refused = 0
    for account in ACCOUNTS:
        rate, burst = account.rate / HOSTS, max(account.burst / HOSTS, 1.0)
        account_rows = [row for row in rows if row.account == account.id]
        for host in {row.host for row in account_rows}:
            instants = [row.instant for row in account_rows if row.host == host]
            admitted = admissible(instants, [Segment(0.0, rate, burst)])
            refused += admitted.count(False)
    return round(100 * refused / max(len(rows), 1), 3)


def crash_owner(fleet):
    """Kill the large account's quota owner."""
    running = sorted(set(fleet.host_by_incarnation) - fleet.loop.dead)
    kernel = fleet.host_by_incarnation[running[0]].kernel
    owner = kernel.find("memberships").first(f"limits/{LARGE.id}").incarnation
    crash(fleet, owner, DETECTION_SECONDS)


def measure_fleet(name, outage_seconds, small_load_share, bound):
    """Measure the steady state and the time after a crash of the quota owner.

    Parameters
    ----------
    name : str
        Part of the figures' names.
    outage_seconds : float
        Duration of a store outage that precedes and lasts through the run; 0 for none.
    small_load_share : float
        Share of their rate that the small accounts use.
    bound : float or None
    """
    fleet = create_limit_fleet(SEED, HOSTS, ACCOUNTS, max_wait=MAX_WAIT_SECONDS)
    rng = random.Random(SEED)
    fleet.tasks.run(fleet.loop.now + WARM_UP_SECONDS)
    for host in fleet.host_by_incarnation.values():
        host.faults.down = outage_seconds > 0
    fleet.tasks.run(fleet.loop.now + outage_seconds)
    for account in ACCOUNTS:
        load_share = LARGE_LOAD_SHARE if account is LARGE else small_load_share
        fleet.tasks.spawn(None, run_callers, fleet, account, load_share, rng)
    steady_from = fleet.loop.now + WARM_UP_SECONDS
    fleet.tasks.run(steady_from + STEADY_SECONDS)
    crash_owner(fleet)
    crashed_at = fleet.loop.now
    fleet.tasks.run(crashed_at + AFTER_CRASH_SECONDS)
    rows = within_rate(read_arrivals(fleet))
    steady = in_period(rows, steady_from, crashed_at)
    recovery = in_period(rows, crashed_at, crashed_at + RECOVERY_SECONDS)
    after = in_period(rows, crashed_at + RECOVERY_SECONDS, fleet.loop.now)
    baseline = percent_refused_by_split(steady)
    prefix = f"refused_within_rate_{name}"
    return [
        Result(f"{prefix}steady", percent_refused(steady), "%", bound, SEED, baseline),
        Result(f"{prefix}first_3s", percent_refused(recovery), "%", None, SEED),
        Result(f"{prefix}after_crash", percent_refused(after), "%", bound, SEED),
        Result(f"{prefix}requests", len(rows), "count", None, SEED),
    ]


def main():
    """Measure with the store up, after an hour without it, and at higher load."""
    started_at = time.monotonic()
    bound = BOUND_PERCENT
    results = measure_fleet("", 0.0, SMALL_LOAD_SHARE, bound)
    results += measure_fleet("store_down_", OUTAGE_SECONDS, SMALL_LOAD_SHARE, bound)
    results += measure_fleet("all_at_80_percent_", 0.0, LARGE_LOAD_SHARE, None)
    seconds = round(time.monotonic() - started_at, 1)
    finish([*results, Result("refused_within_rate_seconds", seconds, "s")])


if __name__ == "__main__":
    main()

"""Requests refused although within the account's rate, over 44 hosts.

Eight accounts; the callers of each, those of a large one among them, use two hosts
and change both every 30 s. A request is within the rate when one global bucket for
the whole fleet admits it. Measured in steady state, from 3 s after the large
account's quota owner crashed, and the same with the store down for an hour. The
large account uses 80% of its rate, the others half; with all at 80% the figures are
reported without a bound. The baseline is a fixed split over the hosts.
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
WARM_SECONDS = 20.0
STEADY_SECONDS = 60.0
AFTER_CRASH_SECONDS = 20.0
RECOVERY_SECONDS = 3.0
DETECTION_SECONDS = 8.0
MOVE_SECONDS = 30.0
OUTAGE_SECONDS = 3600.0
LARGE_LOAD = 0.8
SMALL_LOAD = 0.5
WAIT_SECONDS = 0.25
LARGE = ClientAccount("large", 60.0, 60.0)
SMALL = tuple(ClientAccount(f"small{number}", 6.0, 20.0) for number in range(7))
ACCOUNTS = (LARGE, *SMALL)


class Arrival(NamedTuple):
    """A request and what became of it."""

    instant: float
    account: str
    host: str
    is_granted: bool


def run_callers(fleet, account, load, rng):
    """Send an account's requests to two hosts that change now and then."""
    while True:
        running = sorted(set(fleet.host_by_incarnation) - fleet.loop.dead)
        hosts = rng.sample(running, 2)
        moves_at = fleet.loop.now + MOVE_SECONDS
        while fleet.loop.now < moves_at:
            fleet.tasks.sleep(rng.expovariate(account.rate * load))
            alive = [name for name in hosts if name not in fleet.loop.dead]
            start_request(fleet, rng.choice(alive), account.id)


def read_arrivals(fleet):
    """Return every finished request in order of arrival."""
    rows = [
        Arrival(row[3], row[1], row[2], log is fleet.granted)
        for log in (fleet.granted, fleet.refused)
        for row in log
    ]
    return sorted(rows)


def select(arrivals, since, until):
    """Return the arrivals of a period."""
    return [row for row in arrivals if since <= row.instant < until]


def within_rate(arrivals):
    """Return the arrivals that one global bucket for each account admits."""
    admitted = []
    for account in ACCOUNTS:
        rows = [row for row in arrivals if row.account == account.id]
        segment = Segment(0.0, account.rate, account.burst)
        kept = admissible([row.instant for row in rows], [segment])
        admitted += [row for row, is_within in zip(rows, kept) if is_within]
    return admitted


def percent_refused(rows):
    """Return the percentage refused."""
    refused = sum(not row.is_granted for row in rows)
    return round(100 * refused / max(len(rows), 1), 3)


def split_baseline(rows):
    """Return the percentage that a fixed split over the hosts refuses."""
    refused = 0
    for account in ACCOUNTS:
        rate, burst = account.rate / HOSTS, max(account.burst / HOSTS, 1.0)
        mine = [row for row in rows if row.account == account.id]
        for host in {row.host for row in mine}:
            instants = [row.instant for row in mine if row.host == host]
            admitted = admissible(instants, [Segment(0.0, rate, burst)])
            refused += admitted.count(False)
    return round(100 * refused / max(len(rows), 1), 3)


def crash_owner(fleet):
    """Kill the large account's quota owner."""
    running = sorted(set(fleet.host_by_incarnation) - fleet.loop.dead)
    kernel = fleet.host_by_incarnation[running[0]].kernel
    owner = kernel.find("memberships").first(f"limits/{LARGE.id}").incarnation
    crash(fleet, owner, DETECTION_SECONDS)


def measure_fleet(name, outage, small_load, bound):
    """Measure steady state and what follows a crash of the owner.

    Parameters
    ----------
    name : str
        Added to the figures' names.
    outage : float
        Seconds for which the store is down before, 0 when it is up.
    small_load : float
        Share of their rate that the small accounts use.
    bound : float or None
    """
    fleet = create_limit_fleet(SEED, HOSTS, ACCOUNTS, max_wait=WAIT_SECONDS)
    rng = random.Random(SEED)
    fleet.tasks.run(fleet.loop.now + WARM_SECONDS)
    for host in fleet.host_by_incarnation.values():
        host.faults.down = outage > 0
    fleet.tasks.run(fleet.loop.now + outage)
    for account in ACCOUNTS:
        load = LARGE_LOAD if account is LARGE else small_load
        fleet.tasks.spawn(None, run_callers, fleet, account, load, rng)
    started = fleet.loop.now + WARM_SECONDS
    fleet.tasks.run(started + STEADY_SECONDS)
    crash_owner(fleet)
    crashed = fleet.loop.now
    fleet.tasks.run(crashed + AFTER_CRASH_SECONDS)
    rows = within_rate(read_arrivals(fleet))
    steady = select(rows, started, crashed)
    during = select(rows, crashed, crashed + RECOVERY_SECONDS)
    after = select(rows, crashed + RECOVERY_SECONDS, fleet.loop.now)
    split = split_baseline(steady)
    prefix = f"refused_within_rate_{name}"
    return [
        Result(f"{prefix}steady", percent_refused(steady), "%", bound, SEED, split),
        Result(f"{prefix}first_3s", percent_refused(during), "%", None, SEED),
        Result(f"{prefix}after_crash", percent_refused(after), "%", bound, SEED),
        Result(f"{prefix}requests", len(rows), "count", None, SEED),
    ]


def main():
    """Measure with the store up, then after an hour without it."""
    started = time.monotonic()
    bound = BOUND_PERCENT
    results = measure_fleet("", 0.0, SMALL_LOAD, bound)
    results += measure_fleet("store_down_", OUTAGE_SECONDS, SMALL_LOAD, bound)
    results += measure_fleet("all_at_80_percent_", 0.0, LARGE_LOAD, None)
    seconds = round(time.monotonic() - started, 1)
    finish([*results, Result("refused_within_rate_seconds", seconds, "s")])


if __name__ == "__main__":
    main()

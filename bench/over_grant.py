"""Tokens granted above burst + rate x time, in any window, by 44 hosts under faults.

Drawn histories of one-way partitions, pauses, crashes, planned stops, owner changes
by views that differ, rate changes, late and lost messages and store outages, with
several times the rate offered. The log of grants is compared with one global bucket.
Then histories of nothing but changes of owner; their baseline is a lender that does
not wait for the end of a loan and its reservations.
"""

import random
import time

from bench.results import Result, finish
from trefoilpin.fakes.limit_fleets import (
    apply_ticket,
    crash,
    create_limit_fleet,
    hand_over,
    set_absent,
    start_request,
    thaw,
)
from trefoilpin.fakes.naive_buckets import envelope, excess
from trefoilpin.limit_messages import LimitDurations
from trefoilpin.records import ClientAccount

HOSTS = 44
SEEDS = range(1, 9)
CHANGE_SEEDS = range(1, 4)
WARM_SECONDS = 15.0
SECONDS = 45.0
CHANGE_SECONDS = 20.0
TICKET_SECONDS = 1.0
FAULTS_A_SECOND = 1.5
OFFERED = 4.0
ROUNDING = 1e-6
DURATIONS = LimitDurations(holding_seconds=4.0)
NO_WAIT = LimitDurations(
    holding_seconds=4.0,
    margin_seconds=-DURATIONS.loan_seconds - DURATIONS.reservation_seconds,
)
ACCOUNTS = (
    ClientAccount("large", 40.0, 40.0),
    ClientAccount("small", 10.0, 20.0),
    ClientAccount("bursty", 5.0, 60.0),
)


class History:
    """A fleet, the accounts' states over time and the hosts that left."""

    def __init__(self, seed, durations):
        self.rng = random.Random(seed)
        self.fleet = create_limit_fleet(seed, HOSTS, ACCOUNTS, durations)
        start = self.fleet.loop.now
        self.states_by_account = {item.id: [(start, item)] for item in ACCOUNTS}
        self.cut = set()

    def running(self):
        loop = self.fleet.loop
        names = set(self.fleet.host_by_incarnation) - loop.dead - loop.frozen
        return sorted(names)


def draw_host(history):
    """Return a running host, more often one that owns or lends."""
    account = history.rng.choice(ACCOUNTS).id
    running = history.running()
    kernel = history.fleet.host_by_incarnation[running[0]].kernel
    memberships = kernel.find("memberships")
    names = (f"limits/{account}", "limits/holders")
    ranked = memberships.ranked(history.rng.choice(names))[:3]
    chosen = [host.incarnation for host in ranked if host.incarnation in running]
    return history.rng.choice(chosen + [history.rng.choice(running)])


def for_a_while(history, begin, end, longest):
    """Begin a fault and end it after a drawn time."""
    begin()

    def finish_later():
        history.fleet.tasks.sleep(history.rng.uniform(0.1, longest))
        end()

    history.fleet.tasks.spawn(None, finish_later)


def pause(history):
    fleet, name = history.fleet, draw_host(history)
    longest = history.rng.choice((1.0, 3.0, 20.0))
    for_a_while(
        history,
        lambda: fleet.loop.frozen.add(name),
        lambda: thaw(fleet, name),
        longest,
    )


def partition(history):
    """Cut messages between two groups, often in one direction only."""
    fleet, rng = history.fleet, history.rng
    names = sorted(fleet.host_by_incarnation)
    group = set(rng.sample(names, rng.randint(1, HOSTS // 2)))
    both = rng.random() < 0.5

    def is_partitioned(sender, receiver):
        if sender in group and receiver not in group:
            return True
        return both and receiver in group and sender not in group

    def begin():
        fleet.is_partitioned = is_partitioned
        set_majority(history, group, False)

    def end():
        fleet.is_partitioned = lambda sender, receiver: False
        set_majority(history, names, True)

    for_a_while(history, begin, end, 6.0)


def set_majority(history, names, has_majority):
    for name in names:
        host = history.fleet.host_by_incarnation.get(name)
        if host is not None:
            host.view.has_majority = has_majority


def change_owner(history):
    """Have some hosts believe that a running one is gone."""
    fleet, rng, name = history.fleet, history.rng, draw_host(history)
    believers = rng.sample(sorted(fleet.host_by_incarnation), rng.randint(1, HOSTS))
    for_a_while(
        history,
        lambda: set_absent(fleet, name, True, believers),
        lambda: set_absent(fleet, name, name in fleet.loop.dead, believers),
        5.0,
    )


def change_rate(history):
    states = history.states_by_account[history.rng.choice(ACCOUNTS).id]
    account = states[-1][1]
    rate = history.rng.choice((2.0, 5.0, 20.0, 60.0))
    burst = history.rng.choice((10.0, 30.0, 80.0))
    account = account._replace(rate=rate, burst=burst)
    states.append((history.fleet.loop.now, account))
    apply_ticket(history.fleet, account, TICKET_SECONDS)


def fail_host(history):
    if len(history.fleet.loop.dead) < HOSTS // 4:
        crash(history.fleet, draw_host(history), history.rng.uniform(0.5, 4.0))


def stop_host(history):
    if len(history.fleet.loop.dead) < HOSTS // 4:
        leaver, successor = draw_host(history), draw_host(history)
        hand_over(history.fleet, leaver, successor)


def stop_store(history):
    faults = [host.faults for host in history.fleet.host_by_incarnation.values()]
    if history.rng.random() < 0.5:
        faults = history.rng.sample(faults, HOSTS // 3)

    def set_down(is_down):
        for fault in faults:
            fault.down = is_down

    for_a_while(history, lambda: set_down(True), lambda: set_down(False), 15.0)


FAULTS = (pause, partition, change_owner, change_rate, fail_host, stop_host, stop_store)


def run_faults(history):
    """Draw faults for ever."""
    while True:
        history.fleet.tasks.sleep(history.rng.expovariate(FAULTS_A_SECOND))
        history.rng.choice(FAULTS)(history)


def run_callers(history, account, until):
    """Offer several times the rate to a few hosts that change now and then."""
    fleet, rng = history.fleet, history.rng
    while fleet.loop.now < until:
        hosts = rng.sample(history.running(), 3)
        moves_at = fleet.loop.now + rng.uniform(2, 8)
        while fleet.loop.now < min(moves_at, until):
            rate = OFFERED * history.states_by_account[account][-1][1].rate
            fleet.tasks.sleep(rng.expovariate(rate))
            name = rng.choice(hosts)
            if name not in fleet.loop.dead and name not in fleet.loop.frozen:
                start_request(fleet, name, account)


def worst_of(rows):
    """Return the worst excess, with what is only rounding left out."""
    worst = max(row[0] for row in rows)
    return worst if worst > ROUNDING else 0.0


def change_owners(history):
    """Have half of the hosts leave out an owner, in turn, for ever."""
    fleet = history.fleet
    names = sorted(fleet.host_by_incarnation)
    memberships = fleet.host_by_incarnation[names[0]].kernel.find("memberships")
    quota_owners = {
        item.id: memberships.ranked(f"limits/{item.id}") for item in ACCOUNTS
    }
    while True:
        believers = history.rng.sample(names, HOSTS // 2)
        for ranked in quota_owners.values():
            set_absent(fleet, ranked[0].incarnation, True, believers)
        fleet.tasks.sleep(history.rng.uniform(0.3, 1.5))
        for ranked in quota_owners.values():
            set_absent(fleet, ranked[0].incarnation, False)


def run_changes(seed, durations):
    """Return the worst excess of a history with changes of owner alone."""
    history = History(seed, durations)
    fleet = history.fleet
    fleet.tasks.run(fleet.loop.now + WARM_SECONDS)
    until = fleet.loop.now + CHANGE_SECONDS
    fleet.tasks.spawn(None, change_owners, history)
    for account in ACCOUNTS:
        fleet.tasks.spawn(None, run_callers, history, account.id, until)
    fleet.tasks.run(until)
    return measure(history)


def run(seed, durations):
    """Return the worst excess, the grants and the rate changes of one history."""
    history = History(seed, durations)
    fleet, start = history.fleet, history.fleet.loop.now
    fleet.tasks.run(start + WARM_SECONDS)
    fleet.late_share, fleet.loop.loss_share = 0.02, 0.02
    for host in fleet.host_by_incarnation.values():
        host.faults.lose_share = 0.1
    until = fleet.loop.now + SECONDS
    fleet.tasks.spawn(None, run_faults, history)
    for account in ACCOUNTS:
        fleet.tasks.spawn(None, run_callers, history, account.id, until)
    fleet.tasks.run(until)
    return measure(history)


def measure(history):
    worst, changes = 0.0, 0
    for account, states in history.states_by_account.items():
        grants = sorted(row[0] for row in history.fleet.granted if row[1] == account)
        segments = envelope(states, TICKET_SECONDS)
        worst = max(worst, excess(grants, segments))
        changes += len(states) - 1
    return worst, len(history.fleet.granted), changes


def main():
    """Run the histories, then those with changes of owner, with and without waiting."""
    started = time.monotonic()
    rows = [run(seed, DURATIONS) for seed in SEEDS]
    changed = [run_changes(seed, DURATIONS) for seed in CHANGE_SEEDS]
    unsafe = [run_changes(seed, NO_WAIT) for seed in CHANGE_SEEDS]
    seed = SEEDS[0]
    baseline = round(worst_of(unsafe), 2)
    name = "over_grant_owner_changes"
    finish(
        [
            Result("over_grant", worst_of(rows), "tokens", 0.0, seed),
            Result(name, worst_of(changed), "tokens", 0.0, seed, baseline),
            Result(f"{name}_unsafe", baseline, "tokens", 1.0, seed, at_least=True),
            Result("over_grant_histories", len(rows), "count", None, seed),
            Result("over_grant_grants", sum(row[1] for row in rows), "count"),
            Result("over_grant_rate_changes", sum(row[2] for row in rows), "count"),
            Result("over_grant_seconds", round(time.monotonic() - started, 1), "s"),
        ]
    )


if __name__ == "__main__":
    main()

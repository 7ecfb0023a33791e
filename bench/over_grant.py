"""Tokens granted above burst + rate x time, in any window, by 44 hosts under faults.

Random histories of one-way partitions, frozen and crashed hosts, planned stops, owner
changes due to differing views, rate changes, late and lost messages and store outages,
with several times the rate as offered load. The log of grants is compared with a single
global token bucket. Further histories contain owner changes alone; in their baseline, a
lender does not wait for the end of a loan and its reservations.
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
OWNER_CHANGE_SEEDS = range(1, 4)
WARM_UP_SECONDS = 15.0
RUN_SECONDS = 45.0
OWNER_CHANGE_SECONDS = 20.0
TICKET_SECONDS = 1.0
FAULTS_PER_SECOND = 1.5
OFFERED_LOAD_FACTOR = 4.0
ROUNDING_ERROR = 1e-6
DURATIONS = LimitDurations(holding_seconds=4.0)
NO_WAIT_DURATIONS = LimitDurations(
    holding_seconds=4.0,
    margin_seconds=-DURATIONS.loan_seconds - DURATIONS.reservation_seconds,
)
ACCOUNTS = (
    ClientAccount("large", 40.0, 40.0),
    ClientAccount("small", 10.0, 20.0),
    ClientAccount("bursty", 5.0, 60.0),
)


class History:
    """A fleet, and the limits of each account over time."""

    def __init__(self, seed, durations):
        self.rng = random.Random(seed)
        self.fleet = create_limit_fleet(seed, HOSTS, ACCOUNTS, durations)
        started_at = self.fleet.loop.now
        self.states_by_account = {item.id: [(started_at, item)] for item in ACCOUNTS}
        self.cut = set()

    def running(self):
        loop = self.fleet.loop
        names = set(self.fleet.host_by_incarnation) - loop.dead - loop.frozen
        return sorted(names)


def draw_host(history):
    """Return a random running host; quota owners and lenders are more likely."""
    account = history.rng.choice(ACCOUNTS).id
    running = history.running()
    kernel = history.fleet.host_by_incarnation[running[0]].kernel
    memberships = kernel.find("memberships")
    names = (f"limits/{account}", "limits/holders")
    ranked = memberships.ranked(history.rng.choice(names))[:3]
    candidates = [host.incarnation for host in ranked if host.incarnation in running]
    return history.rng.choice(candidates + [history.rng.choice(running)])


def run_temporary_fault(history, begin, end, max_seconds):
    """Begin a fault, and end it after a random time of at most ``max_seconds``."""
    begin()

    def end_later():
        history.fleet.tasks.sleep(history.rng.uniform(0.1, max_seconds))
        end()

    history.fleet.tasks.spawn(None, end_later)


def freeze_host(history):
    fleet, name = history.fleet, draw_host(history)
    max_seconds = history.rng.choice((1.0, 3.0, 20.0))
    run_temporary_fault(
        history,
        lambda: fleet.loop.frozen.add(name),
        lambda: thaw(fleet, name),
        max_seconds,
    )


def partition_network(history):
    """Block messages from one group of hosts to the others, at times both ways."""
    fleet, rng = history.fleet, history.rng
    names = sorted(fleet.host_by_incarnation)
    group = set(rng.sample(names, rng.randint(1, HOSTS // 2)))
    is_two_way = rng.random() < 0.5

    def is_blocked(sender, receiver):
        if sender in group and receiver not in group:
            return True
        return is_two_way and receiver in group and sender not in group

    def begin():
        fleet.is_partitioned = is_blocked
        set_majority(history, group, False)

    def end():
        fleet.is_partitioned = lambda sender, receiver: False
        set_majority(history, names, True)

    run_temporary_fault(history, begin, end, 6.0)


def set_majority(history, names, has_majority):
    for name in names:
        host = history.fleet.host_by_incarnation.get(name)
        if host is not None:
            host.view.has_majority = has_majority


def hide_host(history):
    """Make some hosts regard a running host as absent, which can change owners."""
    fleet, rng, name = history.fleet, history.rng, draw_host(history)
    affected_hosts = rng.sample(
        sorted(fleet.host_by_incarnation), rng.randint(1, HOSTS)
    )
    run_temporary_fault(
        history,
        lambda: set_absent(fleet, name, True, affected_hosts),
        lambda: set_absent(fleet, name, name in fleet.loop.dead, affected_hosts),
        5.0,
    )


def change_rate(history):
    account_states = history.states_by_account[history.rng.choice(ACCOUNTS).id]
    account = account_states[-1][1]
    rate = history.rng.choice((2.0, 5.0, 20.0, 60.0))
    burst = history.rng.choice((10.0, 30.0, 80.0))
    account = account._replace(rate=rate, burst=burst)
    account_states.append((history.fleet.loop.now, account))
    apply_ticket(history.fleet, account, TICKET_SECONDS)


def crash_host(history):
    if len(history.fleet.loop.dead) < HOSTS // 4:
        crash(history.fleet, draw_host(history), history.rng.uniform(0.5, 4.0))


def stop_host(history):
    if len(history.fleet.loop.dead) < HOSTS // 4:
        leaver, successor = draw_host(history), draw_host(history)
        hand_over(history.fleet, leaver, successor)


def degrade_store(history):
    store_faults = [host.faults for host in history.fleet.host_by_incarnation.values()]
    if history.rng.random() < 0.5:
        store_faults = history.rng.sample(store_faults, HOSTS // 3)

    def set_down(is_down):
        for faults in store_faults:
            faults.down = is_down

    run_temporary_fault(history, lambda: set_down(True), lambda: set_down(False), 15.0)


FAULTS = (
    freeze_host,
    partition_network,
    hide_host,
    change_rate,
    crash_host,
    stop_host,
    degrade_store,
)


def run_faults(history):
    """Inject random faults until the run ends."""
    while True:
        history.fleet.tasks.sleep(history.rng.expovariate(FAULTS_PER_SECOND))
        history.rng.choice(FAULTS)(history)


def run_callers(history, account, end):
    """Send several times the account's rate to three hosts, replaced regularly."""
    fleet, rng = history.fleet, history.rng
    while fleet.loop.now < end:
        hosts = rng.sample(history.running(), 3)
        switch_at = fleet.loop.now + rng.uniform(2, 8)
        while fleet.loop.now < min(switch_at, end):
            rate = OFFERED_LOAD_FACTOR * history.states_by_account[account][-1][1].rate
            fleet.tasks.sleep(rng.expovariate(rate))
            name = rng.choice(hosts)
            if name not in fleet.loop.dead and name not in fleet.loop.frozen:
                start_request(fleet, name, account)


def worst_excess(rows):
    """Return the largest excess; rounding errors count as 0."""
    worst = max(row[0] for row in rows)
    return worst if worst > ROUNDING_ERROR else 0.0


def rotate_owners(history):
    """Repeatedly make a random half of the hosts regard the quota owners as absent."""
    fleet = history.fleet
    names = sorted(fleet.host_by_incarnation)
    memberships = fleet.host_by_incarnation[names[0]].kernel.find("memberships")
    quota_owners = {
        item.id: memberships.ranked(f"limits/{item.id}") for item in ACCOUNTS
    }
    while True:
        affected_hosts = history.rng.sample(names, HOSTS // 2)
        for ranked in quota_owners.values():
            set_absent(fleet, ranked[0].incarnation, True, affected_hosts)
        fleet.tasks.sleep(history.rng.uniform(0.3, 1.5))
        for ranked in quota_owners.values():
            set_absent(fleet, ranked[0].incarnation, False)


def run_owner_changes(seed, durations):
    """Run a history with owner changes alone; return the figures of ``measure``."""
    history = History(seed, durations)
    fleet = history.fleet
    fleet.tasks.run(fleet.loop.now + WARM_UP_SECONDS)
    end = fleet.loop.now + OWNER_CHANGE_SECONDS
    fleet.tasks.spawn(None, rotate_owners, history)
    for account in ACCOUNTS:
        fleet.tasks.spawn(None, run_callers, history, account.id, end)
    fleet.tasks.run(end)
    return measure(history)


def run(seed, durations):
    """Run a history with all faults; return the figures of ``measure``."""
    history = History(seed, durations)
    fleet, started_at = history.fleet, history.fleet.loop.now
    fleet.tasks.run(started_at + WARM_UP_SECONDS)
    fleet.late_share, fleet.loop.loss_share = 0.02, 0.02
    for host in fleet.host_by_incarnation.values():
        host.faults.lose_share = 0.1
    end = fleet.loop.now + RUN_SECONDS
    fleet.tasks.spawn(None, run_faults, history)
    for account in ACCOUNTS:
        fleet.tasks.spawn(None, run_callers, history, account.id, end)
    fleet.tasks.run(end)
    return measure(history)


def measure(history):
    """Return the largest excess, the number of grants and that of rate changes."""
    worst_excess_found, rate_changes = 0.0, 0
    for account, account_states in history.states_by_account.items():
        grants = sorted(row[0] for row in history.fleet.granted if row[1] == account)
        segments = envelope(account_states, TICKET_SECONDS)
        worst_excess_found = max(worst_excess_found, excess(grants, segments))
        rate_changes += len(account_states) - 1
    return worst_excess_found, len(history.fleet.granted), rate_changes


def main():
    """Run the histories with faults, then owner changes with and without waiting."""
    started_at = time.monotonic()
    fault_runs = [run(seed, DURATIONS) for seed in SEEDS]
    owner_change_runs = [
        run_owner_changes(seed, DURATIONS) for seed in OWNER_CHANGE_SEEDS
    ]
    no_wait_runs = [
        run_owner_changes(seed, NO_WAIT_DURATIONS) for seed in OWNER_CHANGE_SEEDS
    ]
    seed = SEEDS[0]
    baseline = round(worst_excess(no_wait_runs), 2)
    name = "over_grant_owner_changes"
    finish(
        [
            Result("over_grant", worst_excess(fault_runs), "tokens", 0.0, seed),
            Result(
                name, worst_excess(owner_change_runs), "tokens", 0.0, seed, baseline
            ),
            Result(f"{name}_unsafe", baseline, "tokens", 1.0, seed, at_least=True),
            Result("over_grant_histories", len(fault_runs), "count", None, seed),
            Result("over_grant_grants", sum(row[1] for row in fault_runs), "count"),
            Result(
                "over_grant_rate_changes", sum(row[2] for row in fault_runs), "count"
            ),
            Result("over_grant_seconds", round(time.monotonic() - started_at, 1), "s"),
        ]
    )


if __name__ == "__main__":
    main()

"""Time from acceptance of a ticket until it is in force on every host.

30% of all messages are lost, messages from one zone to another are blocked, as are
those between 5% of the host pairs in one direction, and two of the hosts that watch the
store crash just before. In the baseline, gossip carries no tickets and only the
watchers query the store. A run waits at most ``TIMEOUT_SECONDS`` for a ticket.
"""

import itertools
import random
import sys

from returns.result import Success

from bench.results import Result, report
from trefoilpin import codecs
from trefoilpin.fakes import fleets, loops
from trefoilpin.records import ChangeTicket, ClientAccount, ObjectChange

SEEDS = (1, 2, 3, 4, 5)
LOSS_SHARE = 0.3
CUT_SHARE = 0.05
TICKETS_BY_HOST_COUNT = {44: 3, 460: 1}
MAX_ATTEMPTS = 60
WARM_UP_SECONDS = 8.0
STEP_SECONDS = 0.1
TIMEOUT_SECONDS = 30.0
BOUND_SECONDS_BY_HOST_COUNT = {44: 4.0, 460: 16.0}


def create_ticket(number):
    """Return a ticket that sets the rate of an account to the ticket's number."""
    account = ClientAccount("hielo", float(number), 1.0)
    changes = (ObjectChange("account", account.id, account),)
    return ChangeTicket(number, codecs.digest_changes(changes), changes)


def rate_in_force(host):
    """Return the account's rate in force on a host; 0 without the account."""
    account = host.kernel.find("configurations").accounts_by_id.get("hielo")
    return account.rate if account else 0.0


def add_faults(state, host_by_name, rng):
    """Lose messages, block some directions and crash two store watchers."""
    state.loss_share = LOSS_SHARE
    hosts = list(host_by_name.values())
    zone_by_address = {}
    for host in hosts:
        own = host.kernel.find("memberships").own()
        zone_by_address[host.address] = own.zone
    for sender, receiver in itertools.permutations(zone_by_address, 2):
        zone_pair = (zone_by_address[sender], zone_by_address[receiver])
        if zone_pair == ("a", "b") or rng.random() < CUT_SHARE:
            state.cut_pairs.add((sender, receiver))
    watchers = [host for host in hosts if watches_store(host)]
    for host in rng.sample(watchers, 2):
        state.dead.add(host.address)
        del host_by_name[host.kernel.find("memberships").own().name]


def watches_store(host):
    """Return whether a host watches the store for its zone."""
    return host.kernel.find("memberships").is_store_watcher()


def submit(state, host_by_name, number, rng):
    """Submit a ticket through random hosts until one accepts it."""
    for _ in range(MAX_ATTEMPTS):
        host = rng.choice(list(host_by_name.values()))
        tickets = host.kernel.find("tickets")
        if isinstance(tickets.submit(create_ticket(number)), Success):
            return
        fleets.advance(state, host_by_name, STEP_SECONDS)


def disable_gossip(state, host_by_name):
    """Remove tickets from gossip, and stop store queries except those of watchers."""
    for handler_by_method in state.handler_by_method_by_address.values():
        handler_by_method.pop("snapshots.tail")
        handler_by_method.pop("snapshots.part")
    for host in host_by_name.values():
        if not watches_store(host):
            host.watch_at = float("inf")


def run(host_count, seed, without_gossip=False):
    """Return the longest time until a ticket is in force everywhere, and the reverts.

    A revert is a host's step back to an older ticket.
    """
    state, rng = loops.LoopState(seed), random.Random(seed)
    host_by_name = fleets.create_hosts(loops.create_network(state), host_count)
    fleets.advance(state, host_by_name, WARM_UP_SECONDS)
    if without_gossip:
        disable_gossip(state, host_by_name)
    add_faults(state, host_by_name, rng)
    longest_seconds, reverts, last_rate_by_name = 0.0, 0, {}
    for number in range(1, TICKETS_BY_HOST_COUNT[host_count] + 1):
        submit(state, host_by_name, number, rng)
        accepted_at = state.now
        while min(map(rate_in_force, host_by_name.values())) < number:
            if state.now - accepted_at > TIMEOUT_SECONDS:
                break
            fleets.advance(state, host_by_name, STEP_SECONDS)
            for name, host in host_by_name.items():
                reverts += rate_in_force(host) < last_rate_by_name.get(name, 0.0)
                last_rate_by_name[name] = rate_in_force(host)
        longest_seconds = max(longest_seconds, state.now - accepted_at)
    return longest_seconds, reverts


def main():
    """Print the figures of both fleet sizes."""
    within_bounds, reverts = True, 0
    baseline_seconds = run(44, SEEDS[0], without_gossip=True)[0]
    for host_count, bound in BOUND_SECONDS_BY_HOST_COUNT.items():
        for seed in SEEDS if host_count < 100 else SEEDS[:1]:
            longest_seconds, run_reverts = run(host_count, seed)
            reverts += run_reverts
            name = f"config_in_force_{host_count}_hosts"
            result = Result(
                name,
                round(longest_seconds, 2),
                "s",
                bound,
                seed,
                round(baseline_seconds, 2),
            )
            within_bounds = report(result) and within_bounds
    within_bounds = (
        report(Result("config_reverts", reverts, "reverts", 0)) and within_bounds
    )
    sys.exit(0 if within_bounds else 1)


if __name__ == "__main__":
    main()

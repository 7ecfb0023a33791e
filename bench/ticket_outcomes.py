"""What operators are told of their tickets, against what took effect.

Operators race through different hosts, one even between the check and the creation
of another; the store loses answers after the change took effect, refuses calls and
goes down. Each operator repeats a ticket of unknown outcome. The configuration of
every host is compared with a single dictionary that takes the stored tickets in
order. The baseline takes every failed call of the store for a refusal.
"""

import random
import sys

from returns.result import Failure, Success

from bench.results import Result, report
from trefoilpin import codecs
from trefoilpin.fakes import fleets, loops
from trefoilpin.records import ChangeTicket, ClientAccount, ObjectChange
from trefoilpin.services import StoreOutcome
from trefoilpin.tickets import TicketOutcome

HISTORIES = 60
HOSTS = 5
SUBMISSIONS = 25
LOSE_SHARE = 0.3
REFUSE_SHARE = 0.1
OUTAGE_SHARE = 0.1
RACE_SHARE = 0.3
MAX_TRIES = 8
SETTLE_SECONDS = 15.0
ACCOUNTS = ("hielo", "cupula", "xela")


class History:
    """One drawn course of events and what operators were told."""

    def __init__(self, seed, guess):
        self.rng = random.Random(seed)
        self.state = loops.LoopState(seed)
        self.store, self.faults, self.objects = loops.create_store(self.state)
        self.guess = guess
        self.is_racing = False
        self.serial = 0
        self.number_by_digest_by_outcome = {"accepted": {}, "refused": {}}
        network = loops.create_network(self.state)
        racing = self.store._replace(create=lambda path, value: race(self, path, value))
        self.host_by_name = fleets.create_hosts(network, HOSTS, racing)


def race(history, path, value):
    """Create an object, perhaps after another operator's whole submission."""
    is_ticket = path.startswith("tickets/")
    if is_ticket and not history.is_racing and history.rng.random() < RACE_SHARE:
        history.is_racing = True
        submit(history)
        history.is_racing = False
    created = history.store.create(path, value)
    if history.guess and isinstance(created, Failure):
        failure = created.failure()._replace(outcome=StoreOutcome.REFUSED)
        return Failure(failure)
    return created


def create_ticket(history, number):
    """Return a ticket that no other equals."""
    history.serial += 1
    name = history.rng.choice(ACCOUNTS)
    account = ClientAccount(name, float(history.serial), 1.0)
    change = ObjectChange("account", name, account)
    if history.rng.random() < 0.2:
        change = ObjectChange("account", f"gone-{history.serial}", None)
    return ChangeTicket(number, codecs.digest_changes((change,)), (change,))


def submit(history):
    """Submit one ticket as an operator does; keep the last answer."""
    tickets = draw_host(history).kernel.find("tickets")
    number = tickets.next_number().value_or(None)
    if number is None:
        return
    ticket = create_ticket(history, number)
    was_unknown = False
    for _ in range(MAX_TRIES):
        result = draw_host(history).kernel.find("tickets").submit(ticket)
        if isinstance(result, Success):
            history.number_by_digest_by_outcome["accepted"][ticket.digest] = number
            return
        failure = result.failure()
        is_taken = (failure.next_number or 0) > number
        if is_taken or not (was_unknown or failure.outcome is TicketOutcome.UNKNOWN):
            history.number_by_digest_by_outcome["refused"][ticket.digest] = number
            return
        was_unknown = True


def draw_host(history):
    """Return a host at random."""
    return history.rng.choice(list(history.host_by_name.values()))


def run(seed, guess=False):
    """Return the counts of wrong answers and of hosts that differ."""
    history = History(seed, guess)
    advance = fleets.advance
    advance(history.state, history.host_by_name, SETTLE_SECONDS)
    history.faults.lose_share = LOSE_SHARE
    history.faults.refuse_share = REFUSE_SHARE
    for _ in range(SUBMISSIONS):
        history.faults.down = history.rng.random() < OUTAGE_SHARE
        submit(history)
        advance(history.state, history.host_by_name, 0.3)
    history.faults.down = False
    history.faults.lose_share = history.faults.refuse_share = 0.0
    advance(history.state, history.host_by_name, SETTLE_SECONDS)
    return count_faults(history)


def count_faults(history):
    """Compare the answers and the hosts with the stored tickets."""
    rows = history.objects.state.row_by_path
    stored = [rows[path]["value"] for path in sorted(rows) if "tickets/" in path]
    digests = [row["digest"] for row in stored]
    answers = history.number_by_digest_by_outcome
    lost = sum(digest not in digests for digest in answers["accepted"])
    took_effect = sum(digest in digests for digest in answers["refused"])
    doubled = len(digests) - len(set(digests))
    naive = {}
    for row in stored:
        for change in row["changes"]:
            naive[change["id"]] = change["state"]
    expected = {name: state for name, state in naive.items() if state is not None}
    differing = 0
    for host in history.host_by_name.values():
        service = host.kernel.find("configurations")
        accounts = service.accounts_by_id.items()
        found = {name: codecs.encode_record(account) for name, account in accounts}
        differing += found != expected or service.head() != len(stored)
    return lost, doubled, took_effect, differing, len(answers["accepted"])


def main():
    """Print the figures."""
    totals = [sum(column) for column in zip(*map(run, range(HISTORIES)))]
    guesses = [run(seed, guess=True) for seed in range(HISTORIES)]
    unproved = [sum(column) for column in zip(*guesses)]
    names = ("lost", "doubled", "refused_in_effect", "hosts_differing")
    kept = report(Result("tickets_accepted", totals[4], "tickets", None, 0))
    for position, name in enumerate(names):
        value, baseline = totals[position], unproved[position]
        figure = Result(f"tickets_{name}", value, "cases", 0, 0, baseline)
        kept = report(figure) and kept
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()

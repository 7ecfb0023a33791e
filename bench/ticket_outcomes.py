"""Outcomes reported for tickets, compared with what took effect.

Operators submit concurrently through different hosts, some between the check and the
creation of another ticket. The store loses answers to changes that took effect, refuses
calls and fails. An operator submits a ticket of unknown outcome again. The
configuration of every host is compared with a dictionary to which the stored tickets
are applied in order. In the baseline, every failed store call counts as a refusal.
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
SUBMISSION_COUNT = 25
LOST_ANSWER_SHARE = 0.3
REFUSE_SHARE = 0.1
OUTAGE_SHARE = 0.1
RACE_SHARE = 0.3
MAX_ATTEMPTS = 8
SETTLE_SECONDS = 15.0
ACCOUNTS = ("hielo", "cupula", "xela")


class History:
    """Hosts and store of one random history, and the outcomes reported to operators."""

    def __init__(self, seed, assumes_refusal):
        self.rng = random.Random(seed)
        self.state = loops.LoopState(seed)
        self.store, self.faults, self.objects = loops.create_store(self.state)
        self.assumes_refusal = assumes_refusal
        self.is_racing = False
        self.serial = 0
        self.number_by_digest_by_outcome = {"accepted": {}, "refused": {}}
        network = loops.create_network(self.state)
        racing_store = self.store._replace(
            create=lambda path, value: create_after_race(self, path, value)
        )
        self.host_by_name = fleets.create_hosts(network, HOSTS, racing_store)


def create_after_race(history, path, value):
    """Create an object; for a ticket, at times after a whole submission by another."""
    is_ticket = path.startswith("tickets/")
    if is_ticket and not history.is_racing and history.rng.random() < RACE_SHARE:
        history.is_racing = True
        submit(history)
        history.is_racing = False
    created = history.store.create(path, value)
    if history.assumes_refusal and isinstance(created, Failure):
        failure = created.failure()._replace(outcome=StoreOutcome.REFUSED)
        return Failure(failure)
    return created


def create_ticket(history, number):
    """Return a ticket whose changes are unique."""
    history.serial += 1
    name = history.rng.choice(ACCOUNTS)
    account = ClientAccount(name, float(history.serial), 1.0)
    change = ObjectChange("account", name, account)
    if history.rng.random() < 0.2:
        change = ObjectChange("account", f"gone-{history.serial}", None)
    return ChangeTicket(number, codecs.digest_changes((change,)), (change,))


def submit(history):
    """Submit a ticket until its outcome is known, and record the outcome."""
    tickets = draw_host(history).kernel.find("tickets")
    number = tickets.next_number().value_or(None)
    if number is None:
        return
    ticket = create_ticket(history, number)
    was_unknown = False
    for _ in range(MAX_ATTEMPTS):
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
    """Return a random host."""
    return history.rng.choice(list(history.host_by_name.values()))


def run(seed, assumes_refusal=False):
    """Run a history; return the figures of ``count_discrepancies``."""
    history = History(seed, assumes_refusal)
    advance = fleets.advance
    advance(history.state, history.host_by_name, SETTLE_SECONDS)
    history.faults.lose_share = LOST_ANSWER_SHARE
    history.faults.refuse_share = REFUSE_SHARE
    for _ in range(SUBMISSION_COUNT):
        history.faults.down = history.rng.random() < OUTAGE_SHARE
        submit(history)
        advance(history.state, history.host_by_name, 0.3)
    history.faults.down = False
    history.faults.lose_share = history.faults.refuse_share = 0.0
    advance(history.state, history.host_by_name, SETTLE_SECONDS)
    return count_discrepancies(history)


def count_discrepancies(history):
    """Compare the reported outcomes and the hosts with the stored tickets.

    Returns
    -------
    tuple of int
        Accepted tickets that are not stored, tickets stored twice, refused tickets that
        are stored, hosts with another configuration, and accepted tickets.
    """
    rows = history.objects.state.row_by_path
    stored_tickets = [
        rows[path]["value"] for path in sorted(rows) if "tickets/" in path
    ]
    digests = [row["digest"] for row in stored_tickets]
    answers = history.number_by_digest_by_outcome
    lost_count = sum(digest not in digests for digest in answers["accepted"])
    refused_in_effect = sum(digest in digests for digest in answers["refused"])
    doubled_count = len(digests) - len(set(digests))
    state_by_id = {}
    for row in stored_tickets:
        for change in row["changes"]:
            state_by_id[change["id"]] = change["state"]
    expected = {name: state for name, state in state_by_id.items() if state is not None}
    differing_hosts = 0
    for host in history.host_by_name.values():
        service = host.kernel.find("configurations")
        accounts = service.accounts_by_id.items()
        accounts_on_host = {
            name: codecs.encode_record(account) for name, account in accounts
        }
        differing_hosts += accounts_on_host != expected or service.head() != len(
            stored_tickets
        )
    return (
        lost_count,
        doubled_count,
        refused_in_effect,
        differing_hosts,
        len(answers["accepted"]),
    )


def main():
    """Print the figures."""
    totals = [sum(column) for column in zip(*map(run, range(HISTORIES)))]
    baseline_runs = [run(seed, assumes_refusal=True) for seed in range(HISTORIES)]
    baseline_totals = [sum(column) for column in zip(*baseline_runs)]
    names = ("lost", "doubled", "refused_in_effect", "hosts_differing")
    within_bounds = report(Result("tickets_accepted", totals[4], "tickets", None, 0))
    for position, name in enumerate(names):
        value, baseline = totals[position], baseline_totals[position]
        result = Result(f"tickets_{name}", value, "cases", 0, 0, baseline)
        within_bounds = report(result) and within_bounds
    sys.exit(0 if within_bounds else 1)


if __name__ == "__main__":
    main()

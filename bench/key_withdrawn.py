"""Requests run with a withdrawn key, under random partitions, freezes and outages.

Each history has one-way partitions, frozen hosts, hosts replaced without notice, and a
store that is unavailable to all or some hosts. Callers on persistent connections keep
sending the key after its withdrawal. In the baseline, hosts that are not current do not
refuse requests. While only the store is down, no request may be refused.
"""

import random
import sys

from returns.result import Failure, Success

from bench.results import Result, report
from trefoilpin import codecs, keys
from trefoilpin.fakes import fleets, loops
from trefoilpin.messages import CallerRequest
from trefoilpin.records import ChangeTicket, ClientAccount, Key, ObjectChange, Route

HISTORIES = 40
HOSTS = 9
BOUND_SECONDS = 5.0
STEP_SECONDS = 0.25
WITHDRAW_AFTER_SECONDS = 4.0
HISTORY_SECONDS = 40.0
OUTAGE_SECONDS = 120.0
ROUTE = Route("read", "", "/", (), "ledger")
SALT = "00ff"


class History:
    """Hosts, store and faults of one random history."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = loops.LoopState(seed)
        self.network = loops.create_network(self.state)
        self.objects = loops.create_objects(self.rng)
        self.faults_by_name = {}
        self.host_by_name = {}
        self.start_count = 0


def start_host(history, name):
    """Start a host; a running one of that name is killed and replaced."""
    history.start_count += 1
    store, faults, _ = loops.create_store(history.state, history.objects)
    replaced = history.host_by_name.get(name)
    seeds = [host.address for host in history.host_by_name.values()]
    if replaced is not None:
        history.state.dead.add(replaced.address)
        faults.down = history.faults_by_name[name].down
    history.faults_by_name[name] = faults
    incarnation = f"{name}-{history.start_count}"
    zone = "abc"[int(name[1:]) % 3]
    kernel = fleets.create_host(history.network, store, name, zone, incarnation, seeds)
    history.host_by_name[name] = fleets.LoopHost(kernel, f"peer-{incarnation}")
    kernel.find("memberships").renew_once()
    kernel.find("tickets").next_number()


def create_request():
    """Return a request that carries the key."""
    headers = (("x-api-key", "k1.secret"),)
    return CallerRequest("1", "GET", "", "/", "", headers, b"", "", 0.0, bool)


def create_ticket(number, key):
    """Return a ticket that adds an account with its key, or withdraws the key."""
    account = ClientAccount("hielo", 100.0, 100.0)
    changes = (ObjectChange("key", "k1", key),)
    if key is not None:
        changes += (ObjectChange("account", "hielo", account),)
    return ChangeTicket(number, codecs.digest_changes(changes), changes)


def start_history(seed, count):
    """Return a history with running hosts, on which the key is in force."""
    history = History(seed)
    for number in range(count):
        start_host(history, f"h{number}")
    fleets.advance(history.state, history.host_by_name, 10.0)
    key = Key("k1", "hielo", SALT, keys.digest_secret(SALT, "secret"))
    host = history.host_by_name["h0"]
    host.kernel.find("tickets").submit(create_ticket(1, key)).unwrap()
    fleets.advance(history.state, history.host_by_name, 6.0)
    return history


def draw_faults(history):
    """Apply a random fault, or end the partitions or freezes."""
    state, rng = history.state, history.rng
    names = sorted(history.host_by_name)
    addresses = [history.host_by_name[name].address for name in names]
    event = rng.choice(("cut", "split", "heal", "freeze", "thaw", "store", "restart"))
    if event == "cut":
        pairs = [(sender, receiver) for sender in addresses for receiver in addresses]
        state.cut_pairs |= set(rng.sample(pairs, len(pairs) // 4))
    if event == "split":
        group = set(rng.sample(addresses, rng.randrange(1, len(addresses))))
        others = set(addresses) - group
        state.cut_pairs |= {
            (sender, receiver) for sender in group for receiver in others
        }
        if rng.random() < 0.5:
            state.cut_pairs |= {
                (receiver, sender) for sender in group for receiver in others
            }
    if event == "heal":
        state.cut_pairs.clear()
    if event == "freeze":
        state.frozen.add(rng.choice(addresses))
    if event == "thaw":
        state.frozen.clear()
    if event == "store":
        chosen = set(rng.sample(names, rng.randrange(len(names) + 1)))
        for name in names:
            history.faults_by_name[name].down = name in chosen
    if event == "restart":
        start_host(history, rng.choice(names))


def would_run(host, always_current):
    """Return whether a host would run a request that carries the key."""
    check_result = host.kernel.find("keys").check(ROUTE, create_request())
    if isinstance(check_result, Success):
        return True
    is_known = "k1" in host.kernel.find("configurations").keys_by_id
    return always_current and is_known


def run(seed, always_current=False):
    """Return requests run late, requests run, and whether the ticket was accepted."""
    history = start_history(seed, HOSTS)
    state, rng = history.state, history.rng
    started_at, accepted_at, late_count, run_count = state.now, float("inf"), 0, 0
    state.loss_share = rng.choice((0.0, 0.1, 0.3))
    while state.now < started_at + HISTORY_SECONDS:
        if rng.random() < 0.1:
            draw_faults(history)
        fleets.advance(state, history.host_by_name, STEP_SECONDS)
        running = [
            host
            for host in history.host_by_name.values()
            if host.address not in state.frozen
        ]
        allowed_count = sum(would_run(host, always_current) for host in running)
        run_count += allowed_count
        late_count += allowed_count if state.now > accepted_at + BOUND_SECONDS else 0
        is_due = state.now > started_at + WITHDRAW_AFTER_SECONDS
        if is_due and running and accepted_at == float("inf"):
            tickets = rng.choice(running).kernel.find("tickets")
            if isinstance(tickets.submit(create_ticket(2, None)), Success):
                accepted_at = state.now
    return late_count, run_count, accepted_at < float("inf")


def run_outage(count, seconds):
    """Return the requests refused while only the store is down."""
    history = start_history(1, count)
    for faults in history.faults_by_name.values():
        faults.down = True
    refused_count, end = 0, history.state.now + seconds
    while history.state.now < end:
        fleets.advance(history.state, history.host_by_name, STEP_SECONDS)
        for host in history.host_by_name.values():
            check_result = host.kernel.find("keys").check(ROUTE, create_request())
            refused_count += isinstance(check_result, Failure)
    return refused_count


def main():
    """Print the figures."""
    late_count = baseline_count = accepted_count = 0
    for seed in range(HISTORIES):
        late_in_run, _, was_accepted = run(seed)
        late_count += late_in_run
        accepted_count += was_accepted
        baseline_count += run(seed, always_current=True)[0]
    figures = (
        Result("key_withdrawn_histories", accepted_count, "histories", None, 0),
        Result("key_withdrawn_run_late", late_count, "requests", 0, 0, baseline_count),
        Result("outage_refused", run_outage(44, OUTAGE_SECONDS), "requests", 0, 1),
    )
    within_bounds = [report(figure) for figure in figures]
    sys.exit(0 if all(within_bounds) else 1)


if __name__ == "__main__":
    main()

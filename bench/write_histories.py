"""Drawn histories of writes under faults, for ``at_most_once``.

Each history runs the real decisions of several hosts on one clock while hosts crash,
pause and stop by plan, messages and answers get lost, and callers send again elsewhere
while the first send still runs.
"""

from typing import NamedTuple

from trefoilpin.fakes import writers

__all__ = ["History", "Operation", "Sent", "run_history"]

HOSTS = 4
OPERATIONS = 6
MAX_SENDS = 4
FAULT_SECONDS = 14.0
HEAL_SECONDS = 150.0
DETECTION_SECONDS = 3.5
UPSTREAM_FAULTS = ("unreachable", "shed", "broken_before", "broken_after")


class Operation(NamedTuple):
    """A write that callers send one or more times; ``key`` may be None."""

    name: str
    account: str
    key: str | None
    issuer: str
    text: str


class Sent:
    """One send and what came of it."""

    def __init__(self, operation, host, request):
        self.operation = operation
        self.host = host
        self.request = request
        self.outcome = None
        self.task = None


class History:
    """Everything that one drawn history did."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.operations: list[Operation] = []
        self.sends: list[Sent] = []
        self.crashed: set[str] = set()
        self.stopped: set[str] = set()
        self.lost_tables: set[str] = set()
        self.successor_by_host: dict[str, str] = {}


def draw_operations(history):
    """Draw writes with issued keys, opaque keys and none."""
    rng = history.fleet.state.rng
    hosts = list(history.fleet.host_by_incarnation)
    for number in range(OPERATIONS):
        kind = rng.choice(("issued", "issued", "issued", "opaque", "none"))
        issuer = rng.choice(hosts) if kind == "issued" else ""
        key = f"{issuer}.{number // 2}" if issuer else f"order-{number}"
        account = ("hielo", "cupula")[number % 2]
        if kind == "none":
            key = None
        name = f"{account} {key}"
        operation = Operation(name, account, key, issuer, f"order {number}")
        history.operations.append(operation)


def send(history, operation, incarnation, text):
    """Send a write through one host and note the outcome."""
    fleet = history.fleet
    host = fleet.host_by_incarnation[incarnation]
    request = writers.request(
        f"r{len(history.sends)}",
        operation.account,
        operation.key,
        text,
        fleet.state.now,
    )
    sent = Sent(operation, incarnation, request)
    history.sends.append(sent)

    def handle():
        host.active.append(sent)
        try:
            sent.outcome = host.kernel.find("proxies").handle(request)
        finally:
            host.active.remove(sent)

    sent.task = fleet.tasks.spawn(incarnation, 0.0, handle)
    return sent


def draw_sends(history):
    """Draw when and through which host each write is sent, and which are cancelled."""
    tasks, rng = history.fleet.tasks, history.fleet.state.rng
    hosts = list(history.fleet.host_by_incarnation)

    def send_now(operation, incarnation, text, patience):
        if incarnation in history.crashed or incarnation in history.stopped:
            return
        sent = send(history, operation, incarnation, text)
        if patience is not None:
            tasks.spawn(None, patience, tasks.cancel, sent.task)

    for operation in history.operations:
        for _ in range(rng.randint(1, MAX_SENDS)):
            at = rng.uniform(0, FAULT_SECONDS)
            home = operation.issuer if rng.random() < 0.4 else ""
            text = operation.text if rng.random() < 0.95 else "another text"
            patience = rng.uniform(0, 3.0) if rng.random() < 0.1 else None
            incarnation = home or rng.choice(hosts)
            tasks.spawn(None, at, send_now, operation, incarnation, text, patience)


def views(history, incarnation):
    """Return the other hosts' views of the fleet."""
    hosts = history.fleet.host_by_incarnation
    return [host.view for name, host in hosts.items() if name != incarnation]


def note(view):
    """Tell a host that its view changed."""
    for function in view.subscribers:
        function()


def spread(history, incarnation, change):
    """Change the other hosts' views, each after a drawn time."""
    tasks, rng = history.fleet.tasks, history.fleet.state.rng
    for view in views(history, incarnation):

        def apply(view=view):
            change(view)
            note(view)

        tasks.spawn(None, rng.uniform(0.0, 2.0), apply)


def crash(history, incarnation):
    """Crash a host; the others notice later."""
    fleet = history.fleet
    if incarnation in history.stopped or len(history.crashed) > 1:
        return
    history.crashed.add(incarnation)
    fleet.state.dead.add(incarnation)
    fleet.tasks.clock.sleep(DETECTION_SECONDS)
    spread(history, incarnation, lambda view: view.absent.add(incarnation))


def freeze(history, incarnation, seconds):
    """Pause a host; the others notice when it takes long."""
    fleet = history.fleet
    fleet.state.frozen.add(incarnation)
    if seconds > DETECTION_SECONDS:
        fleet.tasks.clock.sleep(DETECTION_SECONDS)
        spread(history, incarnation, lambda view: view.absent.add(incarnation))
        seconds -= DETECTION_SECONDS
    fleet.tasks.clock.sleep(seconds)
    fleet.state.frozen.discard(incarnation)
    if incarnation not in history.crashed:
        fleet.tasks.clock.sleep(2.0)
        spread(history, incarnation, lambda view: view.absent.discard(incarnation))


def cut(history, sender, receiver, seconds):
    """Lose everything that one host sends to another."""
    state = history.fleet.state
    state.cut_pairs.add((sender, receiver))
    history.fleet.tasks.clock.sleep(seconds)
    state.cut_pairs.discard((sender, receiver))


def lose(history, share, seconds):
    """Lose a share of all messages."""
    history.fleet.state.loss_share = share
    history.fleet.tasks.clock.sleep(seconds)
    history.fleet.state.loss_share = 0.0


def break_store(history, down, seconds):
    """Have the store down, or its answers lost."""
    faults = history.fleet.store_faults
    faults.down, faults.lose_share = down, 0.0 if down else 0.4
    history.fleet.tasks.clock.sleep(seconds)
    faults.down, faults.lose_share = False, 0.0


def stop(history, incarnation, successor, with_hand_over):
    """Stop a host by plan, as a task of its own."""
    fleet = history.fleet
    host = fleet.host_by_incarnation[incarnation]
    clock = fleet.tasks.clock

    def depart(view):
        view.host_by_incarnation.pop(incarnation, None)
        view.successor_by_incarnation[incarnation] = successor

    history.stopped.add(incarnation)
    history.successor_by_host[incarnation] = successor
    spread(history, incarnation, depart)
    clock.sleep(2.0)
    while host.active:
        clock.sleep(0.1)
    to = fleet.host_by_incarnation[successor]
    if with_hand_over and not host.kernel.find("operations").hand_over(to.host):
        history.crashed.add(incarnation)
    held = to.kernel.find("issuers").state.ever_held_issuers
    if with_hand_over and incarnation not in held:
        history.lost_tables.add(incarnation)
    fleet.state.dead.add(incarnation)
    clock.sleep(0.0)


def draw_faults(history, with_hand_over):
    """Draw faults of hosts, network, store and upstreams."""
    fleet = history.fleet
    tasks, rng = fleet.tasks, fleet.state.rng
    hosts = list(fleet.host_by_incarnation)
    faults = ["none"] * 4 + rng.sample(UPSTREAM_FAULTS, rng.randint(0, 3))
    fleet.upstream_state.faults = tuple(faults)
    for _ in range(rng.randint(1, 4)):
        at = rng.uniform(0, FAULT_SECONDS)
        host, other = rng.sample(hosts, 2)
        seconds = rng.uniform(0.5, 8.0)
        draws = (
            (crash, host),
            (freeze, host, seconds),
            (cut, host, other, seconds),
            (lose, rng.uniform(0.1, 0.6), seconds),
            (break_store, rng.random() < 0.5, seconds),
        )
        function, *arguments = rng.choice(draws)
        tasks.spawn(None, at, function, history, *arguments)
    leaving = rng.sample(hosts, 3)
    for position in range(rng.randint(0, 2)):
        host, successor = leaving[position], leaving[position + 1]
        at = rng.uniform(0, FAULT_SECONDS / 2) + position * FAULT_SECONDS / 2
        arguments = (history, host, successor, with_hand_over)
        tasks.spawn(host, at, stop, *arguments)


def heal(history):
    """End every fault and let all views become true."""
    fleet = history.fleet
    fleet.state.frozen.clear()
    fleet.state.cut_pairs.clear()
    fleet.state.loss_share = 0.0
    fleet.store_faults.down, fleet.store_faults.lose_share = False, 0.0
    fleet.upstream_state.faults = ("none",)
    for host in fleet.host_by_incarnation.values():
        host.view.absent.clear()
        host.view.absent.update(history.crashed)
        note(host.view)


def run_history(seed, bounds=writers.Variant()):
    """Run one drawn history and send every write once more at its end.

    Parameters
    ----------
    seed : int
    bounds : Bounds

    Returns
    -------
    tuple of History and list of Sent
        The list holds the sends after the faults, one for each write with a key.
    """
    history = History(writers.create_fleet(seed, HOSTS, bounds))
    fleet = history.fleet
    draw_operations(history)
    draw_faults(history, bounds.hand_over)
    draw_sends(history)
    started = fleet.state.now
    fleet.tasks.run(started + FAULT_SECONDS + 10.0)
    heal(history)
    fleet.tasks.run(fleet.state.now + HEAL_SECONDS)
    heal(history)
    living = [
        name for name in fleet.host_by_incarnation if name not in fleet.state.dead
    ]
    last = []
    for operation in history.operations:
        if operation.key is None or not living:
            continue
        incarnation = fleet.state.rng.choice(living)
        last.append(send(history, operation, incarnation, operation.text))
    fleet.tasks.run(fleet.state.now + 20.0)
    return history, last

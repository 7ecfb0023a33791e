"""Random histories of writes under faults, for ``at_most_once``.

Each history runs the real decision logic of several hosts on one simulated clock while
hosts crash, freeze and stop gracefully, messages and answers are lost, and callers send
a write again through another host while the first send is still running.
"""

from typing import NamedTuple

from trefoilpin.fakes import writers

__all__ = ["History", "Operation", "SendRecord", "run_history"]

HOSTS = 4
OPERATIONS = 6
MAX_SENDS = 4
FAULT_SECONDS = 14.0
RECOVERY_SECONDS = 150.0
DETECTION_SECONDS = 3.5
UPSTREAM_FAULTS = ("unreachable", "shed", "broken_before", "broken_after")


class Operation(NamedTuple):
    """A write that is sent one or more times; ``key`` is None for one without a key."""

    name: str
    account: str
    key: str | None
    issuer: str
    text: str


class SendRecord:
    """One send with its task and, once it has ended, its outcome."""

    def __init__(self, operation, host, request):
        self.operation = operation
        self.host = host
        self.request = request
        self.outcome = None
        self.task = None


class History:
    """Fleet, writes, sends and host failures of one history.

    Attributes
    ----------
    crashed, stopped : set of str
        Incarnations whose key tables were lost with them, and those that were stopped
        gracefully.
    lost_tables : set of str
        Issuers whose key table did not reach the successor.
    successor_by_host : dict
        Incarnation that took over from each stopped one.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.operations: list[Operation] = []
        self.sends: list[SendRecord] = []
        self.crashed: set[str] = set()
        self.stopped: set[str] = set()
        self.lost_tables: set[str] = set()
        self.successor_by_host: dict[str, str] = {}


def draw_operations(history):
    """Create random writes with issued keys, opaque keys and no key."""
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
    """Send a write through one host in a task that records the outcome."""
    fleet = history.fleet
    host = fleet.host_by_incarnation[incarnation]
    request = writers.request(
        f"r{len(history.sends)}",
        operation.account,
        operation.key,
        text,
        fleet.state.now,
    )
    sent = SendRecord(operation, incarnation, request)
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
    """Schedule sends of each write at random times and hosts; cancel some of them."""
    tasks, rng = history.fleet.tasks, history.fleet.state.rng
    hosts = list(history.fleet.host_by_incarnation)

    def send_now(operation, incarnation, text, cancel_after_seconds):
        if incarnation in history.crashed or incarnation in history.stopped:
            return
        sent = send(history, operation, incarnation, text)
        if cancel_after_seconds is not None:
            tasks.spawn(None, cancel_after_seconds, tasks.cancel, sent.task)

    for operation in history.operations:
        for _ in range(rng.randint(1, MAX_SENDS)):
            delay = rng.uniform(0, FAULT_SECONDS)
            issuer_host = operation.issuer if rng.random() < 0.4 else ""
            text = operation.text if rng.random() < 0.95 else "another text"
            cancel_after_seconds = rng.uniform(0, 3.0) if rng.random() < 0.1 else None
            incarnation = issuer_host or rng.choice(hosts)
            tasks.spawn(
                None,
                delay,
                send_now,
                operation,
                incarnation,
                text,
                cancel_after_seconds,
            )


def other_views(history, incarnation):
    """Return the views of the fleet that all other hosts have."""
    hosts = history.fleet.host_by_incarnation
    return [host.view for name, host in hosts.items() if name != incarnation]


def notify_subscribers(view):
    """Call the subscribers of a view after a change."""
    for function in view.subscribers:
        function()


def change_other_views(history, incarnation, change):
    """Change the views of all other hosts, each after a random delay."""
    tasks, rng = history.fleet.tasks, history.fleet.state.rng
    for view in other_views(history, incarnation):

        def apply(view=view):
            change(view)
            notify_subscribers(view)

        tasks.spawn(None, rng.uniform(0.0, 2.0), apply)


def crash(history, incarnation):
    """Kill a host; the others detect it after ``DETECTION_SECONDS``.

    Does nothing for a host that stops gracefully, or when two were already lost.
    """
    fleet = history.fleet
    if incarnation in history.stopped or len(history.crashed) > 1:
        return
    history.crashed.add(incarnation)
    fleet.state.dead.add(incarnation)
    fleet.tasks.clock.sleep(DETECTION_SECONDS)
    change_other_views(history, incarnation, lambda view: view.absent.add(incarnation))


def freeze(history, incarnation, seconds):
    """Freeze a host; the others detect it after ``DETECTION_SECONDS``."""
    fleet = history.fleet
    fleet.state.frozen.add(incarnation)
    if seconds > DETECTION_SECONDS:
        fleet.tasks.clock.sleep(DETECTION_SECONDS)
        change_other_views(
            history, incarnation, lambda view: view.absent.add(incarnation)
        )
        seconds -= DETECTION_SECONDS
    fleet.tasks.clock.sleep(seconds)
    fleet.state.frozen.discard(incarnation)
    if incarnation not in history.crashed:
        fleet.tasks.clock.sleep(2.0)
        change_other_views(
            history, incarnation, lambda view: view.absent.discard(incarnation)
        )


def block_messages(history, sender, receiver, seconds):
    """Lose all messages from one host to another for a time."""
    state = history.fleet.state
    state.cut_pairs.add((sender, receiver))
    history.fleet.tasks.clock.sleep(seconds)
    state.cut_pairs.discard((sender, receiver))


def lose_messages(history, share, seconds):
    """Lose a share of all messages for a time."""
    history.fleet.state.loss_share = share
    history.fleet.tasks.clock.sleep(seconds)
    history.fleet.state.loss_share = 0.0


def degrade_store(history, is_down, seconds):
    """Take the store down, or lose a share of its answers, for a time."""
    faults = history.fleet.store_faults
    faults.down, faults.lose_share = is_down, 0.0 if is_down else 0.4
    history.fleet.tasks.clock.sleep(seconds)
    faults.down, faults.lose_share = False, 0.0


def stop_gracefully(history, incarnation, successor, with_hand_over):
    """Stop a host gracefully: drain it, then hand its key tables to the successor."""
    fleet = history.fleet
    host = fleet.host_by_incarnation[incarnation]
    clock = fleet.tasks.clock

    def remove_host(view):
        view.host_by_incarnation.pop(incarnation, None)
        view.successor_by_incarnation[incarnation] = successor

    history.stopped.add(incarnation)
    history.successor_by_host[incarnation] = successor
    change_other_views(history, incarnation, remove_host)
    clock.sleep(2.0)
    while host.active:
        clock.sleep(0.1)
    target = fleet.host_by_incarnation[successor]
    if with_hand_over and not host.kernel.find("operations").hand_over(target.host):
        history.crashed.add(incarnation)
    received_issuers = target.kernel.find("issuers").state.ever_held_issuers
    if with_hand_over and incarnation not in received_issuers:
        history.lost_tables.add(incarnation)
    fleet.state.dead.add(incarnation)
    clock.sleep(0.0)


def draw_faults(history, with_hand_over):
    """Schedule random faults of hosts, network, store and upstreams."""
    fleet = history.fleet
    tasks, rng = fleet.tasks, fleet.state.rng
    hosts = list(fleet.host_by_incarnation)
    faults = ["none"] * 4 + rng.sample(UPSTREAM_FAULTS, rng.randint(0, 3))
    fleet.upstream_state.faults = tuple(faults)
    for _ in range(rng.randint(1, 4)):
        delay = rng.uniform(0, FAULT_SECONDS)
        host, other = rng.sample(hosts, 2)
        seconds = rng.uniform(0.5, 8.0)
        draws = (
            (crash, host),
            (freeze, host, seconds),
            (block_messages, host, other, seconds),
            (lose_messages, rng.uniform(0.1, 0.6), seconds),
            (degrade_store, rng.random() < 0.5, seconds),
        )
        function, *arguments = rng.choice(draws)
        tasks.spawn(None, delay, function, history, *arguments)
    stopping_hosts = rng.sample(hosts, 3)
    for position in range(rng.randint(0, 2)):
        host, successor = stopping_hosts[position], stopping_hosts[position + 1]
        delay = rng.uniform(0, FAULT_SECONDS / 2) + position * FAULT_SECONDS / 2
        arguments = (history, host, successor, with_hand_over)
        tasks.spawn(host, delay, stop_gracefully, *arguments)


def end_faults(history):
    """End every fault and correct the views of all hosts."""
    fleet = history.fleet
    fleet.state.frozen.clear()
    fleet.state.cut_pairs.clear()
    fleet.state.loss_share = 0.0
    fleet.store_faults.down, fleet.store_faults.lose_share = False, 0.0
    fleet.upstream_state.faults = ("none",)
    for host in fleet.host_by_incarnation.values():
        host.view.absent.clear()
        host.view.absent.update(history.crashed)
        notify_subscribers(host.view)


def run_history(seed, bounds=writers.Variant()):
    """Run one random history, then send every write with a key once more.

    Parameters
    ----------
    seed : int
    bounds : Bounds

    Returns
    -------
    tuple of History and list of SendRecord
        The list holds the final sends, one for each write with a key.
    """
    history = History(writers.create_fleet(seed, HOSTS, bounds))
    fleet = history.fleet
    draw_operations(history)
    draw_faults(history, bounds.hand_over)
    draw_sends(history)
    started_at = fleet.state.now
    fleet.tasks.run(started_at + FAULT_SECONDS + 10.0)
    end_faults(history)
    fleet.tasks.run(fleet.state.now + RECOVERY_SECONDS)
    end_faults(history)
    running_hosts = [
        name for name in fleet.host_by_incarnation if name not in fleet.state.dead
    ]
    final_sends = []
    for operation in history.operations:
        if operation.key is None or not running_hosts:
            continue
        incarnation = fleet.state.rng.choice(running_hosts)
        final_sends.append(send(history, operation, incarnation, operation.text))
    fleet.tasks.run(fleet.state.now + 20.0)
    return history, final_sends

"""Tasks of several hosts in one process, on a movable clock, in a drawn order.

A task runs until it sleeps or calls; a frozen host's tasks wait, a dead host's never
run again. Messages take a drawn time, get lost, or arrive after the caller gave up.
"""

from typing import Any, Callable, NamedTuple

import greenlet
from returns.result import Failure, Success

from trefoilpin.kernel import Clock
from trefoilpin.services import PeerFailure, Peers, Store, StoreFailure, StoreOutcome

__all__ = ["Task", "TaskLoop", "Tasks", "connect", "create_tasks", "slow_store"]

MAX_LATENCY_SECONDS = 0.01
LATE_SHARE = 0.03
MAX_LATE_SECONDS = 3.0
UNKNOWN = Failure(StoreFailure(StoreOutcome.UNKNOWN, "timeout"))


class Task:
    """One task; ``had_message_fault`` once a message of its own was lost or late."""

    def __init__(self, host, wake_at):
        self.host = host
        self.wake_at = wake_at
        self.greenlet = None
        self.had_message_fault = False


class TaskLoop:
    """Tasks that wait, and the one that runs."""

    def __init__(self, loop_state):
        self.state = loop_state
        self.tasks: list[Task] = []
        self.retired: list[Task] = []
        self.current = None
        self.hub = greenlet.getcurrent()


class Box:
    """Place for the reply to one call."""

    def __init__(self, task):
        self.task = task
        self.reply = None
        self.is_open = True


class Tasks(NamedTuple):
    """``spawn(host, delay, function, *arguments)`` gives the ``Task``.

    ``run(until)`` runs what is due up to an instant. ``cancel(task)`` ends a task by
    an exception, as a daemon ends the task of a caller that left.
    """

    loop: TaskLoop
    clock: Clock
    spawn: Callable[..., Task]
    run: Callable[[float], None]
    cancel: Callable[[Task], None]


def create_tasks(loop_state):
    """Create a loop of tasks over the time and faults of a ``LoopState``."""
    loop = TaskLoop(loop_state)

    def sleep(seconds):
        if loop.current is None:
            return
        loop.current.wake_at = loop_state.now + seconds
        loop.hub.switch()

    def spawn(host, delay, function, *arguments):
        task = Task(host, loop_state.now + delay)
        task.greenlet = greenlet.greenlet(lambda: function(*arguments), loop.hub)
        loop.tasks.append(task)
        return task

    def may_run(task):
        return task.host not in loop_state.frozen and task.host not in loop_state.dead

    def next_task(until):
        due = [task for task in loop.tasks if task.wake_at <= until and may_run(task)]
        if not due:
            return None
        return min(due, key=lambda task: max(task.wake_at, loop_state.now))

    def resume(task, *error):
        loop.current = task
        try:
            if error:
                task.greenlet.throw(*error)
            else:
                task.greenlet.switch()
        finally:
            loop.current = None
        if task.greenlet.dead:
            loop.tasks.remove(task)

    def run(until):
        while (task := next_task(until)) is not None:
            loop_state.now = max(loop_state.now, task.wake_at)
            resume(task)
        loop_state.now = until

    def cancel(task):
        if task in loop.tasks and may_run(task):
            resume(task, greenlet.GreenletExit)

    clock = Clock(lambda: loop_state.now, lambda: loop_state.now, sleep)
    return Tasks(loop, clock, spawn, run, cancel)


def latency(rng):
    """Return the drawn time that one message takes."""
    if rng.random() < LATE_SHARE:
        return rng.uniform(0.2, MAX_LATE_SECONDS)
    return rng.uniform(0.0, MAX_LATENCY_SECONDS)


def connect(tasks, address):
    """Return the ``Peers`` of the host with an address that is its incarnation too."""
    loop, state = tasks.loop, tasks.loop.state
    own_handlers = state.handler_by_method_by_address.setdefault(address, {})

    def passes(sender, receiver):
        if (sender, receiver) in state.cut_pairs:
            return False
        return state.rng.random() >= state.loss_share

    def deliver(receiver, method, message, box):
        reply = state.handler_by_method_by_address[receiver][method](address, message)
        if passes(receiver, address):
            tasks.spawn(address, latency(state.rng), arrive, box, reply)

    def arrive(box, reply):
        if box.is_open:
            box.reply = reply
            box.task.wake_at = state.now

    def call(receiver, method, message, timeout):
        task = loop.current
        if receiver in state.dead:
            task.had_message_fault = True
            tasks.clock.sleep(state.rng.uniform(0.0, MAX_LATENCY_SECONDS))
            return Failure(PeerFailure(False, "no connection"))
        box = Box(task)
        if passes(address, receiver):
            delay = latency(state.rng)
            tasks.spawn(receiver, delay, deliver, receiver, method, message, box)
        tasks.clock.sleep(timeout)
        box.is_open = False
        if box.reply is not None:
            return Success(box.reply)
        task.had_message_fault = True
        return Failure(PeerFailure(True, "timeout"))

    return Peers(call, own_handlers.__setitem__)


def slow_store(tasks, store, late_share):
    """Return a store whose calls take time and whose changes may take effect late."""
    rng = tasks.loop.state.rng

    def slow(function, changes) -> Any:
        def call(*arguments):
            tasks.clock.sleep(latency(rng))
            if changes and rng.random() < late_share:
                tasks.spawn(
                    None, rng.uniform(0, MAX_LATE_SECONDS), function, *arguments
                )
                return UNKNOWN
            result = function(*arguments)
            tasks.clock.sleep(rng.uniform(0.0, MAX_LATENCY_SECONDS))
            return result

        return call

    return Store(
        get=slow(store.get, False),
        list=slow(store.list, False),
        create=slow(store.create, True),
        update=slow(store.update, True),
        delete=slow(store.delete, True),
        watch=store.watch,
    )

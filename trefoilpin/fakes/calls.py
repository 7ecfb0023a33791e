"""Deterministic scheduler for the tasks of several hosts, on a simulated clock.

A task runs until it sleeps or calls a peer. Tasks of a frozen host are suspended, and
those of a dead host never run again. Messages have a random latency; they may be lost
or arrive after the caller's timeout.
"""

from typing import Any, Callable, NamedTuple

import greenlet
from returns.result import Failure, Success

from trefoilpin.kernel import Clock
from trefoilpin.services import PeerFailure, Peers, Store, StoreFailure, StoreOutcome

__all__ = ["Task", "TaskLoop", "Tasks", "connect", "create_tasks", "slow_store"]

MAX_LATENCY_SECONDS = 0.01
SLOW_MESSAGE_SHARE = 0.03
MAX_SLOW_LATENCY_SECONDS = 3.0
OUTCOME_UNKNOWN = Failure(StoreFailure(StoreOutcome.UNKNOWN, "timeout"))


class Task:
    """Task of one host.

    ``had_message_fault`` is set when one of the task's calls fails.
    """

    def __init__(self, host, wake_at):
        self.host = host
        self.wake_at = wake_at
        self.greenlet = None
        self.had_message_fault = False


class TaskLoop:
    """Waiting tasks and the running task."""

    def __init__(self, loop_state):
        self.state = loop_state
        self.tasks: list[Task] = []
        self.current = None
        self.hub = greenlet.getcurrent()


class PendingCall:
    """Call that waits for its reply."""

    def __init__(self, task):
        self.task = task
        self.reply = None
        self.is_open = True


class Tasks(NamedTuple):
    """Functions of the scheduler.

    ``spawn(host, delay, function, *arguments)`` returns the ``Task``. ``run(until)``
    runs all tasks due by that time. ``cancel(task)`` raises an exception in a task, as
    the daemon does for a caller that has disconnected.
    """

    loop: TaskLoop
    clock: Clock
    spawn: Callable[..., Task]
    run: Callable[[float], None]
    cancel: Callable[[Task], None]


def create_tasks(loop_state):
    """Create a scheduler that uses the time and faults of a ``LoopState``."""
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

    def is_runnable(task):
        return task.host not in loop_state.frozen and task.host not in loop_state.dead

    def next_due_task(until):
        due = [
            task for task in loop.tasks if task.wake_at <= until and is_runnable(task)
        ]
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
        while (task := next_due_task(until)) is not None:
            loop_state.now = max(loop_state.now, task.wake_at)
            resume(task)
        loop_state.now = until

    def cancel(task):
        if task in loop.tasks and is_runnable(task):
            resume(task, greenlet.GreenletExit)

    clock = Clock(lambda: loop_state.now, lambda: loop_state.now, sleep)
    return Tasks(loop, clock, spawn, run, cancel)


def draw_latency(rng):
    """Return a random latency for one message, in seconds."""
    if rng.random() < SLOW_MESSAGE_SHARE:
        return rng.uniform(0.2, MAX_SLOW_LATENCY_SECONDS)
    return rng.uniform(0.0, MAX_LATENCY_SECONDS)


def connect(tasks, address):
    """Return the ``Peers`` of a host whose address is also its incarnation."""
    loop, state = tasks.loop, tasks.loop.state
    handler_by_method = state.handler_by_method_by_address.setdefault(address, {})

    def is_delivered(sender, receiver):
        if (sender, receiver) in state.cut_pairs:
            return False
        return state.rng.random() >= state.loss_share

    def deliver_request(receiver, method, message, pending_call):
        reply = state.handler_by_method_by_address[receiver][method](address, message)
        if is_delivered(receiver, address):
            tasks.spawn(
                address, draw_latency(state.rng), deliver_reply, pending_call, reply
            )

    def deliver_reply(pending_call, reply):
        if pending_call.is_open:
            pending_call.reply = reply
            pending_call.task.wake_at = state.now

    def call(receiver, method, message, timeout):
        task = loop.current
        if receiver in state.dead:
            task.had_message_fault = True
            tasks.clock.sleep(state.rng.uniform(0.0, MAX_LATENCY_SECONDS))
            return Failure(PeerFailure(False, "no connection"))
        pending_call = PendingCall(task)
        if is_delivered(address, receiver):
            delay = draw_latency(state.rng)
            tasks.spawn(
                receiver,
                delay,
                deliver_request,
                receiver,
                method,
                message,
                pending_call,
            )
        tasks.clock.sleep(timeout)
        pending_call.is_open = False
        if pending_call.reply is not None:
            return Success(pending_call.reply)
        task.had_message_fault = True
        return Failure(PeerFailure(True, "timeout"))

    return Peers(call, handler_by_method.__setitem__)


def slow_store(tasks, store, late_share):
    """Return a store with latency.

    With probability ``late_share`` a change has an unknown outcome and takes effect
    later.
    """
    rng = tasks.loop.state.rng

    def add_latency(function, is_change) -> Any:
        def call(*arguments):
            tasks.clock.sleep(draw_latency(rng))
            if is_change and rng.random() < late_share:
                tasks.spawn(
                    None, rng.uniform(0, MAX_SLOW_LATENCY_SECONDS), function, *arguments
                )
                return OUTCOME_UNKNOWN
            result = function(*arguments)
            tasks.clock.sleep(rng.uniform(0.0, MAX_LATENCY_SECONDS))
            return result

        return call

    return Store(
        get=add_latency(store.get, False),
        list=add_latency(store.list, False),
        create=add_latency(store.create, True),
        update=add_latency(store.update, True),
        delete=add_latency(store.delete, True),
        watch=store.watch,
    )

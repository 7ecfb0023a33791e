"""Discrete-event scheduler that runs the tasks of unmodified services.

Each task is a greenlet, suspended until an event or a point in simulated time. Tasks
of a frozen host are suspended, and those of a dead host never run again.
"""

import heapq
import itertools
from typing import Any, Callable, NamedTuple

import greenlet

__all__ = ["TaskState", "Tasks", "create_tasks"]

FROZEN_RECHECK_INTERVAL_SECONDS = 0.05


class TaskState:
    """Suspended tasks, ordered by the time at which they resume."""

    def __init__(self):
        self.waiting: list = []
        self.sequence = itertools.count()
        self.owner_by_task: dict = {}


class Tasks(NamedTuple):
    """Functions of the scheduler.

    ``spawn(owner, function, *arguments)`` starts a task of a host, ``sleep(seconds)``
    suspends the current task, ``create_event()`` returns a new event, and
    ``run(until, is_done)`` runs tasks until that time, or until ``is_done()`` holds
    after one of them. ``kill(task)`` ends a task of those that ``spawn`` returned; it
    must not suspend itself any more.
    """

    spawn: Callable[..., Any]
    sleep: Callable[[float], None]
    create_event: Callable[[], Any]
    run: Callable[..., None]
    kill: Callable[[Any], None]


class Event(NamedTuple):
    """Event with the functions that the services use."""

    wait: Callable[..., bool]
    send: Callable[[], None]
    ready: Callable[[], bool]


def create_tasks(loop):
    """Create a scheduler that uses the time and the faults of a simulation.

    Parameters
    ----------
    loop : LoopState
    """
    state = TaskState()
    hub = greenlet.getcurrent()

    def schedule(task, due_at):
        entry = [due_at, next(state.sequence), task]
        heapq.heappush(state.waiting, entry)
        return entry

    def spawn(owner, function, *arguments):
        task = greenlet.greenlet(lambda: function(*arguments), hub)
        state.owner_by_task[task] = owner
        schedule(task, loop.now)
        return task

    def sleep(seconds):
        schedule(greenlet.getcurrent(), loop.now + seconds)
        hub.switch()

    def create_event():
        waiters = []
        signals = []

        def wait(timeout=float("inf")):
            if signals:
                return True
            entry = schedule(greenlet.getcurrent(), loop.now + timeout)
            waiters.append(entry)
            hub.switch()
            return bool(signals)

        def send():
            signals.append(True)
            for entry in waiters:
                if entry[2] is None:
                    continue
                schedule(entry[2], loop.now)
                entry[2] = None

        return Event(wait, send, lambda: bool(signals))

    def kill(task):
        for entry in state.waiting:
            if entry[2] is task:
                entry[2] = None
        state.owner_by_task.pop(task, None)
        if not task.dead:
            task.parent = greenlet.getcurrent()
            task.throw()

    def run(until, is_done=lambda: False):
        while state.waiting and state.waiting[0][0] <= until:
            entry = heapq.heappop(state.waiting)
            due_at, _, task = entry
            if task is None:
                continue
            owner = state.owner_by_task.get(task)
            loop.now = max(loop.now, due_at)
            if owner in loop.dead:
                continue
            if owner in loop.frozen:
                entry[0] = loop.now + FROZEN_RECHECK_INTERVAL_SECONDS
                heapq.heappush(state.waiting, entry)
                continue
            entry[2] = None
            task.switch()
            if task.dead:
                state.owner_by_task.pop(task, None)
            if is_done():
                return
        loop.now = max(loop.now, until)

    return Tasks(spawn, sleep, create_event, run, kill)

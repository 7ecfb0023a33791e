"""Concurrent attempts of one request, each in a task of its own."""

import logging
from typing import Callable, NamedTuple

from trefoilpin.messages import Attempt, Choice

__all__ = ["FinishedAttempt", "ConcurrentAttempts"]

logger = logging.getLogger(__name__)


class FinishedAttempt(NamedTuple):
    """A finished attempt; ``attempt`` is None after an exception in its task."""

    choice: Choice
    attempt: Attempt | None


class ConcurrentAttempts:
    """Attempts in flight, and finished ones until ``next_finished`` returns them.

    Parameters
    ----------
    spawn : callable
        Starts a task and returns it; the task has ``kill()``.
    create_event : callable
        Creates an event with ``wait(seconds)``, ``send()`` and ``ready()``.
    """

    def __init__(self, spawn, create_event):
        self.spawn = spawn
        self.create_event = create_event
        self.tasks: list = []
        self.finished: list[FinishedAttempt] = []
        self.in_flight = 0
        self.finished_event = create_event()

    def start(self, choice, exchange: Callable):
        """Start a task for an attempt; ``exchange(choice)`` returns an ``Attempt``."""
        self.in_flight += 1
        self.tasks.append(self.spawn(self.run, choice, exchange))

    def run(self, choice, exchange):
        attempt = None
        try:
            attempt = exchange(choice)
        except Exception:
            logger.exception("attempt failed with an exception")
        self.in_flight -= 1
        self.finished.append(FinishedAttempt(choice, attempt))
        if not self.finished_event.ready():
            self.finished_event.send()

    def next_finished(self, seconds):
        """Return the next finished attempt, or None after a time-out in seconds."""
        if not self.finished:
            self.finished_event.wait(max(seconds, 0.0))
        if self.finished_event.ready():
            self.finished_event = self.create_event()
        return self.finished.pop(0) if self.finished else None

    def stop(self):
        """Cancel the attempts in flight, which closes their connections."""
        for task in self.tasks:
            task.kill()

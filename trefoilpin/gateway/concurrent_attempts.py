"""Attempts of one request that run beside each other, each in a task of its own."""

import logging
from typing import Callable, NamedTuple

from trefoilpin.messages import Attempt, Choice

__all__ = ["FinishedAttempt", "ConcurrentAttempts"]

logger = logging.getLogger(__name__)


class FinishedAttempt(NamedTuple):
    """An attempt that came to its end; None in place of one that hit a fault here."""

    choice: Choice
    attempt: Attempt | None


class ConcurrentAttempts:
    """Attempts under way, and those that ended and were not taken yet.

    Parameters
    ----------
    spawn : callable
        Starts a task and returns it; it has ``kill()``.
    create_event : callable
        Makes an event with ``wait(seconds)``, ``dispatch()`` and ``ready()``.
    """

    def __init__(self, spawn, create_event):
        self.spawn = spawn
        self.create_event = create_event
        self.tasks: list = []
        self.ended: list[FinishedAttempt] = []
        self.in_flight = 0
        self.news = create_event()

    def start(self, choice, exchange: Callable):
        """Begin an attempt; ``exchange(choice)`` gives what came of it."""
        self.in_flight += 1
        self.tasks.append(self.spawn(self.run, choice, exchange))

    def run(self, choice, exchange):
        attempt = None
        try:
            attempt = exchange(choice)
        except Exception:
            logger.exception("an attempt failed")
        self.in_flight -= 1
        self.ended.append(FinishedAttempt(choice, attempt))
        if not self.news.ready():
            self.news.send()

    def next(self, seconds):
        """Return the next attempt that ended, or None when none did in time."""
        if not self.ended:
            self.news.wait(max(seconds, 0.0))
        if self.news.ready():
            self.news = self.create_event()
        return self.ended.pop(0) if self.ended else None

    def stop(self):
        """End what is still under way; its connections are closed."""
        for task in self.tasks:
            task.kill()

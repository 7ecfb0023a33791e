"""Clock and tasks of one host in simulated time, for tests that call its services.

A call runs as a task; time passes only while all tasks wait, so that no load of the
machine changes what a test sees.
"""

from functools import partial
from typing import Any, Callable, NamedTuple

from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.kernel import Clock

__all__ = ["SpawnedTask", "VirtualClock"]

# A call that has not ended after this simulated time fails its test.
MAX_CALL_SECONDS = 600.0


class SpawnedTask(NamedTuple):
    """A task as the services see it."""

    kill: Callable[[], None]


class VirtualClock:
    """Simulated time; ``time`` is read and set by the test.

    Attributes
    ----------
    clock : Clock
    """

    def __init__(self):
        self.loop = LoopState(seed=1)
        self.tasks = create_tasks(self.loop)
        self.create_event = self.tasks.create_event
        self.clock = Clock(self.now, self.now, self.sleep)

    @property
    def time(self):
        return self.loop.now

    @time.setter
    def time(self, time):
        self.loop.now = time

    def now(self):
        return self.loop.now

    def sleep(self, seconds):
        self.tasks.sleep(seconds)

    def spawn(self, function, *arguments):
        task = self.tasks.spawn(None, function, *arguments)
        return SpawnedTask(partial(self.tasks.kill, task))

    def call(self, function, *arguments) -> Any:
        """Run a function as a task and return its result at the time of its end."""
        results = []
        self.tasks.spawn(None, lambda: results.append(function(*arguments)))
        self.tasks.run(self.loop.now + MAX_CALL_SECONDS, lambda: bool(results))
        if not results:
            raise TimeoutError("the call did not end")
        return results[0]

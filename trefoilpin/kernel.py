"""Service registry with start and stop hooks, a clock and tasks.

The kernel depends on no service. A service registers itself under a name, with
optional functions to start and stop it, and finds the other services by name.
"""

import logging
import random
from typing import Any, Callable, NamedTuple

__all__ = ["Clock", "Kernel", "KernelState", "create_kernel"]

logger = logging.getLogger(__name__)


class Clock(NamedTuple):
    """Sources of time, passed in so that tests can control them.

    Attributes
    ----------
    now : callable
        Seconds of ``CLOCK_BOOTTIME``, which keeps running while a host is suspended.
    wall : callable
        Seconds since the epoch, for log lines and stored records only.
    sleep : callable
        Suspends the calling task for a number of seconds.
    """

    now: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], None]


class KernelState:
    """Registered services and hooks, in order of registration."""

    def __init__(self):
        self.service_by_name: dict[str, Any] = {}
        self.start_hooks: list[tuple[str, Callable[[], None]]] = []
        self.stop_hooks: list[tuple[str, Callable[[], None]]] = []


class Kernel(NamedTuple):
    """Access of a service to the other services, the clock and tasks.

    Attributes
    ----------
    register : callable
        ``register(name, service, start=None, stop=None)``; a name registered
        twice raises ``ValueError``.
    find : callable
        ``find(name)`` returns the service; raises ``LookupError`` when there is none.
    start, stop : callable
        Run the hooks, in order of registration and in reverse order.
    spawn : callable
        ``spawn(function, *arguments)`` starts a concurrent task.
    clock : Clock
    rng : random.Random
        The only source of random numbers, seeded by tests.
    """

    register: Callable[..., None]
    find: Callable[[str], Any]
    start: Callable[[], None]
    stop: Callable[[], None]
    spawn: Callable[..., Any]
    clock: Clock
    rng: random.Random


def create_kernel(clock, spawn, rng=None):
    """Create an empty kernel.

    Parameters
    ----------
    clock : Clock
    spawn : callable
        ``spawn(function, *arguments)``, which starts a task.
    rng : random.Random, optional

    Returns
    -------
    Kernel
    """
    state = KernelState()

    def register(name, service, start=None, stop=None):
        if name in state.service_by_name:
            raise ValueError(f"service {name!r} is already registered")
        state.service_by_name[name] = service
        if start is not None:
            state.start_hooks.append((name, start))
        if stop is not None:
            state.stop_hooks.append((name, stop))

    def find(name):
        service = state.service_by_name.get(name)
        if service is None:
            raise LookupError(f"no service is registered as {name!r}")
        return service

    def start():
        for name, hook in state.start_hooks:
            logger.debug("starting %s", name)
            hook()

    def stop():
        for name, hook in reversed(state.stop_hooks):
            logger.debug("stopping %s", name)
            hook()

    return Kernel(register, find, start, stop, spawn, clock, rng or random.Random())

"""Asks upstreams for their health while this host's document of them is old.

One task looks for those that are due, and one more runs for each that is asked.
"""

from typing import Callable, NamedTuple

from returns.result import Success

from trefoilpin.gateway.loops import repeat

__all__ = ["HealthChecks", "create"]


class HealthChecks(NamedTuple):
    """``health_checks``: ``step()`` asks the upstreams that are due."""

    step: Callable[[], None]


def create(kernel):
    """Create the service ``health_checks``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    HealthChecks
    """
    now = kernel.clock.now
    cold_checks = kernel.find("cold_checks")
    health_probes = kernel.find("health_probes")
    queues = kernel.find("queues")

    def step():
        for check in cold_checks.take_due():
            kernel.spawn(ask, check)

    def ask(check):
        asked_at = now()
        outcome = health_probes.ask(check.upstream, check.path)
        cold_checks.record(check, asked_at, outcome)
        if isinstance(outcome, Success):
            queues.wake()

    service = HealthChecks(step)
    kernel.register(
        "health_checks",
        service,
        lambda: kernel.spawn(repeat, kernel.clock.sleep, cold_checks.pause, step),
    )
    return service

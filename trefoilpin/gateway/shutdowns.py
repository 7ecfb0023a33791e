"""Planned shutdown of a host without interrupting a request.

The host is no longer ready and no longer in the address answers, but it keeps serving
callers that still have its address and closes each connection after its answer. Idle
connections are closed one by one. When callers have had time for a new address answer,
further requests are refused as not run, and the host ends after the last request.
"""

from typing import Callable, NamedTuple

from trefoilpin import events

__all__ = ["Shutdowns", "create"]

# Answers to callers are kept for 2 s; some keep them longer and are refused after.
SERVING_SECONDS = 3.0
RETIRE_FROM_SECONDS = 0.5
QUIET_SECONDS = 0.3
STEP_SECONDS = 0.05
# Part of the time before the kill that requests under way may use; the rest is for
# the end of the process on a slow host.
USED_GRACE = 0.85
LEAVE_SECONDS = 0.1


class Shutdowns(NamedTuple):
    """``shutdowns``: ``stop(signal_name)`` returns once the daemon may exit."""

    stop: Callable[[str], None]


def create(kernel, grace):
    """Create the service ``shutdowns``.

    Parameters
    ----------
    kernel : Kernel
    grace : float
        Seconds after the signal at which the process is killed.

    Returns
    -------
    Shutdowns
    """
    now, sleep = kernel.clock.now, kernel.clock.sleep
    emit = kernel.find("events").emit
    members = kernel.find("members")
    gossip = kernel.find("gossip")
    proxies = kernel.find("proxies")
    frontends = kernel.find("frontends")

    def stop(signal_name):
        began_at = now()
        members.stop()
        gossip.notify_all()
        emit(
            events.GATEWAY_STOPPING,
            signal=signal_name,
            under_way=proxies.under_way(),
            connections=frontends.connection_count(),
        )
        serving = min(SERVING_SECONDS, grace / 2)
        while now() < began_at + serving:
            retire_some(now() - began_at, serving)
            sleep(STEP_SECONDS)
        proxies.close()
        while proxies.under_way() and now() < began_at + grace * USED_GRACE:
            sleep(STEP_SECONDS)
        sleep(LEAVE_SECONDS)
        emit(
            events.GATEWAY_STOPPED,
            seconds=round(now() - began_at, 3),
            under_way=proxies.under_way(),
        )

    def retire_some(elapsed, serving):
        """End the connections whose place in the drain has come and that are quiet."""
        if elapsed < RETIRE_FROM_SECONDS:
            return
        quiet_since = now() - QUIET_SECONDS

        def is_due(connection):
            is_quiet = connection.idle_since < quiet_since
            return is_quiet and connection.share * serving < elapsed

        frontends.close_idle(is_due)

    service = Shutdowns(stop)
    kernel.register("shutdowns", service)
    return service

"""Planned shutdown of a host without interrupting a request.

The host reports that it is not ready and is left out of address answers, but it keeps
serving callers that still use its address, and closes each connection after the answer.
Idle connections are closed one by one. Once callers have had time to get a new address
answer, further requests are refused as not run, and the host exits after the last
answer was written. No request is sent to an upstream that typically would not be
answered before the process is killed; its caller is told at once that it has not run.
"""

from typing import Callable, NamedTuple

from trefoilpin import events

__all__ = ["Shutdowns", "create"]

# Callers cache address answers for 2 s; those that cache longer are refused later. A
# request that is sent later than 3 s after the signal has to be refused, also when the
# timer is late.
MAX_SERVING_SECONDS = 2.97
FIRST_CLOSE_DELAY_SECONDS = 0.5
MIN_IDLE_SECONDS = 0.3
STEP_INTERVAL_SECONDS = 0.05
# Share of the time before the kill that running requests may use; the rest is for the
# exit of the process on a slow host.
GRACE_SHARE = 0.85
EXIT_DELAY_SECONDS = 0.1


class Shutdowns(NamedTuple):
    """``shutdowns``: ``stop(signal_name, signalled_at)`` ends this host.

    It returns once the daemon may exit. ``signalled_at`` is the time of the signal in
    seconds of the clock.
    """

    stop: Callable[[str, float], None]


def create(kernel, grace):
    """Create the service ``shutdowns``.

    Parameters
    ----------
    kernel : Kernel
    grace : float
        Seconds from the signal until the process is killed.

    Returns
    -------
    Shutdowns
    """
    now, sleep = kernel.clock.now, kernel.clock.sleep
    emit = kernel.find("events").emit
    members = kernel.find("members")
    gossip = kernel.find("gossip")
    proxies = kernel.find("proxies")
    dispatchers = kernel.find("dispatchers")
    frontends = kernel.find("frontends")
    leases = kernel.find("leases")

    def stop(signal_name, signalled_at):
        ends_at = signalled_at + grace * GRACE_SHARE
        members.stop()
        leases.end()
        dispatchers.end_by(ends_at)
        gossip.notify_all()
        emit(
            events.GATEWAY_STOPPING,
            signal=signal_name,
            under_way=proxies.under_way(),
            connections=frontends.connection_count(),
        )
        serving = min(MAX_SERVING_SECONDS, grace / 2)
        while now() < signalled_at + serving:
            close_idle_connections(now() - signalled_at, serving)
            remaining = signalled_at + serving - now()
            sleep(min(STEP_INTERVAL_SECONDS, max(remaining, 0.0)))
        proxies.close()
        while frontends.unanswered_count() and now() < ends_at:
            sleep(STEP_INTERVAL_SECONDS)
        sleep(EXIT_DELAY_SECONDS)
        emit(
            events.GATEWAY_STOPPED,
            seconds=round(now() - signalled_at, 3),
            under_way=frontends.unanswered_count(),
        )

    def close_idle_connections(elapsed, serving):
        """Close idle connections whose turn in the drain has come."""
        if elapsed < FIRST_CLOSE_DELAY_SECONDS:
            return
        idle_before = now() - MIN_IDLE_SECONDS

        def is_due(connection):
            is_idle = connection.idle_since < idle_before
            return is_idle and connection.share * serving < elapsed

        frontends.close_idle(is_due)

    service = Shutdowns(stop)
    kernel.register("shutdowns", service)
    return service

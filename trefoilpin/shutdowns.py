"""Planned shutdown of a host, which interrupts no request.

The host first announces that it is leaving, so that address answers no longer contain
it, and goes on serving at least as long as callers may cache earlier answers. During
this drain period connections are closed one by one, each at a time drawn at random
beforehand, so that callers don't all reconnect at once. Then the listener closes, the
last requests end, operations and units are handed over to a successor, and the host
leaves the fleet.

Source of the spread reconnects: Legora, "How we centralized our long-lived WebSockets
to improve operations without compromising on developer experience".
"""

from trefoilpin import events
from trefoilpin.services import Shutdowns

__all__ = ["LEAVING_TOPIC", "create"]

LEAVING_TOPIC = "leaving"
LEAVING_LIFETIME_SECONDS = 3600.0
RETIRE_INTERVAL_SECONDS = 0.1
MIN_IDLE_SECONDS = 1.0
LEAVE_GOSSIP_SECONDS = 2.0
MAX_HAND_OVER_ATTEMPTS = 5
HAND_OVER_RETRY_SECONDS = 0.5


class ShutdownState:
    """Hand-over functions by service, and the start of the shutdown."""

    def __init__(self):
        self.hand_over_by_service: dict = {}
        self.began_at = None


def create(kernel, drain_seconds, spread_reconnects=True):
    """Create the service ``shutdowns``.

    Parameters
    ----------
    kernel : Kernel
    drain_seconds : float
        Seconds for which the host goes on serving after its leave notice; must not be
        below the lifetime of address answers.
    spread_reconnects : bool
        False to close every connection at the start of the drain.

    Returns
    -------
    Shutdowns
    """
    state = ShutdownState()
    now, sleep = kernel.clock.now, kernel.clock.sleep
    emit = kernel.find("events").emit
    memberships = kernel.find("memberships")
    notices = kernel.find("notices")

    def is_stopping():
        return state.began_at is not None

    def is_due(share):
        if state.began_at is None:
            return False
        return now() >= state.began_at + (
            share * drain_seconds if spread_reconnects else 0
        )

    def choose_successor():
        own = memberships.own()
        leaving = {notice.key for notice in notices.read(LEAVING_TOPIC)}
        for host in memberships.ranked(f"successor/{own.incarnation}"):
            if host.incarnation != own.incarnation and host.incarnation not in leaving:
                return host
        return None

    def retire_connections(frontends):
        def is_due_and_idle(connection):
            is_idle = now() - connection.idle_since >= MIN_IDLE_SECONDS
            return is_idle and is_due(connection.share)

        while now() < state.began_at + drain_seconds:
            frontends.close_idle(is_due_and_idle)
            sleep(RETIRE_INTERVAL_SECONDS)

    def hand_over():
        """Hand every service over; return the successor, or None when it failed.

        All of them must go to the same host, so when the successor changes, the
        services handed over so far are handed over again.
        """
        pending = dict(state.hand_over_by_service)
        successor = None
        for _ in range(MAX_HAND_OVER_ATTEMPTS):
            next_successor = choose_successor()
            if successor is not None and next_successor != successor:
                pending = dict(state.hand_over_by_service)
            successor = next_successor
            for name, transfer in list(pending.items()):
                if transfer(successor):
                    del pending[name]
            if not pending:
                return successor
            sleep(HAND_OVER_RETRY_SECONDS)
        emit(events.HAND_OVER_FAILED, services=",".join(sorted(pending)))
        return None

    def stop():
        if state.began_at is not None:
            return
        state.began_at = now()
        own = memberships.own()
        frontends = kernel.find("frontends")
        emit(
            events.STOP_BEGAN,
            connections=frontends.connection_count(),
            drain_seconds=drain_seconds,
        )
        notices.publish(LEAVING_TOPIC, own.incarnation, "", LEAVING_LIFETIME_SECONDS)
        retire_connections(frontends)
        frontends.close()
        emit(events.LAST_REQUEST_ENDED, seconds=round(now() - state.began_at, 3))
        successor = hand_over()
        memberships.leave(successor and successor.incarnation)
        sleep(LEAVE_GOSSIP_SECONDS)
        emit(events.HANDED_OVER, successor=successor and successor.name)

    service = Shutdowns(
        on_hand_over=state.hand_over_by_service.__setitem__,
        is_stopping=is_stopping,
        stop=stop,
        is_due=is_due,
    )
    kernel.register("shutdowns", service)
    return service

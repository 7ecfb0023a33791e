"""Planned stop of a host that cuts no request.

The host first spreads that it is leaving, so that address answers leave it out, and
goes on serving for as long as answers given before are kept. Over that drain the
connections end one by one, each at an instant drawn beforehand, so that callers do
not all connect elsewhere at once. Then the listener closes, the last requests end,
operations and units go to a successor, and the host leaves the fleet.

Source of the spread: Legora, "How we centralized our long-lived WebSockets to improve
operations without compromising on developer experience".
"""

from trefoilpin import events
from trefoilpin.services import Shutdowns

__all__ = ["LEAVING_TOPIC", "create"]

LEAVING_TOPIC = "leaving"
LEAVING_LIFETIME_SECONDS = 3600.0
RETIRE_SECONDS = 0.1
QUIET_SECONDS = 1.0
SPREAD_SECONDS = 2.0
HAND_OVER_ROUNDS = 5
HAND_OVER_PAUSE_SECONDS = 0.5


class ShutdownState:
    """Functions to call at the stop, and how far it has come."""

    def __init__(self):
        self.function_by_name: dict = {}
        self.began_at = None


def create(kernel, drain, spreads=True):
    """Create the service ``shutdowns``.

    Parameters
    ----------
    kernel : Kernel
    drain : float
        Seconds for which the host goes on serving after its leave notice; not less
        than the lifetime of address answers.
    spreads : bool
        False has every connection end at the start of the drain.

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
        return now() >= state.began_at + (share * drain if spreads else 0)

    def choose_successor():
        own = memberships.own()
        leaving = {notice.key for notice in notices.read(LEAVING_TOPIC)}
        for host in memberships.ranked(f"successor/{own.incarnation}"):
            if host.incarnation != own.incarnation and host.incarnation not in leaving:
                return host
        return None

    def retire_connections(frontends):
        def is_due_and_quiet(connection):
            quiet = now() - connection.idle_since >= QUIET_SECONDS
            return quiet and is_due(connection.share)

        while now() < state.began_at + drain:
            frontends.close_idle(is_due_and_quiet)
            sleep(RETIRE_SECONDS)

    def hand_over():
        """Hand everything over; return the host that has it, or None."""
        waiting = dict(state.function_by_name)
        successor = None
        for _ in range(HAND_OVER_ROUNDS):
            following = choose_successor()
            if successor is not None and following != successor:
                waiting = dict(state.function_by_name)
            successor = following
            for name, function in list(waiting.items()):
                if function(successor):
                    del waiting[name]
            if not waiting:
                return successor
            sleep(HAND_OVER_PAUSE_SECONDS)
        emit(events.HAND_OVER_FAILED, services=",".join(sorted(waiting)))
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
            drain_seconds=drain,
        )
        notices.publish(LEAVING_TOPIC, own.incarnation, "", LEAVING_LIFETIME_SECONDS)
        retire_connections(frontends)
        frontends.close()
        emit(events.LAST_REQUEST_ENDED, seconds=round(now() - state.began_at, 3))
        successor = hand_over()
        memberships.leave(successor and successor.incarnation)
        sleep(SPREAD_SECONDS)
        emit(events.HANDED_OVER, successor=successor and successor.name)

    service = Shutdowns(
        on_hand_over=state.function_by_name.__setitem__,
        is_stopping=is_stopping,
        stop=stop,
        is_due=is_due,
    )
    kernel.register("shutdowns", service)
    return service

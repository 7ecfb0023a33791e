"""Hosts that were members, among them those that are still shutting down.

A host that announced its departure is not a member any more, but goes on deciding on
its keys and serving its requests until its shutdown is complete.
"""

from trefoilpin.records import Host
from trefoilpin.services import DepartedHosts

__all__ = ["create"]

MAX_STOP_SECONDS = 120.0
RETENTION_SECONDS = 3600.0
NOT_BY_PLAN = float("-inf")


class DepartureState:
    """Hosts by incarnation, and when those that left by plan did so."""

    def __init__(self):
        self.host_by_incarnation: dict[str, Host] = {}
        self.left_at_by_incarnation: dict[str, float] = {}


def create(kernel, gone_seconds):
    """Create the service ``departed_hosts``.

    Parameters
    ----------
    kernel : Kernel
    gone_seconds : float
        Seconds without a sign of life after which a member counts as gone.

    Returns
    -------
    DepartedHosts
    """
    memberships = kernel.find("memberships")
    now = kernel.clock.now
    own = memberships.own().incarnation
    state = DepartureState()

    def refresh():
        for host in memberships.live():
            state.host_by_incarnation[host.incarnation] = host
            state.left_at_by_incarnation.pop(host.incarnation, None)
        for incarnation in list(state.host_by_incarnation):
            record_departure(incarnation)

    def record_departure(incarnation):
        left_at = state.left_at_by_incarnation
        if memberships.find(incarnation) is not None:
            return
        if incarnation not in left_at:
            is_planned = memberships.successor(incarnation) is not None
            left_at[incarnation] = now() if is_planned else NOT_BY_PLAN
        if left_at[incarnation] + RETENTION_SECONDS < now():
            del state.host_by_incarnation[incarnation]
            del left_at[incarnation]

    def find(incarnation):
        host = memberships.find(incarnation)
        return host or state.host_by_incarnation.get(incarnation)

    def is_running(incarnation):
        if incarnation == own:
            return True
        if memberships.find(incarnation) is not None:
            return memberships.age(incarnation) <= gone_seconds
        left_at = state.left_at_by_incarnation.get(incarnation, NOT_BY_PLAN)
        return now() - left_at <= MAX_STOP_SECONDS

    memberships.subscribe(refresh)
    refresh()
    service = DepartedHosts(find, is_running)
    kernel.register("departed_hosts", service)
    return service

"""Hosts seen so far, those included that left by plan and still end their work.

A host that announced its departure is no member any more but goes on deciding on its
keys and running its requests until its stop is complete.
"""

from trefoilpin.records import Host
from trefoilpin.services import DepartedHosts

__all__ = ["create"]

LEAVING_SECONDS = 120.0
FORGET_SECONDS = 3600.0
NEVER = float("-inf")


class SightingState:
    """Hosts by incarnation, and when they left by plan."""

    def __init__(self):
        self.host_by_incarnation: dict[str, Host] = {}
        self.left_at_by_incarnation: dict[str, float] = {}


def create(kernel, gone_seconds):
    """Create the service ``departed_hosts``.

    Parameters
    ----------
    kernel : Kernel
    gone_seconds : float
        Age from which a host that did not leave by plan counts as gone.

    Returns
    -------
    DepartedHosts
    """
    memberships = kernel.find("memberships")
    now = kernel.clock.now
    own = memberships.own().incarnation
    state = SightingState()

    def refresh():
        for host in memberships.live():
            state.host_by_incarnation[host.incarnation] = host
            state.left_at_by_incarnation.pop(host.incarnation, None)
        for incarnation in list(state.host_by_incarnation):
            note_absence(incarnation)

    def note_absence(incarnation):
        left_at = state.left_at_by_incarnation
        if memberships.find(incarnation) is not None:
            return
        if incarnation not in left_at:
            planned = memberships.successor(incarnation) is not None
            left_at[incarnation] = now() if planned else NEVER
        if left_at[incarnation] + FORGET_SECONDS < now():
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
        left_at = state.left_at_by_incarnation.get(incarnation, NEVER)
        return now() - left_at <= LEAVING_SECONDS

    memberships.subscribe(refresh)
    refresh()
    service = DepartedHosts(find, is_running)
    kernel.register("departed_hosts", service)
    return service

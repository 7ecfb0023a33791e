"""Concurrency and connections that one host may use at one upstream.

A host's limit starts at its share of the slots, but at what one request needs at
least. It grows by additive increase while it is used in full and shrinks by half
when the upstream refuses work as overload. Below one, the host pauses between
requests so that its average concurrency is the limit.

Source of the control law: Chiu and Jain, "Analysis of the increase and decrease
algorithms for congestion avoidance in computer networks", 1989.
"""

__all__ = [
    "Cap",
    "create_cap",
    "in_subset",
    "may_start",
    "on_shed",
    "on_success",
    "resize",
]

DECREASE = 0.5
INCREASE = 0.25
DECREASE_PAUSE_SECONDS = 0.1
FIRST_SERVICE_SECONDS = 0.05
SERVICE_WEIGHT = 0.1


class Cap:
    """Limit of one host at one upstream."""

    def __init__(self, limit, least, most):
        self.limit = limit
        self.least = least
        self.most = most
        self.ready_at = 0.0
        self.decreased_at = 0.0
        self.service_seconds = FIRST_SERVICE_SECONDS


def bounds(slots, connections, fleet):
    """Return the least and the highest limit for a fleet of a size."""
    most = max(1.0, min(slots, connections // fleet))
    least = min(1.0, slots / fleet)
    return least, most


def create_cap(slots, connections, fleet):
    """Create the cap of one host at one upstream.

    Parameters
    ----------
    slots : int
        Requests the upstream runs at the same time.
    connections : int
        Connections it bears from the whole fleet.
    fleet : int
        Hosts that use it.

    Returns
    -------
    Cap
    """
    least, most = bounds(slots, connections, fleet)
    return Cap(min(most, max(1.0, slots / fleet)), least, most)


def resize(cap, slots, connections, fleet):
    """Fit a cap to a fleet that grew or shrank."""
    cap.least, cap.most = bounds(slots, connections, fleet)
    cap.limit = min(max(cap.limit, cap.least), cap.most)


def may_start(cap, in_flight, now):
    """Tell whether one more request may start."""
    return in_flight < max(cap.limit, 1.0) and now >= cap.ready_at


def pause(cap, now):
    """Set when the next request may start if the limit is below one."""
    if cap.limit < 1.0:
        cap.ready_at = now + cap.service_seconds * (1.0 / cap.limit - 1.0)


def on_success(cap, in_flight, seconds, now):
    """Raise the limit after an answer, if it was used in full.

    Parameters
    ----------
    cap : Cap
    in_flight : int
        Requests under way, the one that ended among them.
    seconds : float
        Time the request took.
    now : float
    """
    cap.service_seconds += SERVICE_WEIGHT * (seconds - cap.service_seconds)
    if in_flight + 1 > cap.limit:
        cap.limit = min(cap.most, cap.limit + INCREASE / max(cap.limit, 1.0))
    pause(cap, now)


def on_shed(cap, now):
    """Lower the limit after the upstream refused work as overload."""
    if now - cap.decreased_at >= DECREASE_PAUSE_SECONDS:
        cap.limit = max(cap.least, cap.limit * DECREASE)
        cap.decreased_at = now
    pause(cap, now)


def in_subset(position, offset, fleet, connections):
    """Tell whether a host is among those that use an upstream.

    When the fleet outgrows an upstream's connections, each upstream is used by as
    many hosts as it has connections for, a run of the ordered fleet that starts at
    the upstream's offset.

    Parameters
    ----------
    position : int
        Of the host in the ordered fleet.
    offset : int
        Of the upstream; any number.
    fleet, connections : int
    """
    return (position + offset) % fleet < connections

"""Adaptive concurrency limit of one host at one upstream.

The limit starts at the host's share of the upstream's slots, and at no less than one
request. It increases additively while it is fully used, and is halved when the
upstream sheds load. Below one, the host spaces its requests so that its average
concurrency equals the limit.

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

DECREASE_FACTOR = 0.5
INCREASE_STEP = 0.25
MIN_DECREASE_INTERVAL_SECONDS = 0.1
INITIAL_SERVICE_SECONDS = 0.05
SERVICE_EWMA_WEIGHT = 0.1


class Cap:
    """Concurrency limit of one host at one upstream."""

    def __init__(self, limit, lower_bound, upper_bound):
        self.limit = limit
        self.lower_bound = lower_bound
        self.upper_bound = upper_bound
        self.next_start_at = 0.0
        self.last_decrease_at = 0.0
        self.mean_service_seconds = INITIAL_SERVICE_SECONDS


def limit_bounds(slots, connections, fleet_size):
    """Return the lower and the upper bound of the limit for a fleet size."""
    upper_bound = max(1.0, min(slots, connections // fleet_size))
    lower_bound = min(1.0, slots / fleet_size)
    return lower_bound, upper_bound


def create_cap(slots, connections, fleet_size):
    """Create the concurrency limit of one host at one upstream.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs concurrently.
    connections : int
        Connections that the upstream accepts from the whole fleet.
    fleet_size : int
        Hosts that use the upstream.

    Returns
    -------
    Cap
    """
    lower_bound, upper_bound = limit_bounds(slots, connections, fleet_size)
    return Cap(min(upper_bound, max(1.0, slots / fleet_size)), lower_bound, upper_bound)


def resize(cap, slots, connections, fleet_size):
    """Adapt the bounds to a changed fleet size."""
    cap.lower_bound, cap.upper_bound = limit_bounds(slots, connections, fleet_size)
    cap.limit = min(max(cap.limit, cap.lower_bound), cap.upper_bound)


def may_start(cap, in_flight, now):
    """Return whether one more request may start."""
    return in_flight < max(cap.limit, 1.0) and now >= cap.next_start_at


def delay_next_start(cap, now):
    """Delay the next request if the limit is below one."""
    if cap.limit < 1.0:
        cap.next_start_at = now + cap.mean_service_seconds * (1.0 / cap.limit - 1.0)


def on_success(cap, in_flight, seconds, now):
    """Raise the limit after an answer, if it was fully used.

    Parameters
    ----------
    cap : Cap
    in_flight : int
        Requests in flight, including the one that ended.
    seconds : float
        Duration of the request.
    now : float
    """
    cap.mean_service_seconds += SERVICE_EWMA_WEIGHT * (
        seconds - cap.mean_service_seconds
    )
    if in_flight + 1 > cap.limit:
        cap.limit = min(
            cap.upper_bound, cap.limit + INCREASE_STEP / max(cap.limit, 1.0)
        )
    delay_next_start(cap, now)


def on_shed(cap, now):
    """Lower the limit after the upstream shed a request."""
    if now - cap.last_decrease_at >= MIN_DECREASE_INTERVAL_SECONDS:
        cap.limit = max(cap.lower_bound, cap.limit * DECREASE_FACTOR)
        cap.last_decrease_at = now
    delay_next_start(cap, now)


def in_subset(host_index, offset, fleet_size, connections):
    """Return whether a host is in the subset of hosts that use an upstream.

    If the fleet has more hosts than the upstream accepts connections, the subset is
    as large as the number of connections, and consecutive in the ordered fleet from
    a position given by the upstream's offset.

    Parameters
    ----------
    host_index : int
        Position of the host in the ordered fleet.
    offset : int
        Any number, derived from the upstream.
    fleet_size, connections : int
    """
    return (host_index + offset) % fleet_size < connections

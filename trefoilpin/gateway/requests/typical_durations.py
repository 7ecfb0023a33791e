"""Typical durations of the requests of each route."""

from typing import Callable, NamedTuple

__all__ = ["TypicalDurations", "create"]

# The typical duration of a route is a moving average over its answers. A duration
# counts as at most this multiple of the average.
MAX_SAMPLE_FACTOR = 5.0
WEIGHT = 0.05
# Share of a route's target time taken as its typical duration before the first answer.
INITIAL_SHARE = 0.3


class TypicalDurations(NamedTuple):
    """``seconds(route)`` is the typical duration; ``update(route, seconds)`` counts
    that of an answer."""

    seconds: Callable
    update: Callable


class DurationState:
    """Moving average by route."""

    def __init__(self):
        self.average_by_route: dict[str, float] = {}


def create():
    """Create the durations of this host's requests.

    Returns
    -------
    TypicalDurations
    """
    state = DurationState()

    def seconds(route):
        average = state.average_by_route.get(route.id)
        return route.target * INITIAL_SHARE if average is None else average

    def update(route, duration):
        average = seconds(route)
        bounded = min(duration, average * MAX_SAMPLE_FACTOR)
        state.average_by_route[route.id] = average + (bounded - average) * WEIGHT

    return TypicalDurations(seconds, update)

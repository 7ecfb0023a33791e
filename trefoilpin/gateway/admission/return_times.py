"""Times at which callers of rejected requests are asked to return, and their places.

A caller that was asked to return has a place until shortly after its time. Requests
that arrive meanwhile leave the capacity of earlier places unused, so that a caller that
returns when it was told is served before new ones.
"""

import math
from typing import Hashable, NamedTuple

__all__ = [
    "MAX_FOLLOWED_SHARE",
    "Places",
    "Room",
    "round_up",
    "seconds_until_room",
    "will_return",
]

# Callers follow a time to return up to this share of the time that they have left.
MAX_FOLLOWED_SHARE = 1 / 3
# ``Retry-After`` is stated in hundredths of a second.
STATED_UNITS_PER_SECOND = 100
# A place is kept this much longer than its time, for the way to the caller and back.
HOLD_SECONDS = 0.15
# A caller may return this much before its time and use its place.
EARLY_SECONDS = 0.02
# Bound on the places of one account or pool at a host; later callers are told their
# time but get no place.
MAX_PLACES = 256


class Room(NamedTuple):
    """Requests that an account may have now and later.

    Attributes
    ----------
    tokens : float
        Requests allowed by the token bucket now.
    fill_rate : float
        Requests a second that are added to the bucket.
    window_room : float
        Requests that the window allows now.
    expiries : sequence of (float, float)
        Seconds after which earlier requests leave the window, ascending, and how many.
    """

    tokens: float
    fill_rate: float
    window_room: float
    expiries: tuple[tuple[float, float], ...]


def seconds_until_room(room, count):
    """Return the seconds until bucket and window allow a number of requests.

    Parameters
    ----------
    room : Room
    count : float
    """
    by_bucket = max(count - room.tokens, 0.0) / room.fill_rate
    missing = count - room.window_room
    by_window = 0.0
    for seconds, expiring in room.expiries:
        if missing <= 0:
            break
        missing -= expiring
        by_window = seconds
    if missing > 0:
        # The requests that will leave the window by then are not counted yet.
        by_window += missing / room.fill_rate
    return max(by_bucket, by_window)


def round_up(seconds):
    """Return a time rounded up to a value that ``Retry-After`` can state."""
    units = math.floor(seconds * STATED_UNITS_PER_SECOND) + 1
    return units / STATED_UNITS_PER_SECOND


def will_return(retry_after, seconds_left):
    """Tell whether a caller with this much time left returns when it is told."""
    return retry_after <= seconds_left * MAX_FOLLOWED_SHARE


class Places:
    """Places of callers that were asked to return, by key.

    Attributes
    ----------
    due_by_key : dict
        Clock time in seconds at which the caller with the key should return.
    """

    def __init__(self):
        self.due_by_key: dict[Hashable, float] = {}

    def expire(self, now):
        """Drop the places of callers that did not return in time."""
        for key, due in list(self.due_by_key.items()):
            if due + HOLD_SECONDS < now:
                del self.due_by_key[key]

    def add(self, key, due):
        """Give a caller a place; without effect when there are too many."""
        if key in self.due_by_key or len(self.due_by_key) < MAX_PLACES:
            self.due_by_key[key] = due

    def is_due(self, key, now):
        """Tell whether the caller with a key may use its place."""
        due = self.due_by_key.get(key)
        return due is not None and due <= now + EARLY_SECONDS

    def count_before(self, key):
        """Return the number of places before that of a key, or of all without one."""
        own_due = self.due_by_key.get(key)
        if own_due is None:
            return len(self.due_by_key)
        return sum(1 for due in self.due_by_key.values() if due < own_due)

    def remove(self, key):
        """Drop the place of a caller that was served."""
        self.due_by_key.pop(key, None)

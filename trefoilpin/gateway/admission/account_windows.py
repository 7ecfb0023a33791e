"""Requests of one account in the sliding window, by host, and its token bucket."""

import math
from collections import deque

from trefoilpin.gateway.admission.return_times import Places, Room

__all__ = ["OWN", "AccountUsage"]

# Granularity of the sliding window in which admitted requests are counted.
SUBWINDOW_SECONDS = 0.1
# Key of this host's own requests among those by host.
OWN = ""


class AccountUsage:
    """Token bucket and sliding-window count of one account over the whole fleet.

    Attributes
    ----------
    tokens : float or None
        Requests that are allowed at once; None before the account's first request at
        this host.
    filled_at : float
        Clock time in seconds of the last refill of the bucket.
    limit : float or None
        Requests allowed in a window when the counts were last scaled.
    subwindows : deque of [float, dict]
        Start of a subwindow, and the requests counted in it by host.
    total : float
        Requests counted in all subwindows.
    total_by_host : dict
        The same by host; those of this host are under ``OWN``.
    places : Places
        Of the callers that were asked to return.
    """

    def __init__(self, now):
        self.tokens: float | None = None
        self.filled_at = now
        self.limit: float | None = None
        self.subwindows: deque[list] = deque()
        self.total = 0.0
        self.total_by_host: dict[str, float] = {}
        self.places = Places()
        self.logged_at = float("-inf")

    @property
    def own_total(self):
        return self.total_by_host.get(OWN, 0.0)

    def group_total(self, group):
        """Return the counted requests of this host and of some others."""
        total = self.own_total
        for host, count in self.total_by_host.items():
            if host in group:
                total += count
        return total

    def add(self, count, at, uses_tokens=True, host=OWN):
        """Count admitted requests; a negative count takes some back."""
        if uses_tokens and self.tokens is not None:
            self.tokens -= count
        self.total += count
        self.total_by_host[host] = self.total_by_host.get(host, 0.0) + count
        counts = self.find_subwindow(at)
        counts[host] = counts.get(host, 0.0) + count

    def find_subwindow(self, at):
        """Return the counts of the subwindow of a time, which may be a past one."""
        position = len(self.subwindows)
        while position and self.subwindows[position - 1][0] > at:
            position -= 1
        if position and at - self.subwindows[position - 1][0] < SUBWINDOW_SECONDS:
            return self.subwindows[position - 1][1]
        self.subwindows.insert(position, [at, {}])
        return self.subwindows[position][1]

    def own_count(self):
        """Return this host's requests in the window, rounded up."""
        return max(math.ceil(self.own_total), 0)

    def own_slots(self, now):
        """Return this host's requests in the window by age in whole seconds."""
        slots = [0.0]
        for started_at, counts in self.subwindows:
            slot = int(now - started_at)
            slots.extend([0.0] * (slot + 1 - len(slots)))
            slots[slot] += counts.get(OWN, 0.0)
        return tuple(max(math.ceil(count), 0) for count in slots)

    def counts_since(self, at):
        """Return the requests since a time, or a little more, by host."""
        counts_by_host: dict[str, float] = {}
        for started_at, counts in reversed(self.subwindows):
            if started_at + SUBWINDOW_SECONDS < at:
                break
            for host, count in counts.items():
                counts_by_host[host] = counts_by_host.get(host, 0.0) + count
        return counts_by_host

    def expire(self, before):
        """Drop subwindows that began before a time."""
        while self.subwindows and self.subwindows[0][0] < before:
            _, counts = self.subwindows.popleft()
            for host, count in counts.items():
                self.total -= count
                self.total_by_host[host] -= count
        if not self.subwindows:
            self.total_by_host.clear()

    def scale(self, limit):
        """Scale the counts of a previous limit in proportion to a new one."""
        factor = limit / (self.limit or limit)
        self.limit = limit
        self.total *= factor
        for counts in (self.total_by_host, *(item[1] for item in self.subwindows)):
            for host in counts:
                counts[host] *= factor

    def room(self, allowed, fill_rate, window, now):
        """Return the ``Room`` for further requests."""
        expiries = []
        for started_at, counts in self.subwindows:
            remaining = max(started_at + window - now, 0.0)
            expiries.append((remaining, sum(counts.values())))
        window_room = allowed - self.total
        return Room(self.tokens, fill_rate, window_room, tuple(expiries))

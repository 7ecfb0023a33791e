"""How many retries some requests pay for, whenever both come.

In any window, a pool may get a share of a retry for each request in that window, or in
the one before it, whichever has more, which is at least half of those in both. So the
retries since any time are held to half of the share of the requests since a window
before that time. Such sums can be added: what two hosts allow by the requests that
each of them counts, together they may send.

Times are rounded to slots so that a request counts as earlier than it was and a retry
as later, and a retry may be sent some time after it was recorded.
"""

from typing import NamedTuple

__all__ = [
    "SLOT_SECONDS",
    "Ledger",
    "LedgerBounds",
    "available",
    "create_bounds",
    "has_retries",
    "is_used",
    "record_requests",
    "record_retries",
    "take_requests",
]

SLOT_SECONDS = 0.25


class LedgerBounds(NamedTuple):
    """Bounds of a ledger.

    Attributes
    ----------
    half_share : float
        Retries for each request in two windows.
    lookback_slots : int
        Slots before a time in which requests pay for the retries since.
    span_slots : int
        Slots for which a retry counts.
    """

    half_share: float
    lookback_slots: int
    span_slots: int


class Ledger:
    """Requests that pay for retries, and the retries, by slot."""

    def __init__(self):
        self.requests_by_slot: dict[int, int] = {}
        self.retries_by_slot: dict[int, int] = {}


def create_bounds(share, window, delay):
    """Return the ``LedgerBounds`` of a window.

    Parameters
    ----------
    share : float
        Retries for each request.
    window : float
        Seconds.
    delay : float
        Seconds from the recording of a retry by which it is sent.
    """
    lookback = int((window - delay) / SLOT_SECONDS) - 1
    return LedgerBounds(share / 2.0, lookback, int((window + delay) / SLOT_SECONDS) + 2)


def slot_of(time):
    return int(time / SLOT_SECONDS)


def record_requests(ledger, bounds, time, count=1):
    """Count requests at a time, which may be a past one."""
    slot = slot_of(time)
    requests = ledger.requests_by_slot
    if slot not in requests:
        expire(requests, slot - bounds.lookback_slots - bounds.span_slots)
    requests[slot] = requests.get(slot, 0) + count


def record_retries(ledger, bounds, time, count=1):
    """Count retries, which are sent soon after that time."""
    slot = slot_of(time)
    retries = ledger.retries_by_slot
    if slot not in retries:
        expire(retries, slot - bounds.span_slots)
    retries[slot] = retries.get(slot, 0) + count


def expire(count_by_slot, before):
    for slot in list(count_by_slot):
        if slot < before:
            del count_by_slot[slot]


def has_retries(ledger, bounds, time):
    """Tell whether a retry that counts at a time was recorded."""
    expire(ledger.retries_by_slot, slot_of(time) - bounds.span_slots)
    return bool(ledger.retries_by_slot)


def is_used(ledger, bounds, time):
    """Tell whether anything that counts at a time was recorded."""
    oldest = slot_of(time) - bounds.lookback_slots - bounds.span_slots
    expire(ledger.requests_by_slot, oldest)
    return bool(ledger.requests_by_slot) or has_retries(ledger, bounds, time)


def available(ledger, bounds, time):
    """Return the retries that the requests still pay for.

    Parameters
    ----------
    ledger : Ledger
    bounds : LedgerBounds
    time : float

    Returns
    -------
    float
    """
    now = slot_of(time)
    requests, retries = ledger.requests_by_slot, ledger.retries_by_slot
    first = now + 1 - bounds.lookback_slots
    paying = sum(requests.get(slot, 0) for slot in range(first, now + 1))
    left = bounds.half_share * paying
    if not retries:
        return left
    sent = 0
    for slot in range(now, now - bounds.span_slots - 1, -1):
        sent += retries.get(slot, 0)
        left = min(left, bounds.half_share * paying - sent)
        paying += requests.get(slot - bounds.lookback_slots, 0)
    return left


def take_requests(ledger, time, most):
    """Remove the requests of some seconds; return their number by age in seconds.

    Parameters
    ----------
    ledger : Ledger
    time : float
    most : int
        Number of seconds.

    Returns
    -------
    tuple of int
    """
    counts = [0] * most
    for slot, count in ledger.requests_by_slot.items():
        age = int(time - slot * SLOT_SECONDS)
        if 0 <= age < most:
            counts[age] += count
    ledger.requests_by_slot.clear()
    while counts and not counts[-1]:
        counts.pop()
    return tuple(counts)

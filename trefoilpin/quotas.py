"""Quota of one account at its owner: borrowed units in one bucket, and reservations.

The bucket's level plus the outstanding reservations never exceeds the burst of the
borrowed units. The tokens spent in any time window were therefore outstanding or in
the bucket when it began, or accrued in it: at most burst + rate x time.

Reservations can outlive an expired loan. They are renewed only when they fit the
burst of the remaining units, and the lender waits until the others have expired.
"""

import math

from trefoilpin.buckets import Bucket, refill, seconds_until
from trefoilpin.limit_messages import ReservationReply

__all__ = [
    "Quota",
    "refresh",
    "remove_lender",
    "reserve",
    "set_account",
    "set_lender_units",
    "take_token",
]

UNAVAILABLE_RETRY_SECONDS = 0.1
MAX_GRANT_SHARE = 0.5


class Reservation:
    """Tokens reserved for one host that it may still spend.

    Attributes
    ----------
    sequence : int
        Sequence number of the host's latest request.
    tokens : int
        Tokens that are not known to be spent.
    granted_at, expires_at : float
        Clock times in seconds. The host stops spending earlier than ``expires_at``, so
        that it can still report the tokens that it did not spend.
    """

    __slots__ = ("sequence", "tokens", "granted_at", "expires_at")

    def __init__(self, now):
        self.sequence = 0
        self.tokens = 0
        self.granted_at = now
        self.expires_at = now


class Quota:
    """Units borrowed for one account, with their token bucket and reservations.

    Attributes
    ----------
    account : ClientAccount
        The account's record in force on this host.
    units_by_lender : dict
    units, total : int
        Borrowed units, and units of the whole ledger.
    bucket : Bucket
    reservation_by_host : dict
    outstanding : int
        Sum of the reserved tokens that may still be spent.
    next_expiry : float
        Clock time at which the next reservation expires.
    opened_at, last_decrease_at, last_used_at : float
        Clock times of creation, of the latest loss of units and of the latest use.
    """

    def __init__(self, account, now):
        self.account = account
        self.units_by_lender: dict[str, int] = {}
        self.units = 0
        self.total = 1
        self.bucket = Bucket(0.0, now)
        self.reservation_by_host: dict[str, Reservation] = {}
        self.outstanding = 0
        self.next_expiry = float("inf")
        self.last_decrease_at = now
        self.opened_at = now
        self.last_used_at = now


def tokens_per_second(quota):
    """Return the rate of the borrowed units in tokens per second."""
    return quota.account.rate * quota.units / quota.total


def refresh(quota, now):
    """Drop expired reservations and add the accrued tokens.

    Parameters
    ----------
    quota : Quota
    now : float
        Seconds.
    """
    if now >= quota.next_expiry:
        expire_reservations(quota, now)
    capacity = quota.account.burst * quota.units / quota.total - quota.outstanding
    refill(quota.bucket, tokens_per_second(quota), capacity, now)


def expire_reservations(quota, now):
    """Drop the reservations that have expired."""
    quota.next_expiry = float("inf")
    for host, reservation in list(quota.reservation_by_host.items()):
        if now >= reservation.expires_at:
            quota.outstanding -= reservation.tokens
            del quota.reservation_by_host[host]
            continue
        quota.next_expiry = min(quota.next_expiry, reservation.expires_at)


def set_lender_units(quota, lender, units, total, level, now):
    """Set the units borrowed from a lender, and add the tokens lent with them.

    Parameters
    ----------
    quota : Quota
    lender : str
        Incarnation.
    units, total : int
    level : float
        Tokens lent with the units.
    now : float
        Seconds.
    """
    refresh(quota, now)
    previous_units = quota.units_by_lender.get(lender, 0)
    if units < previous_units:
        quota.last_decrease_at = now
        quota.bucket.level *= (quota.units - previous_units + units) / quota.units
    quota.units_by_lender[lender] = units
    quota.units += units - previous_units
    quota.total = total
    quota.bucket.level += level
    refresh(quota, now)


def remove_lender(quota, lender, now):
    """Remove a lender's units with their share of the level; return that share."""
    refresh(quota, now)
    previous_units = quota.units_by_lender.pop(lender, 0)
    if not previous_units:
        return 0.0
    quota.last_decrease_at = now
    level = quota.bucket.level * previous_units / quota.units
    quota.bucket.level -= level
    quota.units -= previous_units
    refresh(quota, now)
    return level


def set_account(quota, account, now):
    """Apply a changed rate and burst from now on; the level is not raised."""
    refresh(quota, now)
    quota.account = account
    refresh(quota, now)


def take_token(quota, now):
    """Take one token; return 0, or the seconds until the next one if there is none."""
    refresh(quota, now)
    quota.last_used_at = now
    if quota.bucket.level >= 1:
        quota.bucket.level -= 1
        return 0.0
    return seconds_until_token(quota)


def seconds_until_token(quota):
    """Return the seconds until another token is expected."""
    if not quota.units:
        return UNAVAILABLE_RETRY_SECONDS
    return max(seconds_until(quota.bucket, tokens_per_second(quota), 1), 0.001)


def reserve(quota, host, request, now, durations):
    """Reserve tokens for another host.

    Parameters
    ----------
    quota : Quota
    host : str
        Incarnation.
    request : ReservationRequest
    now : float
        Seconds.
    durations : LimitDurations

    Returns
    -------
    ReservationReply
    """
    refresh(quota, now)
    quota.last_used_at = now
    reservation = quota.reservation_by_host.get(host)
    if reservation is None:
        reservation = quota.reservation_by_host[host] = Reservation(now)
    if request.sequence <= reservation.sequence:
        return ReservationReply(0, 0.0, UNAVAILABLE_RETRY_SECONDS, True)
    reservation.sequence = request.sequence
    reconcile_reservation(quota, reservation, request)
    refresh(quota, now)
    capacity = quota.account.burst * quota.units / quota.total
    if not quota.units or quota.outstanding > capacity:
        available = quota.units > 0
        return ReservationReply(0, 0.0, seconds_until_token(quota), available)
    level = quota.bucket.level
    tokens = min(request.wanted, max(math.floor(level * MAX_GRANT_SHARE), 1))
    tokens = tokens if level >= 1 else 0
    quota.bucket.level -= tokens
    quota.outstanding += tokens
    reservation.tokens += tokens
    reservation.granted_at, reservation.expires_at = (
        now,
        now + durations.reservation_lapse_seconds,
    )
    quota.next_expiry = min(quota.next_expiry, reservation.expires_at)
    wait = 0.0 if tokens else seconds_until_token(quota)
    return ReservationReply(tokens, durations.reservation_seconds, wait, True)


def reconcile_reservation(quota, reservation, request):
    """Release the tokens a host spent, and refill those it returned unspent.

    Tokens granted before the latest loss of units are not refilled, since they may
    belong to the lost units.
    """
    kept = min(request.kept, reservation.tokens)
    returned = min(request.returned, reservation.tokens - kept)
    quota.outstanding -= reservation.tokens - kept
    reservation.tokens = kept
    if reservation.granted_at > quota.last_decrease_at:
        quota.bucket.level += returned

"""Quota of one account at its owner: borrowed units as one bucket, reservations.

At any time the level and the outstanding reservations together are within the burst
of the units held. So whatever is spent in a window comes from what was outstanding
or in the bucket at its beginning, or accrued since: at most burst + rate x time.
Reservations outlive a loan that lapses; they are then renewed only once they fit the
units that are left, and the lender waits for the others to end.
"""

import math

from trefoilpin.buckets import Bucket, refill, seconds_until
from trefoilpin.limit_messages import ReservationReply

__all__ = [
    "Quota",
    "add_units",
    "change_account",
    "drop_lender",
    "reserve",
    "settle",
    "take",
]

UNAVAILABLE_RETRY_SECONDS = 0.1
GRANTED_SHARE = 0.5


class Reservation:
    """Tokens that one host may still spend.

    Attributes
    ----------
    sequence : int
        Of the host's last request.
    tokens : int
        Not known to be spent.
    made_at, until : float
        Seconds; the host may spend them for less long than they are counted here,
        so that it can still tell which ones it did not spend.
    """

    __slots__ = ("sequence", "tokens", "made_at", "until")

    def __init__(self, now):
        self.sequence = 0
        self.tokens = 0
        self.made_at = now
        self.until = now


class Quota:
    """Units borrowed for one account, their bucket and its reservations.

    Attributes
    ----------
    account : ClientAccount
        The state in force here.
    units_by_lender : dict
    units, total : int
        Units borrowed, and those of the whole ledger.
    bucket : Bucket
    reservation_by_host : dict
    outstanding : int
        Sum of the reservations that may still be spent.
    next_lapse : float
        Instant of the next reservation's end.
    opened_at, shrunk_at, used_at : float
        Instants of its making, of the last loss of units and the last use.
    """

    def __init__(self, account, now):
        self.account = account
        self.units_by_lender: dict[str, int] = {}
        self.units = 0
        self.total = 1
        self.bucket = Bucket(0.0, now)
        self.reservation_by_host: dict[str, Reservation] = {}
        self.outstanding = 0
        self.next_lapse = float("inf")
        self.shrunk_at = now
        self.opened_at = now
        self.used_at = now


def rate_of(quota):
    """Return the tokens a second of the units held."""
    return quota.account.rate * quota.units / quota.total


def settle(quota, now):
    """Void what lapsed and add what accrued.

    Parameters
    ----------
    quota : Quota
    now : float
        Seconds.
    """
    if now >= quota.next_lapse:
        void_reservations(quota, now)
    capacity = quota.account.burst * quota.units / quota.total - quota.outstanding
    refill(quota.bucket, rate_of(quota), capacity, now)


def void_reservations(quota, now):
    """Forget the reservations whose time is over."""
    quota.next_lapse = float("inf")
    for host, reservation in list(quota.reservation_by_host.items()):
        if now >= reservation.until:
            quota.outstanding -= reservation.tokens
            del quota.reservation_by_host[host]
            continue
        quota.next_lapse = min(quota.next_lapse, reservation.until)


def add_units(quota, lender, units, total, level, now):
    """Set the units that a lender lends, and add the tokens that come with them.

    Parameters
    ----------
    quota : Quota
    lender : str
        Incarnation.
    units, total : int
    level : float
        Tokens.
    now : float
        Seconds.
    """
    settle(quota, now)
    held = quota.units_by_lender.get(lender, 0)
    if units < held:
        quota.shrunk_at = now
        quota.bucket.level *= (quota.units - held + units) / quota.units
    quota.units_by_lender[lender] = units
    quota.units += units - held
    quota.total = total
    quota.bucket.level += level
    settle(quota, now)


def drop_lender(quota, lender, now):
    """Give up a lender's units with their share of the level; return that share."""
    settle(quota, now)
    held = quota.units_by_lender.pop(lender, 0)
    if not held:
        return 0.0
    quota.shrunk_at = now
    level = quota.bucket.level * held / quota.units
    quota.bucket.level -= level
    quota.units -= held
    settle(quota, now)
    return level


def change_account(quota, account, now):
    """Put a changed rate and burst in force from now on; nothing is added."""
    settle(quota, now)
    quota.account = account
    settle(quota, now)


def take(quota, now):
    """Take one token; return the seconds until there is one, 0 when taken."""
    settle(quota, now)
    quota.used_at = now
    if quota.bucket.level >= 1:
        quota.bucket.level -= 1
        return 0.0
    return wait_for_token(quota)


def wait_for_token(quota):
    """Return the seconds until another token is likely."""
    if not quota.units:
        return UNAVAILABLE_RETRY_SECONDS
    return max(seconds_until(quota.bucket, rate_of(quota), 1), 0.001)


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
    settle(quota, now)
    quota.used_at = now
    reservation = quota.reservation_by_host.get(host)
    if reservation is None:
        reservation = quota.reservation_by_host[host] = Reservation(now)
    if request.sequence <= reservation.sequence:
        return ReservationReply(0, 0.0, UNAVAILABLE_RETRY_SECONDS, True)
    reservation.sequence = request.sequence
    take_back(quota, reservation, request)
    settle(quota, now)
    capacity = quota.account.burst * quota.units / quota.total
    if not quota.units or quota.outstanding > capacity:
        available = quota.units > 0
        return ReservationReply(0, 0.0, wait_for_token(quota), available)
    level = quota.bucket.level
    tokens = min(request.wanted, max(math.floor(level * GRANTED_SHARE), 1))
    tokens = tokens if level >= 1 else 0
    quota.bucket.level -= tokens
    quota.outstanding += tokens
    reservation.tokens += tokens
    reservation.made_at, reservation.until = (
        now,
        now + durations.reservation_lapse_seconds,
    )
    quota.next_lapse = min(quota.next_lapse, reservation.until)
    wait = 0.0 if tokens else wait_for_token(quota)
    return ReservationReply(tokens, durations.reservation_seconds, wait, True)


def take_back(quota, reservation, request):
    """Count out what a host spent, and refill what it says it did not spend."""
    kept = min(request.kept, reservation.tokens)
    returned = min(request.returned, reservation.tokens - kept)
    quota.outstanding -= reservation.tokens - kept
    reservation.tokens = kept
    if reservation.made_at > quota.shrunk_at:
        quota.bucket.level += returned

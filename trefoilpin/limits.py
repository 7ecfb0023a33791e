"""Rate limiting of client accounts with tokens reserved at the account's quota owner.

The quota owner is the highest-ranked live host for the account by rendezvous hashing.
If it does not answer or has no units, the next host in the ranking is tried. The owner
takes tokens from the quota directly. Other hosts reserve tokens in batches sized by
recent demand, and prefetch the next batch before the current one is used up, so that
most requests are admitted without a message. Only recently active accounts have state.
"""

import math

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.limit_messages import ReservationReply, ReservationRequest
from trefoilpin.services import Limits
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

MAX_OWNERS_TRIED = 3
REQUEST_TIMEOUT_SECONDS = 0.25
OWNER_SKIP_SECONDS = 1.0
IDLE_EXPIRY_SECONDS = 60.0
EVICTION_INTERVAL_SECONDS = 10.0
MIN_INTERVAL_SECONDS = 0.02
MAX_BATCH_TOKENS = 1000
MAX_WAITING_REQUESTS = 256
RETRY_AFTER_SECONDS = 1.0

ADMITTED = Success(None)
NOT_CURRENT = Failure(
    Refusal(
        Reason.NOT_CURRENT,
        Verdict.NOT_RUN,
        "this host has lost touch with the others; use another address",
        RETRY_AFTER_SECONDS,
    )
)
NO_UNITS = Failure(
    Refusal(
        Reason.NOT_CURRENT,
        Verdict.NOT_RUN,
        "the account's rate is being moved to another host",
        RETRY_AFTER_SECONDS,
    )
)
# A late reply to an earlier request must not restore dropped tokens.
NO_SEQUENCE = -1
TOKEN_SPENT = ReservationReply(1, 0.0, 0.0, True)
UNREACHABLE = ReservationReply(0, 0.0, 0.0, False)


class LocalReservation:
    """Tokens of one account that are reserved for this host.

    Attributes
    ----------
    owner : str
        Incarnation of the quota owner that granted the tokens.
    tokens : int
    expires_at : float
        Clock time in seconds from which the tokens may not be spent.
    sequence : int
        Sequence number of the latest reservation request.
    requested_at, next_request_at : float
        Clock times in seconds of the latest request and of the earliest next one.
    spent_tokens : int
        Tokens spent since ``requested_at``.
    demand : float
        Smoothed demand in tokens a second.
    refill_below : int
        The next batch is requested when fewer tokens than this are left.
    is_available : bool
        False if no owner had units at the latest request.
    pending : object or None
        Event that is sent when the request in flight completes.
    waiting : int
        Caller requests waiting for a token.
    last_used_at : float
        Clock time in seconds.
    membership_version : int
        Version of the membership for which ``ranked`` was computed.
    ranked : tuple of Host
        Hosts to try, the quota owner first.
    """

    def __init__(self, now):
        self.owner = ""
        self.tokens = 0
        self.expires_at = now
        self.sequence = 0
        self.requested_at = now
        self.next_request_at = now
        self.spent_tokens = 0
        self.demand = 0.0
        self.refill_below = 0
        self.is_available = True
        self.pending = None
        self.waiting = 0
        self.last_used_at = now
        self.membership_version = -1
        self.ranked = ()


class LimitState:
    """Reservations of recently active accounts, and owners that did not answer."""

    def __init__(self):
        self.reservation_by_account: dict[str, LocalReservation] = {}
        self.skipped_until_by_owner: dict[str, float] = {}
        self.sequence = 0
        self.membership_version = 0


def create(kernel, durations, create_event, max_wait):
    """Create the service ``limits``.

    Parameters
    ----------
    kernel : Kernel
    durations : LimitDurations
    create_event : callable
        Creates an event with ``wait(timeout)`` and ``send()``.
    max_wait : float
        Longest time in seconds that a request may wait for a token.

    Returns
    -------
    Limits
    """
    state = LimitState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    memberships = kernel.find("memberships")
    configurations = kernel.find("configurations")
    quota_owners = kernel.find("quota_owners")
    peers = kernel.find("peers")
    own = memberships.own().incarnation

    def admit(account, deadline):
        if not memberships.is_current():
            return NOT_CURRENT
        reservation = find_reservation(account.id)
        if spend_token(account, reservation):
            return ADMITTED
        reply = acquire_token(account, reservation)
        if not reply.tokens and reply.retry_after <= max_wait:
            reply = wait_for_token(
                account, reservation, reply, min(deadline, now() + max_wait)
            )
        if reply.tokens:
            return ADMITTED
        if not memberships.is_current():
            return NOT_CURRENT
        return to_refusal(reply)

    def to_refusal(reply):
        if not reply.available:
            return NO_UNITS
        detail = "the account is over its rate"
        wait = reply.retry_after
        return Failure(Refusal(Reason.RATE_EXCEEDED, Verdict.NOT_RUN, detail, wait))

    def find_reservation(account_id):
        instant = now()
        reservation = state.reservation_by_account.get(account_id)
        if reservation is None:
            reservation = state.reservation_by_account[account_id] = LocalReservation(
                instant
            )
        if reservation.membership_version != state.membership_version:
            ranked = memberships.ranked(f"limits/{account_id}")
            reservation.ranked = ranked[:MAX_OWNERS_TRIED]
            reservation.membership_version = state.membership_version
        reservation.last_used_at = instant
        return reservation

    def spend_token(account, reservation):
        """Spend a reserved token, and prefetch the next batch when few are left."""
        if reservation.tokens < 1 or now() >= reservation.expires_at:
            return False
        reservation.tokens -= 1
        reservation.spent_tokens += 1
        if (
            reservation.tokens < reservation.refill_below
            and reservation.pending is None
            and now() >= reservation.next_request_at
        ):
            reservation.pending = create_event()
            kernel.spawn(request_tokens, account, reservation)
        return True

    def wait_for_token(account, reservation, reply, until):
        """Retry when a token is due, after the requests that already wait."""
        if reservation.waiting >= min(MAX_WAITING_REQUESTS, account.burst):
            return reply
        reservation.waiting += 1
        try:
            while not reply.tokens:
                wait = reply.retry_after * (
                    reservation.waiting if reply.available else 1
                )
                wait = max(wait, MIN_INTERVAL_SECONDS)
                if now() + wait > until:
                    break
                kernel.clock.sleep(wait)
                if not memberships.is_current():
                    return UNREACHABLE
                if spend_token(account, reservation):
                    return TOKEN_SPENT
                reply = acquire_token(account, reservation)
        finally:
            reservation.waiting -= 1
        return reply

    def acquire_token(account, reservation):
        """Take one token through the owner, or join the request in flight."""
        if reservation.ranked and reservation.ranked[0].incarnation == own:
            reply = quota_owners.take(account.id)
            if reply.available:
                return reply
        if reservation.pending is not None:
            reservation.pending.wait(REQUEST_TIMEOUT_SECONDS)
        elif now() >= reservation.next_request_at:
            reservation.pending = create_event()
            return request_tokens(account, reservation, True)
        if spend_token(account, reservation):
            return TOKEN_SPENT
        wait = max(reservation.next_request_at - now(), MIN_INTERVAL_SECONDS)
        return ReservationReply(0, 0.0, wait, reservation.is_available)

    def request_tokens(account, reservation, spend_one=False):
        """Request tokens from the owners, and spend one of them if ``spend_one``."""
        try:
            reply = request_from_owners(account, reservation)
            reservation.is_available = reply.available
        finally:
            pending, reservation.pending = reservation.pending, None
            pending.send()
        if spend_one and reply.tokens and reservation.owner != own:
            if not spend_token(account, reservation):
                return ReservationReply(0, 0.0, MIN_INTERVAL_SECONDS, True)
        return reply

    def request_from_owners(account, reservation):
        reply = UNREACHABLE
        for host in reservation.ranked:
            if host.incarnation == own:
                reply = quota_owners.take(account.id)
                if reply.available:
                    reservation.owner, reservation.tokens = own, 0
                    return reply
                continue
            if now() < state.skipped_until_by_owner.get(host.incarnation, 0.0):
                continue
            owner_reply = request_from_owner(account, reservation, host)
            if owner_reply is None:
                state.skipped_until_by_owner[host.incarnation] = (
                    now() + OWNER_SKIP_SECONDS
                )
                continue
            reply = owner_reply
            if reply.available:
                return reply
        reservation.next_request_at = now() + MIN_INTERVAL_SECONDS
        return reply._replace(retry_after=4 * MIN_INTERVAL_SECONDS)

    def request_from_owner(account, reservation, host):
        """Request tokens from one owner; return None if it did not answer."""
        sent_at = now()
        if reservation.owner != host.incarnation:
            reservation.owner, reservation.tokens = host.incarnation, 0
        returned = 0
        if sent_at >= reservation.expires_at:
            returned, reservation.tokens = reservation.tokens, 0
        update_demand(reservation, sent_at)
        batch = math.ceil(reservation.demand * durations.reservation_seconds)
        batch = max(min(batch, MAX_BATCH_TOKENS, math.ceil(account.burst)), 1)
        reservation.refill_below = batch // 2
        state.sequence += 1
        reservation.sequence = state.sequence
        wanted = max(batch - reservation.tokens, 1)
        request = ReservationRequest(
            account.id, reservation.sequence, reservation.tokens, returned, wanted
        )
        outcome = peers.call(
            host.peer_address, "reserve_tokens", request, REQUEST_TIMEOUT_SECONDS
        )
        reply = outcome.value_or(None)
        if reply is None:
            detail = outcome.failure().detail
            owner = host.incarnation
            emit(events.OWNER_SKIPPED, account=account.id, owner=owner, detail=detail)
            return None
        if reservation.sequence == request.sequence:
            add_tokens(reservation, reply, sent_at)
        return reply

    def update_demand(reservation, sent_at):
        elapsed = max(sent_at - reservation.requested_at, MIN_INTERVAL_SECONDS)
        reservation.demand = (
            reservation.demand + reservation.spent_tokens / elapsed
        ) / 2
        reservation.requested_at, reservation.spent_tokens = sent_at, 0

    def add_tokens(reservation, reply, sent_at):
        instant = now()
        if instant >= reservation.expires_at:
            reservation.tokens = 0
        if reply.lifetime:
            reservation.tokens += reply.tokens
            reservation.expires_at = sent_at + reply.lifetime
        if not reply.tokens:
            reservation.next_request_at = instant + max(
                reply.retry_after, MIN_INTERVAL_SECONDS
            )

    def drop_reservations(changes):
        """Drop the reservations of changed accounts, which have the old rate."""
        for change in changes:
            if (
                change.kind != "account"
                or change.id not in state.reservation_by_account
            ):
                continue
            reservation = state.reservation_by_account.pop(change.id)
            reservation.sequence, reservation.expires_at = NO_SEQUENCE, float("-inf")

    def on_membership_change():
        state.membership_version += 1

    def evict_idle():
        instant = now()
        for account_id, reservation in list(state.reservation_by_account.items()):
            if (
                instant - reservation.last_used_at > IDLE_EXPIRY_SECONDS
                and reservation.pending is None
            ):
                del state.reservation_by_account[account_id]
        for incarnation, until in list(state.skipped_until_by_owner.items()):
            if instant >= until:
                del state.skipped_until_by_owner[incarnation]

    def evict_forever():
        while True:
            evict_idle()
            kernel.clock.sleep(EVICTION_INTERVAL_SECONDS)

    configurations.subscribe(drop_reservations)
    memberships.subscribe(on_membership_change)
    service = Limits(admit)
    kernel.register("limits", service, lambda: kernel.spawn(evict_forever))
    return service

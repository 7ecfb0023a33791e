"""Admission at the entry host: spends tokens reserved at the account's quota owner.

The owner is the first live host for the account by rendezvous hash; where it does
not answer or has no units, the next one is asked. The owner itself spends from the
quota. Other hosts reserve tokens in batches sized by their recent demand and ask
again before a batch ends, so that most requests need a comparison and a subtraction.
State is kept for accounts seen lately alone.
"""

import math

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.limit_messages import ReservationReply, ReservationRequest
from trefoilpin.services import Limits
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create"]

MAX_OWNERS_ASKED = 3
ASK_TIMEOUT_SECONDS = 0.25
SKIP_SECONDS = 1.0
FORGET_SECONDS = 60.0
SWEEP_SECONDS = 10.0
MIN_ASK_SECONDS = 0.02
MAX_BATCH = 1000
MAX_WAITING = 256
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
VOID_SEQUENCE = -1
SPENT = ReservationReply(1, 0.0, 0.0, True)
UNREACHABLE = ReservationReply(0, 0.0, 0.0, False)


class Hand:
    """Tokens of one account reserved for this host.

    Attributes
    ----------
    owner : str
        Incarnation that reserved them.
    tokens : int
    until : float
        Seconds; they are void from then on.
    sequence : int
        Of the last request.
    asked_at, next_ask : float
        Seconds; nothing is asked before ``next_ask``.
    spent : int
        Since ``asked_at``.
    demand : float
        Recent tokens a second.
    low : int
        Tokens at which the next batch is asked for.
    is_available : bool
        False when no owner had units at the last request.
    fetching : object or None
        Event that is sent when the request under way ends.
    waiting : int
        Requests that wait for a token.
    """

    def __init__(self, now):
        self.owner = ""
        self.tokens = 0
        self.until = now
        self.sequence = 0
        self.asked_at = now
        self.next_ask = now
        self.spent = 0
        self.demand = 0.0
        self.low = 0
        self.is_available = True
        self.fetching = None
        self.waiting = 0
        self.used_at = now
        self.epoch = -1
        self.ranked = ()


class LimitState:
    """Hands of the accounts seen lately, and owners that did not answer."""

    def __init__(self):
        self.hand_by_account: dict[str, Hand] = {}
        self.skipped_until: dict[str, float] = {}
        self.sequence = 0
        self.epoch = 0


def create(kernel, terms, create_event, max_wait):
    """Create the service ``limits``.

    Parameters
    ----------
    kernel : Kernel
    terms : Terms
    create_event : callable
        Makes an event with ``wait(timeout)`` and ``send()``.
    max_wait : float
        Seconds a request may wait for a token.

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
        hand = find_hand(account.id)
        if spend(account, hand):
            return ADMITTED
        reply = obtain(account, hand)
        if not reply.tokens and reply.retry_after <= max_wait:
            reply = wait_for_token(
                account, hand, reply, min(deadline, now() + max_wait)
            )
        if reply.tokens:
            return ADMITTED
        if not memberships.is_current():
            return NOT_CURRENT
        return refuse(reply)

    def refuse(reply):
        if not reply.available:
            return NO_UNITS
        detail = "the account is over its rate"
        wait = reply.retry_after
        return Failure(Refusal(Reason.RATE_EXCEEDED, Verdict.NOT_RUN, detail, wait))

    def find_hand(account_id):
        instant = now()
        hand = state.hand_by_account.get(account_id)
        if hand is None:
            hand = state.hand_by_account[account_id] = Hand(instant)
        if hand.epoch != state.epoch:
            ranked = memberships.ranked(f"limits/{account_id}")
            hand.ranked = ranked[:MAX_OWNERS_ASKED]
            hand.epoch = state.epoch
        hand.used_at = instant
        return hand

    def spend(account, hand):
        """Spend a token in hand; ask for more in time."""
        if hand.tokens < 1 or now() >= hand.until:
            return False
        hand.tokens -= 1
        hand.spent += 1
        if hand.tokens < hand.low and hand.fetching is None and now() >= hand.next_ask:
            hand.fetching = create_event()
            kernel.spawn(fetch, account, hand)
        return True

    def wait_for_token(account, hand, reply, until):
        """Try again when a token is due; those that wait already come first."""
        if hand.waiting >= min(MAX_WAITING, account.burst):
            return reply
        hand.waiting += 1
        try:
            while not reply.tokens:
                wait = reply.retry_after * (hand.waiting if reply.available else 1)
                wait = max(wait, MIN_ASK_SECONDS)
                if now() + wait > until:
                    break
                kernel.clock.sleep(wait)
                if not memberships.is_current():
                    return UNREACHABLE
                if spend(account, hand):
                    return SPENT
                reply = obtain(account, hand)
        finally:
            hand.waiting -= 1
        return reply

    def obtain(account, hand):
        """Get one token from the owner, waiting for a request under way."""
        if hand.ranked and hand.ranked[0].incarnation == own:
            reply = quota_owners.take(account.id)
            if reply.available:
                return reply
        if hand.fetching is not None:
            hand.fetching.wait(ASK_TIMEOUT_SECONDS)
        elif now() >= hand.next_ask:
            hand.fetching = create_event()
            return fetch(account, hand, True)
        if spend(account, hand):
            return SPENT
        wait = max(hand.next_ask - now(), MIN_ASK_SECONDS)
        return ReservationReply(0, 0.0, wait, hand.is_available)

    def fetch(account, hand, spends=False):
        """Ask the owners in order; return the reply, with one token spent if asked."""
        try:
            reply = ask_in_order(account, hand)
            hand.is_available = reply.available
        finally:
            fetching, hand.fetching = hand.fetching, None
            fetching.send()
        if spends and reply.tokens and hand.owner != own:
            if not spend(account, hand):
                return ReservationReply(0, 0.0, MIN_ASK_SECONDS, True)
        return reply

    def ask_in_order(account, hand):
        reply = UNREACHABLE
        for host in hand.ranked:
            if host.incarnation == own:
                reply = quota_owners.take(account.id)
                if reply.available:
                    hand.owner, hand.tokens = own, 0
                    return reply
                continue
            if now() < state.skipped_until.get(host.incarnation, 0.0):
                continue
            answered = ask(account, hand, host)
            if answered is None:
                state.skipped_until[host.incarnation] = now() + SKIP_SECONDS
                continue
            reply = answered
            if reply.available:
                return reply
        hand.next_ask = now() + MIN_ASK_SECONDS
        return reply._replace(retry_after=4 * MIN_ASK_SECONDS)

    def ask(account, hand, host):
        """Ask one owner and take its tokens in hand; None when it did not answer."""
        asked = now()
        if hand.owner != host.incarnation:
            hand.owner, hand.tokens = host.incarnation, 0
        returned = 0
        if asked >= hand.until:
            returned, hand.tokens = hand.tokens, 0
        measure_demand(hand, asked)
        batch = math.ceil(hand.demand * terms.reservation)
        batch = max(min(batch, MAX_BATCH, math.ceil(account.burst)), 1)
        hand.low = batch // 2
        state.sequence += 1
        hand.sequence = state.sequence
        wanted = max(batch - hand.tokens, 1)
        request = ReservationRequest(
            account.id, hand.sequence, hand.tokens, returned, wanted
        )
        called = peers.call(
            host.peer_address, "reserve_tokens", request, ASK_TIMEOUT_SECONDS
        )
        reply = called.value_or(None)
        if reply is None:
            detail = called.failure().detail
            owner = host.incarnation
            emit(events.OWNER_SKIPPED, account=account.id, owner=owner, detail=detail)
            return None
        if hand.sequence == request.sequence:
            take_in_hand(hand, reply, asked)
        return reply

    def measure_demand(hand, asked):
        elapsed = max(asked - hand.asked_at, MIN_ASK_SECONDS)
        hand.demand = (hand.demand + hand.spent / elapsed) / 2
        hand.asked_at, hand.spent = asked, 0

    def take_in_hand(hand, reply, asked):
        instant = now()
        if instant >= hand.until:
            hand.tokens = 0
        if reply.lifetime:
            hand.tokens += reply.tokens
            hand.until = asked + reply.lifetime
        if not reply.tokens:
            hand.next_ask = instant + max(reply.retry_after, MIN_ASK_SECONDS)

    def forget_reservations(changes):
        """Drop the tokens of accounts whose rate or burst changed."""
        for change in changes:
            if change.kind != "account" or change.id not in state.hand_by_account:
                continue
            hand = state.hand_by_account.pop(change.id)
            hand.sequence, hand.until = VOID_SEQUENCE, float("-inf")

    def on_membership():
        state.epoch += 1

    def sweep():
        instant = now()
        for account_id, hand in list(state.hand_by_account.items()):
            if instant - hand.used_at > FORGET_SECONDS and hand.fetching is None:
                del state.hand_by_account[account_id]
        for incarnation, until in list(state.skipped_until.items()):
            if instant >= until:
                del state.skipped_until[incarnation]

    def sweep_forever():
        while True:
            sweep()
            kernel.clock.sleep(SWEEP_SECONDS)

    configurations.subscribe(forget_reservations)
    memberships.subscribe(on_membership)
    service = Limits(admit)
    kernel.register("limits", service, lambda: kernel.spawn(sweep_forever))
    return service

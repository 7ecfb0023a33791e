"""Roster of the fleet, ages of its hosts and heads of the store: state and merging."""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

from trefoilpin.notices import NoticeItem
from trefoilpin.records import Host

__all__ = [
    "NEVER",
    "MembershipState",
    "PullReply",
    "PullRequest",
    "SyncReply",
    "SyncRequest",
    "decode_host",
    "encode_ages",
    "encode_host",
    "merge_ages",
    "note_head",
    "settle_heads",
    "update_order",
]

AGE_STEP_SECONDS = 1 / 16
UNKNOWN_AGE = 255
REMEMBERED_ROSTERS = 64
MAX_PENDING_HEADS = 16
DIGEST_BYTES = 8
NEVER = float("-inf")


class PullRequest(NamedTuple):
    """Asks for what another host knows.

    Attributes
    ----------
    roster_digest : bytes
    explain : bool
        True to have the roster named in the reply.
    notice_digest, recent_notices : bytes
        What the puller knows.
    """

    roster_digest: bytes
    explain: bool
    notice_digest: bytes
    recent_notices: bytes


class PullReply(NamedTuple):
    """What a host knows.

    Attributes
    ----------
    roster_digest : bytes
        Tells the order of the ages, which is that of the sorted incarnations.
    ages : bytes
        One for each host, in steps of ``AGE_STEP_SECONDS``.
    incarnations : tuple of str
        Empty unless asked for.
    head : int
        Ticket up to which all are in force there.
    known_number : int
        Highest ticket that the host heard of.
    store_head : int
    store_age : float
        Seconds since a read of the store had that head; negative when unknown.
    notice_digest : bytes
    notices : tuple of NoticeItem
    joined : bool
        True when the host knows the whole roster.
    knows_sender : bool
        True when the puller is on the roster there.
    """

    roster_digest: bytes
    ages: bytes
    incarnations: tuple[str, ...]
    head: int
    known_number: int
    store_head: int
    store_age: float
    notice_digest: bytes
    notices: tuple[NoticeItem, ...]
    joined: bool
    knows_sender: bool


class SyncRequest(NamedTuple):
    """Asks for every notice that is not among these, and brings the sender's own.

    Attributes
    ----------
    notice_ids : bytes
    notices : tuple of NoticeItem
        The sender's record.
    """

    notice_ids: bytes
    notices: tuple[NoticeItem, ...]


class SyncReply(NamedTuple):
    """The notices that the other host lacked."""

    notices: tuple[NoticeItem, ...]


class MembershipState:
    """Roster, instants of evidence and what is known of the store's head."""

    def __init__(self, own):
        self.own = own
        self.host_by_incarnation: dict[str, Host] = {own.incarnation: own}
        self.heard_at: dict[str, float] = {}
        self.expires_at: dict[str, float] = {}
        self.successor_by_departed: dict[str, str] = {}
        self.rosters_by_digest: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()
        self.order: tuple[str, ...] = ()
        self.digest = b""
        self.is_stale = True
        self.joined = False
        self.caught_up = False
        self.leaving = False
        self.enrolled = False
        self.enroll_tried_at = NEVER
        self.explain = True
        self.synced_at = NEVER
        self.renewed_at = NEVER
        self.swept_at = NEVER
        self.pulls = 0
        self.partners: list[str] = []
        self.removed: set[str] = set()
        self.live: tuple[Host, ...] = (own,)
        self.ranked_by_name: dict[str, tuple[Host, ...]] = {}
        self.subscribers: list = []
        self.behind_functions: list = []
        self.seen_at_by_head: dict[int, float] = {}
        self.store_head = 0
        self.store_seen_at = NEVER
        self.known_number = 0
        self.was_current = True


def encode_host(host):
    """Return a host's record as one line of text."""
    return "\t".join(host)


def decode_host(text):
    """Return the host that a line of text holds, or None."""
    parts = text.split("\t")
    return Host(*parts) if len(parts) == len(Host._fields) else None


def update_order(state):
    """Sort the roster anew if it changed, and remember its order by digest."""
    if not state.is_stale:
        return
    state.is_stale = False
    state.order = tuple(sorted(state.host_by_incarnation))
    text = "\n".join(state.order).encode()
    state.digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    state.rosters_by_digest[state.digest] = state.order
    state.rosters_by_digest.move_to_end(state.digest)
    while len(state.rosters_by_digest) > REMEMBERED_ROSTERS:
        state.rosters_by_digest.popitem(last=False)


def encode_ages(state, instant):
    """Return one byte for each host of the roster, rounded up.

    A host gives no evidence of itself before it knows every ticket that a majority
    knows, so that a replaced host can't vouch for what it has forgotten.
    """
    heard_at, never = state.heard_at, instant - UNKNOWN_AGE * AGE_STEP_SECONDS
    ages = [
        min(
            UNKNOWN_AGE,
            int((instant - heard_at.get(item, never)) / AGE_STEP_SECONDS) + 1,
        )
        for item in state.order
    ]
    if state.caught_up:
        ages[state.order.index(state.own.incarnation)] = 1
    return bytes(ages)


def merge_ages(state, order, ages, instant):
    """Keep the later evidence; ``instant`` is when the pull began."""
    heard_at = state.heard_at
    known, own = state.host_by_incarnation, state.own.incarnation
    for incarnation, steps in zip(order, ages):
        if steps == UNKNOWN_AGE or incarnation == own or incarnation not in known:
            continue
        evidence = instant - steps * AGE_STEP_SECONDS
        if evidence > heard_at.get(incarnation, NEVER):
            heard_at[incarnation] = evidence


def settle_heads(state, head):
    """Count the reads of the store whose head is in force here."""
    for number in list(state.seen_at_by_head):
        if number > head:
            continue
        seen_at = state.seen_at_by_head.pop(number)
        if seen_at > state.store_seen_at:
            state.store_seen_at = seen_at
            state.store_head = number


def note_head(state, number, seen_at):
    """Remember that a read of the store begun at an instant found a head."""
    state.known_number = max(state.known_number, number)
    if seen_at <= state.store_seen_at:
        return
    known = state.seen_at_by_head.get(number, NEVER)
    state.seen_at_by_head[number] = max(known, seen_at)
    if len(state.seen_at_by_head) > MAX_PENDING_HEADS:
        state.seen_at_by_head.pop(min(state.seen_at_by_head))

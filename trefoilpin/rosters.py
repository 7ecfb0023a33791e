"""State of the membership and how replies of other hosts are merged into it.

The roster holds every host that counts for a majority. The head of the store is the
number of the last ticket that a read of the store found.
"""

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
    "apply_reached_heads",
    "decode_host",
    "encode_ages",
    "encode_host",
    "merge_ages",
    "record_store_head",
    "update_order",
]

AGE_STEP_SECONDS = 1 / 16
UNKNOWN_AGE = 255
MAX_REMEMBERED_ROSTERS = 64
MAX_PENDING_HEADS = 16
DIGEST_BYTES = 8
NEVER = float("-inf")


class PullRequest(NamedTuple):
    """Request for the membership state of another host.

    Attributes
    ----------
    roster_digest : bytes
    explain : bool
        True when the reply should list the incarnations of the roster.
    notice_digest : bytes
        Digest of the notices that the puller knows.
    recent_notices : bytes
        Concatenated identifiers of the notices that the puller learned recently.
    """

    roster_digest: bytes
    explain: bool
    notice_digest: bytes
    recent_notices: bytes


class PullReply(NamedTuple):
    """Membership state of a host, in reply to a pull.

    Attributes
    ----------
    roster_digest : bytes
        Identifies the order of the ages, which is that of the sorted incarnations.
    ages : bytes
        One byte for each host, in steps of ``AGE_STEP_SECONDS``.
    incarnations : tuple of str
        Empty unless the request asked for it.
    head : int
        Highest number up to which every ticket is in force on that host.
    known_number : int
        Highest ticket number that the host knows to exist.
    store_head : int
        Last ticket of the latest read of the store whose tickets are all in force on
        that host.
    store_age : float
        Seconds since that read; negative when unknown.
    notice_digest : bytes
    notices : tuple of NoticeItem
    joined : bool
        True when the host knows the whole roster.
    knows_sender : bool
        True when the puller is on that host's roster.
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
    """Request for every notice that the sender lacks, with the sender's own record.

    Attributes
    ----------
    notice_ids : bytes
        Concatenated identifiers of all notices that the sender knows.
    notices : tuple of NoticeItem
        The sender's membership record.
    """

    notice_ids: bytes
    notices: tuple[NoticeItem, ...]


class SyncReply(NamedTuple):
    """Notices that the sender of the request lacked."""

    notices: tuple[NoticeItem, ...]


class MembershipState:
    """Roster, evidence that its hosts are alive, and known heads of the store.

    Attributes
    ----------
    last_alive_at : dict
        Latest time at which a host is known to have been alive, by incarnation.
    read_at_by_pending_head : dict
        Start of the latest read of the store that found a head which is not in force
        here yet.
    store_read_at : float
        Start of the latest read of the store whose head is in force here.
    """

    def __init__(self, own):
        self.own = own
        self.host_by_incarnation: dict[str, Host] = {own.incarnation: own}
        self.last_alive_at: dict[str, float] = {}
        self.expires_at: dict[str, float] = {}
        self.successor_by_departed: dict[str, str] = {}
        self.rosters_by_digest: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()
        self.order: tuple[str, ...] = ()
        self.digest = b""
        self.order_is_stale = True
        self.joined = False
        self.caught_up = False
        self.leaving = False
        self.enrolled = False
        self.last_enroll_at = NEVER
        self.explain = True
        self.last_sync_at = NEVER
        self.last_renewal_at = NEVER
        self.last_sweep_at = NEVER
        self.pulls = 0
        self.partners: list[str] = []
        self.removed: set[str] = set()
        self.live: tuple[Host, ...] = (own,)
        self.ranked_by_name: dict[str, tuple[Host, ...]] = {}
        self.subscribers: list = []
        self.newer_ticket_listeners: list = []
        self.read_at_by_pending_head: dict[int, float] = {}
        self.store_head = 0
        self.store_read_at = NEVER
        self.known_number = 0
        self.last_reported_current = True


def encode_host(host):
    """Return a host's record as tab-separated text."""
    return "\t".join(host)


def decode_host(text):
    """Return the host of tab-separated text, or None when it is malformed."""
    parts = text.split("\t")
    return Host(*parts) if len(parts) == len(Host._fields) else None


def update_order(state):
    """Update the order of the ages if the roster changed, and store it by digest."""
    if not state.order_is_stale:
        return
    state.order_is_stale = False
    state.order = tuple(sorted(state.host_by_incarnation))
    text = "\n".join(state.order).encode()
    state.digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    state.rosters_by_digest[state.digest] = state.order
    state.rosters_by_digest.move_to_end(state.digest)
    while len(state.rosters_by_digest) > MAX_REMEMBERED_ROSTERS:
        state.rosters_by_digest.popitem(last=False)


def encode_ages(state, now):
    """Return one byte for each host of the roster, rounded up.

    A host reports itself alive only after it was current once. Until then it may lack
    tickets that were accepted with the help of its earlier incarnation, and must not
    count for a majority that knows every accepted ticket.
    """
    last_alive_at, never = state.last_alive_at, now - UNKNOWN_AGE * AGE_STEP_SECONDS
    ages = [
        min(
            UNKNOWN_AGE,
            int((now - last_alive_at.get(item, never)) / AGE_STEP_SECONDS) + 1,
        )
        for item in state.order
    ]
    if state.caught_up:
        ages[state.order.index(state.own.incarnation)] = 1
    return bytes(ages)


def merge_ages(state, order, ages, pull_began_at):
    """Merge received ages, keeping the later evidence for each host.

    Ages count from the start of the pull, since the time at which the other host
    encoded them is unknown.
    """
    last_alive_at = state.last_alive_at
    known, own = state.host_by_incarnation, state.own.incarnation
    for incarnation, steps in zip(order, ages):
        if steps == UNKNOWN_AGE or incarnation == own or incarnation not in known:
            continue
        alive_at = pull_began_at - steps * AGE_STEP_SECONDS
        if alive_at > last_alive_at.get(incarnation, NEVER):
            last_alive_at[incarnation] = alive_at


def apply_reached_heads(state, head):
    """Advance ``store_read_at`` to the latest read whose head is now in force."""
    for number in list(state.read_at_by_pending_head):
        if number > head:
            continue
        read_at = state.read_at_by_pending_head.pop(number)
        if read_at > state.store_read_at:
            state.store_read_at = read_at
            state.store_head = number


def record_store_head(state, number, read_at):
    """Record the head found by a read of the store that began at ``read_at``."""
    state.known_number = max(state.known_number, number)
    if read_at <= state.store_read_at:
        return
    known = state.read_at_by_pending_head.get(number, NEVER)
    state.read_at_by_pending_head[number] = max(known, read_at)
    if len(state.read_at_by_pending_head) > MAX_PENDING_HEADS:
        state.read_at_by_pending_head.pop(min(state.read_at_by_pending_head))

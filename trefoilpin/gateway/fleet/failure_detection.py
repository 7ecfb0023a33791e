"""Failure detection: whether a host is live, by its heartbeats and by others' records.

A host that sends to this one regularly is suspected soon after its heartbeats stop. The
heartbeats of all other hosts reach only the relays. The member records that the relays
send carry an age and a suspicion flag, so a dead host is known everywhere long before
the age alone would show it.
"""

import hashlib

from trefoilpin.gateway.fleet.messages import MemberRecord

__all__ = [
    "MAX_CONFIGURATION_AGE_SECONDS",
    "MAX_LIVE_AGE_SECONDS",
    "Member",
    "SUSPICION_TIMEOUT_SECONDS",
    "create_member",
    "is_live",
    "member_digest",
    "is_suspected",
    "record_digest",
    "update_suspicion",
    "merge_record",
]

# A host is suspected only when four regular messages in a row are lost.
SUSPICION_TIMEOUT_SECONDS = 1.8
# Records from another zone pass through two relays. They are up to 3.5 s old when the
# next one arrives, 5 s when one datagram is lost.
MAX_LIVE_AGE_SECONDS = 6.0
# Bound on the time between the last messages that two relays receive from a dead host.
MAX_RELAY_SKEW_SECONDS = 0.6
# Callers are not directed to a host whose configuration is older.
MAX_CONFIGURATION_AGE_SECONDS = 2.8
DIGEST_BYTES = 8


class Member:
    """Another host.

    Attributes
    ----------
    record : MemberRecord
    last_alive_at : float
        When the host was last known to be alive, by any source.
    last_message_at : float
        When the host's own last message arrived here.
    sends_regularly : bool
        True when it announced that it keeps sending to this host.
    is_heartbeat_expected : bool
        True when by this host's view the two send to each other regularly. The last
        message of a host that stops sending may be lost, so ``sends_regularly`` is
        not enough by itself.
    changed_at : float
        When its record last changed in a way that has to be forwarded soon.
    was_suspected : bool
        Suspicion at the last ``update_suspicion``.
    digested_record : MemberRecord or None
    digest : int
        Digest of ``digested_record``, kept until the record changes.
    suspected_at : float
        Value of ``last_alive_at`` when the host was last suspected; the suspicion holds
        until the host is known to have been alive later.
    """

    def __init__(self, record: MemberRecord, last_alive_at, now):
        self.record = record
        self.last_alive_at = last_alive_at
        self.last_message_at = float("-inf")
        self.sends_regularly = False
        self.is_heartbeat_expected = False
        self.changed_at = now
        self.was_suspected = False
        self.suspected_at = float("-inf")
        self.digested_record: MemberRecord | None = None
        self.digest = 0


def record_digest(record):
    """Return a digest of a record without its ages and its load."""
    fields = (
        record.address,
        record.zone,
        record.incarnation,
        int(record.capacity),
        record.is_stopping,
        record.is_serving,
        record.configuration_age <= MAX_CONFIGURATION_AGE_SECONDS,
    )
    text = repr(fields).encode()
    hashed = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(hashed, "big")


def member_digest(member):
    """Return the digest of a member's record."""
    if member.digested_record is not member.record:
        member.digest = record_digest(member.record)
        member.digested_record = member.record
    return member.digest


def create_member(record, now):
    """Return a member for a first record, or None when the record is too old."""
    if record.age > MAX_LIVE_AGE_SECONDS or record.is_suspected:
        return None
    return Member(record, now - record.age, now)


def is_suspected(member, now):
    """Tell whether this host, or a relay that expects heartbeats, suspects a member."""
    if member.last_alive_at <= member.suspected_at:
        return True
    is_monitored = member.sends_regularly and member.is_heartbeat_expected
    if is_monitored and now - member.last_message_at < MAX_LIVE_AGE_SECONDS:
        return now - member.last_alive_at > SUSPICION_TIMEOUT_SECONDS
    return member.record.is_suspected


def is_live(member, now):
    """Tell whether a host is considered live."""
    return now - member.last_alive_at < MAX_LIVE_AGE_SECONDS and not is_suspected(
        member, now
    )


def merge_record(member, record, now):
    """Merge a record; return False when it is of an earlier incarnation.

    Parameters
    ----------
    member : Member
    record : MemberRecord
    now : float
    """
    before = member.record
    if record.incarnation < before.incarnation:
        return False
    alive_at = now - record.age
    if record.incarnation > before.incarnation or alive_at > member.last_alive_at:
        member.record = record
        member.last_alive_at = alive_at
    elif (
        record.is_suspected and alive_at > member.last_alive_at - MAX_RELAY_SKEW_SECONDS
    ):
        member.record = before._replace(is_suspected=True)
    if differs(member.record, before):
        member.changed_at = now
    return True


def differs(record, before):
    """Tell whether a change of the record has to be forwarded soon."""
    return (
        record.incarnation != before.incarnation
        or record.is_stopping != before.is_stopping
        or record.is_serving != before.is_serving
    )


def update_suspicion(member, now):
    """Update the suspicion of a host; return True when it changed."""
    suspected = is_suspected(member, now)
    if suspected == member.was_suspected:
        return False
    member.was_suspected = suspected
    if suspected:
        member.suspected_at = member.last_alive_at
    member.changed_at = now
    return True

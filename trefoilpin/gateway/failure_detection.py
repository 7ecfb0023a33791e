"""Whether another host runs, from what it says and what others say of it.

A host that tells this one regularly is missed soon after it stops. Of the others only
relays know at first hand; their word comes with an age, and with a mark where a relay
misses the host, so that a death is known everywhere long before the age alone tells.
"""

from trefoilpin.gateway.messages import MemberRecord

__all__ = [
    "LIVE_SECONDS",
    "Member",
    "SUSPECT_SECONDS",
    "create_member",
    "is_live",
    "is_suspected",
    "update_suspicion",
    "merge_record",
]

# Four regular gossip messages in a row must be lost before a host counts as silent.
SUSPECT_SECONDS = 1.8
# Word of a host of another zone passes two relays and is up to 3.5 s old when it is
# replaced, 5 s when one datagram with it was lost.
LIVE_SECONDS = 6.0
# Two relays hear the last gossip messages of a host that dies within this time.
RELAY_SKEW_SECONDS = 0.6


class Member:
    """Another host.

    Attributes
    ----------
    record : MemberRecord
    last_alive_at : float
        When the host is known to have run, by anyone.
    last_message_at : float
        When a message of its own last came here.
    sends_regularly : bool
        True when it said that it goes on telling this host.
    is_heartbeat_expected : bool
        True when by this host's view the two of them tell each other regularly. The
        last word of one that stops telling may be lost, so its own is not enough.
    changed_at : float
        When something became known of it that others should hear soon.
    was_suspected : bool
        What was last marked.
    suspected_at : float
        What ``last_alive_at`` was when the host was last missed; it stays missed until it is
        known to have run later.
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


def create_member(record, now):
    """Return a member as first told of, or None when that is too old to matter."""
    if record.age > LIVE_SECONDS or record.is_suspected:
        return None
    return Member(record, now - record.age, now)


def is_suspected(member, now):
    """Tell whether a host is missed here, or by a relay that should hear it."""
    if member.last_alive_at <= member.suspected_at:
        return True
    is_heard = member.sends_regularly and member.is_heartbeat_expected
    if is_heard and now - member.last_message_at < LIVE_SECONDS:
        return now - member.last_alive_at > SUSPECT_SECONDS
    return member.record.is_suspected


def is_live(member, now):
    """Tell whether a host is taken to run."""
    return now - member.last_alive_at < LIVE_SECONDS and not is_suspected(member, now)


def merge_record(member, record, now):
    """Take what was told of a host; return False for word of an earlier start.

    Parameters
    ----------
    member : Member
    record : MemberRecord
    now : float
    """
    before = member.record
    if record.incarnation < before.incarnation:
        return False
    at = now - record.age
    if record.incarnation > before.incarnation or at > member.last_alive_at:
        member.record = record
        member.last_alive_at = at
    elif record.is_suspected and at > member.last_alive_at - RELAY_SKEW_SECONDS:
        member.record = before._replace(is_suspected=True)
    if differs(member.record, before):
        member.changed_at = now
    return True


def differs(record, before):
    """Tell whether others should hear soon of what changed."""
    return (
        record.incarnation != before.incarnation
        or record.is_stopping != before.is_stopping
        or record.is_serving != before.is_serving
    )


def update_suspicion(member, now):
    """Note when a host falls silent or is heard again; return True when it did."""
    silent = is_suspected(member, now)
    if silent == member.was_suspected:
        return False
    member.was_suspected = silent
    if silent:
        member.suspected_at = member.last_alive_at
    member.changed_at = now
    return True

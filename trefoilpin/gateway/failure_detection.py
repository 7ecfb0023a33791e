"""Whether another host runs, from what it says and what others say of it.

A host that tells this one regularly is missed soon after it stops. Of the others only
relays know at first hand; their word comes with an age, and with a mark where a relay
misses the host, so that a death is known everywhere long before the age alone tells.
"""

from trefoilpin.gateway.messages import MemberRecord

__all__ = [
    "LIVE_SECONDS",
    "Member",
    "SILENT_SECONDS",
    "create_member",
    "is_live",
    "is_silent",
    "mark",
    "take",
]

# Four regular gossip messages in a row must be lost before a host counts as silent.
SILENT_SECONDS = 1.8
# Word of a host of another zone passes two relays and is up to 3.5 s old when it is
# replaced, 5 s when one datagram with it was lost.
LIVE_SECONDS = 6.0
# Two relays hear the last gossip messages of a host that dies within this time.
SPREAD_SECONDS = 0.6


class Member:
    """Another host.

    Attributes
    ----------
    told : MemberRecord
    heard_at : float
        When the host is known to have run, by anyone.
    direct_at : float
        When a message of its own last came here.
    tells_on : bool
        True when it said that it goes on telling this host.
    is_expected : bool
        True when by this host's view the two of them tell each other regularly. The
        last word of one that stops telling may be lost, so its own is not enough.
    changed_at : float
        When something became known of it that others should hear soon.
    was_silent : bool
        What was last marked.
    missed_at : float
        What ``heard_at`` was when the host was last missed; it stays missed until it is
        known to have run later.
    """

    def __init__(self, told: MemberRecord, heard_at, now):
        self.told = told
        self.heard_at = heard_at
        self.direct_at = float("-inf")
        self.tells_on = False
        self.is_expected = False
        self.changed_at = now
        self.was_silent = False
        self.missed_at = float("-inf")


def create_member(told, now):
    """Return a member as first told of, or None when that is too old to matter."""
    if told.age > LIVE_SECONDS or told.is_silent:
        return None
    return Member(told, now - told.age, now)


def is_silent(member, now):
    """Tell whether a host is missed here, or by a relay that should hear it."""
    if member.heard_at <= member.missed_at:
        return True
    is_heard = member.tells_on and member.is_expected
    if is_heard and now - member.direct_at < LIVE_SECONDS:
        return now - member.heard_at > SILENT_SECONDS
    return member.told.is_silent


def is_live(member, now):
    """Tell whether a host is taken to run."""
    return now - member.heard_at < LIVE_SECONDS and not is_silent(member, now)


def take(member, told, now):
    """Take what was told of a host; return False for word of an earlier start.

    Parameters
    ----------
    member : Member
    told : MemberRecord
    now : float
    """
    before = member.told
    if told.incarnation < before.incarnation:
        return False
    at = now - told.age
    if told.incarnation > before.incarnation or at > member.heard_at:
        member.told = told
        member.heard_at = at
    elif told.is_silent and at > member.heard_at - SPREAD_SECONDS:
        member.told = before._replace(is_silent=True)
    if differs(member.told, before):
        member.changed_at = now
    return True


def differs(told, before):
    """Tell whether others should hear soon of what changed."""
    return (
        told.incarnation != before.incarnation
        or told.is_stopping != before.is_stopping
        or told.is_serving != before.is_serving
    )


def mark(member, now):
    """Note when a host falls silent or is heard again; return True when it did."""
    silent = is_silent(member, now)
    if silent == member.was_silent:
        return False
    member.was_silent = silent
    if silent:
        member.missed_at = member.heard_at
    member.changed_at = now
    return True

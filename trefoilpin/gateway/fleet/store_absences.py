"""Whether no host reaches the store, as far as a host can tell."""

from typing import Callable, NamedTuple

__all__ = ["MAX_AGE_DIFFERENCE_SECONDS", "StoreAbsence", "create"]

# A host that was heard within this time counts when hosts are asked for the store.
MAX_HEARD_AGE_SECONDS = 2.5
# Documents are mostly read and passed on at an age below this one.
MIN_HEARD_LATER_SECONDS = 1.0
# Hosts that send to this one regularly do so every 0.4 s; one datagram may be lost.
MAX_DIRECT_SILENCE_SECONDS = 1.0
# Documents of hosts that hear each other differ in age by a read, a message, and the
# time since the message.
MAX_AGE_DIFFERENCE_SECONDS = 1.5
# A document as old as this was too old before; a host that is back from a cut hears of
# later ones within some periods of the messages.
MAX_SUDDEN_AGE_SECONDS = 3.5
CONTACT_SECONDS = 0.6
# Hosts that send to this one may change, so that it hears less for this time.
MAX_GAP_SECONDS = 0.8
MAX_CACHE_AGE_SECONDS = 0.1


class StoreAbsence(NamedTuple):
    """``is_away()`` tells whether the store counts as away; ``update()`` is called
    periodically."""

    is_away: Callable[[], bool]
    update: Callable[[], None]


class AbsenceState:
    """What this host heard.

    Attributes
    ----------
    heard_at : float
        Clock time at which most hosts were last heard without later documents.
    away_from : float
        Clock time from which on the store counts as away, while that is so.
    """

    def __init__(self):
        self.updated_at = float("-inf")
        self.heard_at = float("-inf")
        self.away_from = float("inf")


def hears_most(members, own_configuration_age, now):
    """Tell whether most hosts are heard, some of them directly.

    What was heard before a later document could have come doesn't count. A host that is
    cut off hears few or none.

    Parameters
    ----------
    members : iterable of Member
    own_configuration_age, now : float
    """
    max_age = min(
        MAX_HEARD_AGE_SECONDS, own_configuration_age - MIN_HEARD_LATER_SECONDS
    )
    known, heard, heard_directly = 1, 1, 0
    for member in members:
        known += 1
        heard += now - member.last_alive_at <= max_age
        heard_directly += is_heard_directly(member, now)
    return heard_directly > 0 and heard * 2 > known


def is_heard_directly(member, now):
    return now - member.last_message_at <= MAX_DIRECT_SILENCE_SECONDS


def hears_of_later_document(members, own_configuration_age, now):
    """Tell whether a host that this one hears itself has a later document.

    A host that was suspended, or is back from a cut, soon does.

    Parameters
    ----------
    members : iterable of Member
    own_configuration_age, now : float
    """
    for member in members:
        if not is_heard_directly(member, now):
            continue
        difference = own_configuration_age - member.record.configuration_age
        if difference > MAX_AGE_DIFFERENCE_SECONDS:
            return True
    return False


def create(now, configuration_age, list_members):
    """Create the judgement of a host.

    Parameters
    ----------
    now : callable
    configuration_age : callable
        Returns the age in seconds of this host's configuration.
    list_members : callable
        Returns the known ``Member`` objects.

    Returns
    -------
    StoreAbsence
    """
    state = AbsenceState()

    def is_away():
        if now() - state.updated_at >= MAX_CACHE_AGE_SECONDS:
            update()
        return now() >= state.away_from

    def update():
        state.updated_at = now()
        age = configuration_age()
        members = list_members()
        if hears_of_later_document(members, age, now()):
            state.heard_at, state.away_from = float("-inf"), float("inf")
        elif hears_most(members, age, now()):
            state.heard_at = now()
            if state.away_from == float("inf"):
                is_back = age > MAX_SUDDEN_AGE_SECONDS
                state.away_from = now() + CONTACT_SECONDS * is_back
        elif now() - state.heard_at > MAX_GAP_SECONDS:
            state.away_from = float("inf")

    return StoreAbsence(is_away, update)

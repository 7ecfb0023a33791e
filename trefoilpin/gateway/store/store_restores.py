"""What stays in force when the store is restored from an older copy.

A restored store lacks what was written since the copy, until operators and upstreams
write it again. Meanwhile a host uses rows that the store lacks, and leaves rows unused
that the store has only because it forgot their removal. Each rule takes what the host
used so far and what the store lists now, and returns the difference between what is
listed and what is used.

Within an era, a rule is applied again to each new listing and when time has passed; it
then decides only on rows that were already retained or withheld.
"""

from typing import Any, Mapping, NamedTuple

from trefoilpin.gateway.store.rows import diff
from trefoilpin.gateway.store.store_outages import REREGISTRATION_SECONDS

__all__ = [
    "HEARTBEATS_UNTIL_REMOVED",
    "InForce",
    "Listed",
    "NO_OVERLAY",
    "OPERATOR_REWRITE_SECONDS",
    "Overlay",
    "Reads",
    "keep_configuration",
    "keep_nothing",
    "keep_upstreams",
    "keep_zones_out",
    "learn_configuration",
    "learn_nothing",
    "learn_upstreams",
    "learn_zones_out",
    "rows_in_force",
]

# Operators repeat their writes once they see the new era. A zone that stays out for too
# long costs capacity, one that returns early gets requests that it was promised not to.
# A host that can't know what was in force doesn't accept keys until then.
OPERATOR_REWRITE_SECONDS = 6.0
# The store removes the entry of an upstream that is silent for this many periods.
HEARTBEATS_UNTIL_REMOVED = 3
# Age of the last read of a live store, as in ``store_outages``. Without such a read at
# the end of a period the store may be away again.
MAX_READ_AGE_SECONDS = 1.0


class Overlay(NamedTuple):
    """Difference between the rows that a host uses and those that the store lists.

    Attributes
    ----------
    retained : Mapping
        Text by name of rows in use that are missing in the store or differ there.
    withheld : frozenset of str
        Names of rows that the store lists and that are not used.
    """

    retained: Mapping[str, str]
    withheld: frozenset[str]


NO_OVERLAY = Overlay({}, frozenset())


class InForce(NamedTuple):
    """What a host has used so far, and what it knows of rows that were removed.

    Attributes
    ----------
    rows : Mapping
    value : object
        The decoded rows.
    overlay : Overlay
    left_rows : Mapping
        Rows that were removed while they were in use.
    left_value : object
        The decoded rows of ``left_rows``.
    listed_names : frozenset of str
        Names of all rows that were listed since the era began.
    """

    rows: Mapping[str, str]
    value: Any
    overlay: Overlay
    left_rows: Mapping[str, str]
    left_value: Any
    listed_names: frozenset[str]


class Listed(NamedTuple):
    """Rows that the store lists, and their value; None when it can't be decoded."""

    rows: Mapping[str, str]
    value: Any


class Reads(NamedTuple):
    """How the store was read since it was restored.

    Attributes
    ----------
    is_new_era : bool
        True for the first document of an era, at a host that had one of another era.
    is_restored : bool
        True when such a document was taken in this era, by this host or by one that it
        learned from.
    lacks_entries : bool
        True while entries that expired in an outage may not be written again yet.
    era_seconds : float
        Time since the first read of the era.
    read_seconds : float
        Time from the first read of the era to the start of the last one.
    removal_seconds : float
        Time after which the store has removed the entry of a silent upstream.
    """

    is_new_era: bool
    is_restored: bool
    lacks_entries: bool
    era_seconds: float
    read_seconds: float
    removal_seconds: float


def rows_in_force(rows, overlay):
    """Return the rows in use, from those that the store lists."""
    used = {name: text for name, text in rows.items() if name not in overlay.withheld}
    return {**used, **overlay.retained}


def is_within(reads, seconds):
    """Tell whether a period since the restore has not ended for certain."""
    if reads.era_seconds < seconds:
        return True
    return reads.read_seconds < seconds - MAX_READ_AGE_SECONDS


def version_order(version):
    """Return the sort key of a configuration's version; a longer number is later."""
    text = str(version)
    return len(text), text


def keep_nothing(in_force, listed, reads):
    """Return the overlay of a kind that is used as it is listed."""
    return NO_OVERLAY


def keep_configuration(in_force, listed, reads):
    """Return the overlay that keeps a later version of the configuration in force."""
    is_concerned = reads.is_new_era or in_force.overlay != NO_OVERLAY
    if not is_concerned or not in_force.rows:
        return NO_OVERLAY
    if listed.rows:
        if listed.value is None:
            return NO_OVERLAY
        listed_order = version_order(listed.value.version)
        if listed_order >= version_order(in_force.value.version):
            return NO_OVERLAY
    delta = diff(listed.rows, in_force.rows)
    return Overlay(delta.changed, frozenset(delta.removed))


def keep_zones_out(in_force, listed, reads):
    """Return the overlay with the zones that stay out though they are not listed."""
    if not is_within(reads, OPERATOR_REWRITE_SECONDS):
        return NO_OVERLAY
    candidates = in_force.rows if reads.is_new_era else in_force.overlay.retained
    retained = {}
    for name, text in candidates.items():
        was_listed = name in in_force.listed_names and not reads.is_new_era
        if name not in listed.rows and not was_listed:
            retained[name] = text
    return Overlay(retained, frozenset())


def keep_upstreams(in_force, listed, reads):
    """Return the overlay with missing, draining and removed upstreams.

    Missing entries are retained for a while. An upstream that was draining stays so for
    the same incarnation. One that was removed is withheld until the store would have
    removed the entry of a silent upstream again, and has been read after that.
    """
    retained, withheld = {}, set()
    is_restoring = reads.is_restored and is_within(reads, REREGISTRATION_SECONDS)
    if reads.lacks_entries or is_restoring:
        for name, text in in_force.rows.items():
            if name not in listed.rows:
                retained[name] = text
    if not reads.is_restored or listed.value is None:
        return Overlay(retained, frozenset())
    if reads.is_new_era:
        names = listed.rows
    else:
        names = {*in_force.overlay.retained, *in_force.overlay.withheld}
    known_rows = {**in_force.left_rows, **in_force.rows}
    for name in names:
        upstream = listed.value.get(name)
        left = in_force.left_value.get(name)
        known = in_force.value.get(name, left)
        if upstream is None or known is None or known.born != upstream.born:
            continue
        is_removed = left is not None and name not in in_force.rows
        if is_removed and reads.read_seconds < reads.removal_seconds:
            withheld.add(name)
        elif known.draining and not upstream.draining:
            retained[name] = known_rows[name]
    return Overlay(retained, frozenset(withheld))


def learn_nothing(in_force, listed, remote):
    """Return what is in force; nothing is learned from other hosts."""
    return in_force


def learn_configuration(in_force, listed, remote):
    """Return the configuration of another host if it is of a later version.

    Parameters
    ----------
    in_force : InForce
        Of this host.
    listed : Listed
        Equal for both hosts.
    remote : InForce
        Rows, value and overlay of the other host.
    """
    if remote.value is None:
        return in_force
    remote_order = version_order(remote.value.version)
    if in_force.rows and remote_order <= version_order(in_force.value.version):
        return in_force
    return in_force._replace(
        rows=remote.rows, value=remote.value, overlay=remote.overlay
    )


def learn_zones_out(in_force, listed, remote):
    """Return what is in force with the zones that another host keeps out."""
    retained = {**remote.overlay.retained, **in_force.overlay.retained}
    return in_force._replace(overlay=Overlay(retained, frozenset()))


def learn_upstreams(in_force, listed, remote):
    """Return what is in force with what another host retains and withholds."""
    if remote.value is None or listed.value is None:
        return in_force
    rows, value = dict(in_force.rows), dict(in_force.value)
    left_rows, left_value = dict(in_force.left_rows), dict(in_force.left_value)
    for name, text in remote.overlay.retained.items():
        if name in in_force.overlay.retained or name not in remote.value:
            continue
        rows[name], value[name] = text, remote.value[name]
    for name in remote.overlay.withheld:
        if name not in listed.value:
            continue
        rows.pop(name, None)
        value.pop(name, None)
        left_rows[name], left_value[name] = listed.rows[name], listed.value[name]
    overlay = Overlay(
        {**remote.overlay.retained, **in_force.overlay.retained},
        in_force.overlay.withheld | remote.overlay.withheld,
    )
    return InForce(rows, value, overlay, left_rows, left_value, in_force.listed_names)

"""State of a document at a host, with its most recent deltas."""

from collections import deque
from typing import Mapping, NamedTuple

from trefoilpin.gateway.store.rows import Delta
from trefoilpin.gateway.store.store_outages import NO_READS
from trefoilpin.gateway.store.store_restores import OPERATOR_REWRITE_SECONDS

__all__ = [
    "AppliedDelta",
    "CachedDocument",
    "DocumentVersion",
    "MAX_DELTAS",
    "delta_since",
    "is_unproven",
    "record_renewal",
    "settle_proof",
]

NEVER_READ = 0
# A host that missed some deltas is sent these instead of the whole document; with
# frequent changes they cover a few minutes.
MAX_DELTAS = 64


class DocumentVersion(NamedTuple):
    """Version of a document, as hosts advertise it.

    Attributes
    ----------
    kind : str
    revision : int
        Revision of the store; 0 when the document was never read.
    digest : int
    age : float
        Upper bound in seconds since the store held exactly this document.
    unbroken_seconds : float
        Lower bound for how long the store has been read without an outage or a
        restore; 0 for kinds whose objects do not expire, while the era is 0.
    era : int
        Number of restores of the store before this revision was assigned.
    overlay_digest : int
        Digest of the difference, after a restore, between what the host uses and the
        document; 0 when there is none.
    """

    kind: str
    revision: int
    digest: int
    age: float
    unbroken_seconds: float = 0.0
    era: int = 0
    overlay_digest: int = 0


class AppliedDelta(NamedTuple):
    """A delta that was applied.

    Attributes
    ----------
    base_digest : int
        Digest of the document before the delta.
    row_names : frozenset of str
        Names of the rows that changed.
    """

    base_digest: int
    row_names: frozenset[str]


class CachedDocument:
    """A document with its era, its revision and its most recent deltas.

    Attributes
    ----------
    known_since : float or None
        When the store held the first document that this host had.
    read_span : ReadSpan
        Kept for kinds whose objects expire, and for all kinds of a store that was
        restored.
    renewed_era : int
        Era in which all writers of entries have renewed them, as far as known.
    renewed_at : float
        When the store held the last document of such an era that this host had.
    is_unproven : bool
        True when the first document came from a restored store, and no other host has
        shown since what was in force before. A change shows only that operators have
        begun to write again.
    """

    def __init__(self, value):
        self.era = 0
        self.revision = NEVER_READ
        self.rows: Mapping[str, str] = {}
        self.digest = 0
        self.value = value
        self.held_at = float("-inf")
        self.known_since = None
        self.read_span = NO_READS
        self.renewed_era = 0
        self.renewed_at = float("-inf")
        self.is_settling = False
        self.is_unproven = False
        self.deltas: deque[AppliedDelta] = deque(maxlen=MAX_DELTAS)
        self.subscribers = []


def is_unproven(document, now):
    """Tell whether a document may be an older one, of a store that was restored."""
    seconds = now - document.read_span.started_at
    return document.is_unproven and seconds < OPERATOR_REWRITE_SECONDS


def record_renewal(document, seconds):
    """Record whether the entries of a document were renewed since the last restore.

    A restored store has entries from before it, until their writers are heard again.

    Parameters
    ----------
    document : CachedDocument
    seconds : float
        Time in which each writer renews its entry.
    """
    span = document.read_span
    if span.last_read_at - span.started_at >= seconds:
        document.renewed_era = document.era
    if document.renewed_era == document.era:
        document.renewed_at = document.held_at


def settle_proof(document, now):
    """Keep a document proven once it was; a later outage of the store is no restore."""
    document.is_unproven = is_unproven(document, now)


def delta_since(document, digest):
    """Return the ``Delta`` from an earlier document, None if it is no longer kept."""
    if digest == document.digest:
        return Delta({}, ())
    row_names: set[str] = set()
    for applied in reversed(document.deltas):
        row_names |= applied.row_names
        if applied.base_digest == digest:
            return delta_to_current(document.rows, row_names)
    return None


def delta_to_current(rows, row_names):
    """Return the ``Delta`` that sets the named rows to their current state."""
    changed = {name: rows[name] for name in row_names if name in rows}
    return Delta(changed, tuple(name for name in row_names if name not in rows))

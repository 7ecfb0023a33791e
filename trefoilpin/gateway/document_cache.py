"""What this host knows of the store's content, at which revision, and how old it is.

Each section holds one document. A newer revision replaces an older one, whatever order
messages come in, so nothing reverts. The age is an upper bound in seconds since
the store itself was known to hold just this document; it grows by a clock that runs on
while the host is suspended.
"""

from collections import deque
from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.records import EMPTY_CONFIGURATION
from trefoilpin.gateway.rows import Delta, difference, digest_after, patch

__all__ = [
    "CONFIGURATION",
    "KINDS",
    "DocumentCache",
    "DocumentVersion",
    "UPSTREAMS",
    "ZONES_OUT",
    "create",
]

CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
ZONES_OUT = "zones_out"
KINDS = (CONFIGURATION, UPSTREAMS, ZONES_OUT)
UNREAD = 0
# Changes of late, so that hosts that missed some need not have the whole document:
# those of some minutes on a busy day.
KEPT_STEPS = 64


class DocumentVersion(NamedTuple):
    """What a host says of one section without its document.

    Attributes
    ----------
    kind : str
    revision : int
        Of the store; 0 when nothing was read.
    digest : int
    age : float
        Seconds since the store is known to have held the document.
    """

    kind: str
    revision: int
    digest: int
    age: float


class DocumentCache(NamedTuple):
    """``document_cache``: documents by kind.

    ``offer(kind, revision, rows, age, source)`` takes rows that may be newer and came
    from a host or the store; ``offer_changes(kind, revision, base, told, age, source)``
    takes ``told``, a pair of ``Delta`` and the digest after them, for a document
    whose digest is ``base``. Both return True when they brought something new.
    ``confirm(stamp)`` takes what another host says of its own and returns True when
    that one has a newer document.

    ``value(kind)`` is the decoded document, ``stamp(kind)`` and ``rows(kind)`` what to
    tell others, ``changes_since(kind, digest)`` what came after a document of late, or
    None, and ``age(kind)`` its age. ``subscribe(kind, function)`` has a function called
    with each new value.
    """

    offer: Callable[[str, int, Mapping, float, str], bool]
    offer_changes: Callable[[str, int, int, tuple, float, str], bool]
    confirm: Callable[[DocumentVersion], bool]
    value: Callable[[str], Any]
    stamp: Callable[[str], DocumentVersion]
    rows: Callable[[str], Mapping]
    changes_since: Callable[[str, int], Delta | None]
    age: Callable[[str], float]
    subscribe: Callable[[str, Callable], None]


class AppliedDelta(NamedTuple):
    """A change that was taken.

    Attributes
    ----------
    before : int
        Digest of the document before it.
    names : frozenset of str
        Rows that changed.
    """

    before: int
    names: frozenset[str]


class CachedDocument:
    """One document with its revision, and its changes of late."""

    def __init__(self, value):
        self.revision = UNREAD
        self.rows: Mapping[str, str] = {}
        self.digest = 0
        self.value = value
        self.read_at = float("-inf")
        self.steps: deque[AppliedDelta] = deque(maxlen=KEPT_STEPS)
        self.subscribers = []


def changes_of(rows, names):
    """Return what the named rows are now, as ``Delta``."""
    changed = {name: rows[name] for name in names if name in rows}
    return Delta(changed, tuple(name for name in names if name not in rows))


def create(kernel, decode_by_kind):
    """Create the service ``document_cache``.

    Parameters
    ----------
    kernel : Kernel
    decode_by_kind : dict
        For each kind, a function from rows to a ``Result`` with the value.

    Returns
    -------
    DocumentCache
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    section_by_kind = {
        CONFIGURATION: CachedDocument(EMPTY_CONFIGURATION),
        UPSTREAMS: CachedDocument({}),
        ZONES_OUT: CachedDocument(frozenset()),
    }

    def offer(kind, revision, rows, age, source):
        section = section_by_kind[kind]
        if revision < section.revision:
            return False
        changes = difference(section.rows, rows)
        if section.revision and not (changes.changed or changes.gone):
            refresh(section, revision, age)
            return False
        return take(kind, revision, changes, age, source)

    def offer_changes(kind, revision, base, told, age, source):
        section = section_by_kind[kind]
        changes, digest = told
        if not section.revision or base != section.digest:
            return False
        if digest_after(base, section.rows, changes) != digest:
            detail = "the rows do not come to the digest that was told"
            emit(events.DOCUMENT_MALFORMED, kind=kind, revision=revision, detail=detail)
            return False
        return take(kind, revision, changes, age, source)

    def take(kind, revision, changes, age, source):
        """Replace a document by what changes make of it; False when that is no use."""
        section = section_by_kind[kind]
        if revision <= section.revision:
            return False
        rows = patch(section.rows, changes)
        decoded = decode_by_kind[kind](rows)
        if isinstance(decoded, Failure):
            detail = decoded.failure()
            emit(events.DOCUMENT_MALFORMED, kind=kind, revision=revision, detail=detail)
            return False
        names = frozenset((*changes.changed, *changes.gone))
        section.steps.append(AppliedDelta(section.digest, names))
        section.digest = digest_after(section.digest, section.rows, changes)
        section.rows = rows
        section.value = decoded.unwrap()
        refresh(section, revision, age)
        metrics.time(f"{kind}_age_when_taken_seconds", age)
        emit(
            events.KNOWLEDGE_CHANGED,
            kind=kind,
            revision=revision,
            age=round(age, 3),
            source=source,
            rows=len(names),
        )
        for subscriber in section.subscribers:
            subscriber(section.value)
        return True

    def changes_since(kind, digest):
        section = section_by_kind[kind]
        if digest == section.digest:
            return Delta({}, ())
        names: set[str] = set()
        for step in reversed(section.steps):
            names |= step.names
            if step.before == digest:
                return changes_of(section.rows, names)
        return None

    def refresh(section, revision, age):
        section.revision = revision
        section.read_at = max(section.read_at, now() - age)

    def confirm(told):
        section = section_by_kind.get(told.kind)
        if section is None or told.revision < section.revision or not told.revision:
            return False
        if section.revision and told.digest == section.digest:
            refresh(section, told.revision, told.age)
            return False
        return told.revision > section.revision

    def age(kind):
        return now() - section_by_kind[kind].read_at

    def stamp(kind):
        section = section_by_kind[kind]
        return DocumentVersion(kind, section.revision, section.digest, age(kind))

    for kind in KINDS:
        metrics.gauge(f"{kind}_age_seconds", lambda kind=kind: age(kind))
    service = DocumentCache(
        offer,
        offer_changes,
        confirm,
        lambda kind: section_by_kind[kind].value,
        stamp,
        lambda kind: section_by_kind[kind].rows,
        changes_since,
        age,
        lambda kind, function: section_by_kind[kind].subscribers.append(function),
    )
    kernel.register("document_cache", service)
    return service

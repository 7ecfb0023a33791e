"""Documents read from the store, with their revision and age.

There is one document of each kind. Only a newer revision replaces a document, in
whatever order messages arrive, so no host reverts to an earlier state. Of two documents
with the same revision the one that was read later holds. The age is an upper bound in
seconds since the store held exactly this document; it is measured by a clock that keeps
running while the host is suspended.
"""

from collections import deque
from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.records import EMPTY_CONFIGURATION
from trefoilpin.gateway.rows import Delta, diff, digest_after, patch

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
    """

    kind: str
    revision: int
    digest: int
    age: float


class DocumentCache(NamedTuple):
    """``document_cache``: documents by kind.

    ``apply_document(kind, revision, rows, age, source)`` takes the rows of a whole
    document, from a host or the store. ``apply_delta(kind, revision, base,
    delta_and_digest, age, source)`` takes a ``Delta`` for the document with digest
    ``base`` and the digest after it. Both return True when the document changed.
    ``confirm(version)`` refreshes the age when another host holds the same document,
    and returns True when that host has a newer one.

    ``value(kind)`` is the decoded document, ``version(kind)`` and ``rows(kind)`` are
    what other hosts are sent. ``delta_since(kind, digest)`` is the delta from an
    earlier document, or None when it is no longer kept, and ``age(kind)`` the age in
    seconds. ``subscribe(kind, function)`` has the function called with each new value.
    """

    apply_document: Callable[[str, int, Mapping, float, str], bool]
    apply_delta: Callable[[str, int, int, tuple, float, str], bool]
    confirm: Callable[[DocumentVersion], bool]
    value: Callable[[str], Any]
    version: Callable[[str], DocumentVersion]
    rows: Callable[[str], Mapping]
    delta_since: Callable[[str, int], Delta | None]
    age: Callable[[str], float]
    subscribe: Callable[[str, Callable], None]


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
    """A document with its revision and its most recent deltas."""

    def __init__(self, value):
        self.revision = NEVER_READ
        self.rows: Mapping[str, str] = {}
        self.digest = 0
        self.value = value
        self.held_at = float("-inf")
        self.deltas: deque[AppliedDelta] = deque(maxlen=MAX_DELTAS)
        self.subscribers = []


def delta_to_current(rows, row_names):
    """Return the ``Delta`` that sets the named rows to their current state."""
    changed = {name: rows[name] for name in row_names if name in rows}
    return Delta(changed, tuple(name for name in row_names if name not in rows))


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
    document_by_kind = {
        CONFIGURATION: CachedDocument(EMPTY_CONFIGURATION),
        UPSTREAMS: CachedDocument({}),
        ZONES_OUT: CachedDocument(frozenset()),
    }

    def apply_document(kind, revision, rows, age, source):
        document = document_by_kind[kind]
        if not is_newer(document, revision, age):
            return False
        delta = diff(document.rows, rows)
        if document.revision and not (delta.changed or delta.removed):
            refresh(document, revision, age)
            return False
        return apply(kind, revision, delta, age, source)

    def apply_delta(kind, revision, base, delta_and_digest, age, source):
        document = document_by_kind[kind]
        delta, digest = delta_and_digest
        if not document.revision or base != document.digest:
            return False
        if digest_after(base, document.rows, delta) != digest:
            detail = "the rows after the delta do not match the given digest"
            emit(events.DOCUMENT_MALFORMED, kind=kind, revision=revision, detail=detail)
            return False
        if not is_newer(document, revision, age):
            return False
        return apply(kind, revision, delta, age, source)

    def is_newer(document, revision, age):
        """Tell whether the store held a document later than the current one."""
        if revision != document.revision:
            return revision > document.revision
        return now() - age > document.held_at

    def apply(kind, revision, delta, age, source):
        """Apply a delta; return False when it can't be decoded."""
        document = document_by_kind[kind]
        rows = patch(document.rows, delta)
        decoded = decode_by_kind[kind](rows)
        if isinstance(decoded, Failure):
            detail = decoded.failure()
            emit(events.DOCUMENT_MALFORMED, kind=kind, revision=revision, detail=detail)
            return False
        row_names = frozenset((*delta.changed, *delta.removed))
        document.deltas.append(AppliedDelta(document.digest, row_names))
        document.digest = digest_after(document.digest, document.rows, delta)
        document.rows = rows
        document.value = decoded.unwrap()
        refresh(document, revision, age)
        metrics.time(f"{kind}_age_when_taken_seconds", age)
        emit(
            events.KNOWLEDGE_CHANGED,
            kind=kind,
            revision=revision,
            age=round(age, 3),
            source=source,
            rows=len(row_names),
        )
        for subscriber in document.subscribers:
            subscriber(document.value)
        return True

    def delta_since(kind, digest):
        document = document_by_kind[kind]
        if digest == document.digest:
            return Delta({}, ())
        row_names: set[str] = set()
        for applied in reversed(document.deltas):
            row_names |= applied.row_names
            if applied.base_digest == digest:
                return delta_to_current(document.rows, row_names)
        return None

    def refresh(document, revision, age):
        document.revision = revision
        document.held_at = max(document.held_at, now() - age)

    def confirm(remote):
        document = document_by_kind.get(remote.kind)
        if (
            document is None
            or remote.revision < document.revision
            or not remote.revision
        ):
            return False
        if document.revision and remote.digest == document.digest:
            refresh(document, remote.revision, remote.age)
            return False
        return is_newer(document, remote.revision, remote.age)

    def age(kind):
        return now() - document_by_kind[kind].held_at

    def version(kind):
        document = document_by_kind[kind]
        return DocumentVersion(kind, document.revision, document.digest, age(kind))

    for kind in KINDS:
        metrics.gauge(f"{kind}_age_seconds", lambda kind=kind: age(kind))
    service = DocumentCache(
        apply_document,
        apply_delta,
        confirm,
        lambda kind: document_by_kind[kind].value,
        version,
        lambda kind: document_by_kind[kind].rows,
        delta_since,
        age,
        lambda kind, function: document_by_kind[kind].subscribers.append(function),
    )
    kernel.register("document_cache", service)
    return service

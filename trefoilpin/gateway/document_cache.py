"""Documents read from the store, with their revision and age.

There is one document of each kind. A newer revision replaces an older one whatever the
order of messages, so nothing reverts. The age is an upper bound in seconds since the
store itself was known to hold exactly this document; it is measured by a clock that
keeps running while the host is suspended.
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
UNREAD = 0
# Recent deltas, so that a host that missed some need not fetch the whole document;
# enough for some minutes on a busy day.
KEPT_DELTAS = 64


class DocumentVersion(NamedTuple):
    """Version of a document, as hosts advertise it.

    Attributes
    ----------
    kind : str
    revision : int
        Revision of the store; 0 when nothing was read.
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

    ``apply_document(kind, revision, rows, age, source)`` takes the rows of a whole
    document, from a host or the store. ``apply_delta(kind, revision, base, told, age,
    source)`` takes ``told``, a pair of a ``Delta`` and the digest after it, for the
    document with digest ``base``. Both return True when the document changed.
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
    before : int
        Digest of the document before the delta.
    names : frozenset of str
        Names of the rows that changed.
    """

    before: int
    names: frozenset[str]


class CachedDocument:
    """A document with its revision and its most recent deltas."""

    def __init__(self, value):
        self.revision = UNREAD
        self.rows: Mapping[str, str] = {}
        self.digest = 0
        self.value = value
        self.read_at = float("-inf")
        self.deltas: deque[AppliedDelta] = deque(maxlen=KEPT_DELTAS)
        self.subscribers = []


def delta_of(rows, names):
    """Return the ``Delta`` that sets the named rows to their present state."""
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
    document_by_kind = {
        CONFIGURATION: CachedDocument(EMPTY_CONFIGURATION),
        UPSTREAMS: CachedDocument({}),
        ZONES_OUT: CachedDocument(frozenset()),
    }

    def apply_document(kind, revision, rows, age, source):
        document = document_by_kind[kind]
        if revision < document.revision:
            return False
        changes = diff(document.rows, rows)
        if document.revision and not (changes.changed or changes.removed):
            refresh(document, revision, age)
            return False
        return apply(kind, revision, changes, age, source)

    def apply_delta(kind, revision, base, told, age, source):
        document = document_by_kind[kind]
        changes, digest = told
        if not document.revision or base != document.digest:
            return False
        if digest_after(base, document.rows, changes) != digest:
            detail = "the rows do not come to the digest that was told"
            emit(events.DOCUMENT_MALFORMED, kind=kind, revision=revision, detail=detail)
            return False
        return apply(kind, revision, changes, age, source)

    def apply(kind, revision, changes, age, source):
        """Replace a document by what changes make of it; False when that is no use."""
        document = document_by_kind[kind]
        if revision <= document.revision:
            return False
        rows = patch(document.rows, changes)
        decoded = decode_by_kind[kind](rows)
        if isinstance(decoded, Failure):
            detail = decoded.failure()
            emit(events.DOCUMENT_MALFORMED, kind=kind, revision=revision, detail=detail)
            return False
        names = frozenset((*changes.changed, *changes.removed))
        document.deltas.append(AppliedDelta(document.digest, names))
        document.digest = digest_after(document.digest, document.rows, changes)
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
            rows=len(names),
        )
        for subscriber in document.subscribers:
            subscriber(document.value)
        return True

    def delta_since(kind, digest):
        document = document_by_kind[kind]
        if digest == document.digest:
            return Delta({}, ())
        names: set[str] = set()
        for step in reversed(document.deltas):
            names |= step.names
            if step.before == digest:
                return delta_of(document.rows, names)
        return None

    def refresh(document, revision, age):
        document.revision = revision
        document.read_at = max(document.read_at, now() - age)

    def confirm(told):
        document = document_by_kind.get(told.kind)
        if document is None or told.revision < document.revision or not told.revision:
            return False
        if document.revision and told.digest == document.digest:
            refresh(document, told.revision, told.age)
            return False
        return told.revision > document.revision

    def age(kind):
        return now() - document_by_kind[kind].read_at

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

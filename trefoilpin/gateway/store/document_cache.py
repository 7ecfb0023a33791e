"""Documents read from the store, with their revision and age.

There is one document of each kind. Only a newer revision replaces a document, in
whatever order messages arrive, so no host reverts to an earlier state. Revisions are
compared with the era of the store before them, as a store that is restored from an
older copy assigns revisions again. Of two documents with the same era and revision the
one that was read later holds. The age is an upper bound in seconds since the store held
exactly this document; it is measured by a clock that keeps running while the host is
suspended.

Other hosts are sent exactly what the store held. Rows that may be missing only because
they expired in an outage of the store, or because it was restored from an older copy,
are retained for a while in the value that this host uses. What differs after a restore
is sent beside the documents, for hosts that have not seen the earlier era.
"""

from functools import partial
from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.store import restore_logs, restore_overlays, store_restores
from trefoilpin.gateway.store.cached_documents import (
    MAX_DELTAS,
    AppliedDelta,
    CachedDocument,
    DocumentVersion,
    delta_since,
    is_unproven,
    record_renewal,
    settle_proof,
)
from trefoilpin.gateway.store.records import EMPTY_CONFIGURATION
from trefoilpin.gateway.store.rows import Delta, diff, digest_after, patch
from trefoilpin.gateway.store.store_outages import (
    NO_READS,
    REREGISTRATION_SECONDS,
    ReadSpan,
    join_spans,
)
from trefoilpin.gateway.store.store_restores import NO_OVERLAY, Overlay

__all__ = [
    "CONFIGURATION",
    "KINDS",
    "DocumentCache",
    "DocumentVersion",
    "MAX_DELTAS",
    "ROLLOUTS",
    "UPSTREAMS",
    "ZONES_OUT",
    "create",
    "report_malformed",
]

CONFIGURATION = "configuration"
UPSTREAMS = "upstreams"
ZONES_OUT = "zones_out"
KINDS = (CONFIGURATION, UPSTREAMS, ZONES_OUT)
# Kept only where the deployment has a decoder for it.
ROLLOUTS = "rollouts"
# Kinds whose objects the store removes when their writer is silent.
EXPIRING_KINDS = frozenset((UPSTREAMS,))
# Used unless the settings state another period in which upstreams renew their entries.
HEARTBEAT_SECONDS = 1.5
# Heartbeats after a restore until entries count as renewed; one may be late.
HEARTBEATS_UNTIL_RENEWED = 2
RULES_BY_KIND = {
    CONFIGURATION: restore_overlays.Rules(
        store_restores.keep_configuration, store_restores.learn_configuration
    ),
    UPSTREAMS: restore_overlays.Rules(
        store_restores.keep_upstreams,
        store_restores.learn_upstreams,
        (REREGISTRATION_SECONDS,),
        remembers_removed=True,
    ),
    ZONES_OUT: restore_overlays.Rules(
        store_restores.keep_zones_out,
        store_restores.learn_zones_out,
        (store_restores.OPERATOR_REWRITE_SECONDS,),
    ),
}
USED_AS_LISTED = restore_overlays.Rules(
    store_restores.keep_nothing, store_restores.learn_nothing
)


class DocumentCache(NamedTuple):
    """``document_cache``: documents by kind.

    ``apply_document(kind, revision, rows, age, source, unbroken_seconds, era,
    overlay)`` takes the rows of a whole document, from a host or the store.
    ``apply_delta(kind, revision, base, delta_and_digest, age, source, unbroken_seconds,
    era)`` takes a ``Delta`` for the document with digest ``base`` and the digest after
    it. Both return True when the document changed. ``confirm(version)`` refreshes the
    age when another host holds the same document, and returns True when that host has a
    newer one or uses something else after a restore. ``learn(kind, overlay, source)``
    takes what a host with the same document retains and withholds, and
    ``overlay(kind)`` is what other hosts are sent of that.

    ``value(kind)`` is the decoded document as it is in use, ``version(kind)``
    and ``rows(kind)`` are what other hosts are sent. ``is_unproven(kind)`` tells
    whether the document may be an older one, of a store that was restored while no
    known host ran. ``delta_since(kind, digest)`` is the delta from an earlier document,
    or None when it is no longer kept, and ``age(kind)`` the age in seconds;
    ``renewed_age(kind)`` is that of the last document that had no entries from before a
    restore of the store. ``subscribe(kind, function)`` has the function called with
    each new value. ``kinds`` are the kinds that this host keeps.
    """

    apply_document: Callable[..., bool]
    apply_delta: Callable[..., bool]
    confirm: Callable[[DocumentVersion], bool]
    value: Callable[[str], Any]
    version: Callable[[str], DocumentVersion]
    rows: Callable[[str], Mapping]
    delta_since: Callable[[str, int], Delta | None]
    age: Callable[[str], float]
    subscribe: Callable[[str, Callable], None]
    learn: Callable[[str, Overlay, str], None]
    overlay: Callable[[str], Overlay]
    is_unproven: Callable[[str], bool]
    renewed_age: Callable[[str], float]
    kinds: tuple[str, ...] = KINDS


def report_malformed(emit, document, detail):
    """Log that a ``Document`` or a ``DocumentVersion`` can't be used."""
    emit(
        events.DOCUMENT_MALFORMED,
        kind=document.kind,
        revision=document.revision,
        detail=detail,
    )


def create_overlays(now, document_by_kind, decode_by_kind, heartbeat_seconds):
    """Return the ``RestoreOverlay`` of each kind."""
    overlay_by_kind = {}
    for kind, document in document_by_kind.items():
        overlay_by_kind[kind] = restore_overlays.create(
            now,
            RULES_BY_KIND.get(kind, USED_AS_LISTED),
            decode_by_kind[kind],
            document.value,
            heartbeat_seconds,
        )
    return overlay_by_kind


def create(kernel, decode_by_kind, heartbeat_seconds=HEARTBEAT_SECONDS):
    """Create the service ``document_cache``.

    Parameters
    ----------
    kernel : Kernel
    decode_by_kind : dict
        For each kind, a function from rows to a ``Result`` with the value.
    heartbeat_seconds : float, optional
        Period in which upstreams renew their entries in the store.

    Returns
    -------
    DocumentCache
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    logs = restore_logs.create(kernel)
    document_by_kind = {
        CONFIGURATION: CachedDocument(EMPTY_CONFIGURATION),
        UPSTREAMS: CachedDocument({}),
        ZONES_OUT: CachedDocument(frozenset()),
    }
    if ROLLOUTS in decode_by_kind:
        document_by_kind[ROLLOUTS] = CachedDocument({})
    kinds = tuple(document_by_kind)
    renewal_seconds = HEARTBEATS_UNTIL_RENEWED * heartbeat_seconds
    overlay_by_kind = create_overlays(
        now, document_by_kind, decode_by_kind, heartbeat_seconds
    )

    def apply_document(
        kind,
        revision,
        rows,
        age,
        source,
        unbroken_seconds=0.0,
        era=0,
        overlay=NO_OVERLAY,
    ):
        document = document_by_kind[kind]
        version = DocumentVersion(kind, revision, 0, age, unbroken_seconds, era)
        if not is_newer(document, version):
            return False
        delta = diff(document.rows, rows)
        is_same = document.revision and not (delta.changed or delta.removed)
        if is_same and era == document.era:
            refresh(document, version)
            return False
        return apply(version, delta, source, overlay)

    def apply_delta(
        kind, revision, base, delta_and_digest, age, source, unbroken_seconds=0.0, era=0
    ):
        document = document_by_kind[kind]
        delta, digest = delta_and_digest
        version = DocumentVersion(kind, revision, digest, age, unbroken_seconds, era)
        if not document.revision or base != document.digest:
            return False
        if digest_after(base, document.rows, delta) != digest:
            detail = "the rows after the delta do not match the given digest"
            report_malformed(emit, version, detail)
            return False
        if not is_newer(document, version):
            return False
        return apply(version, delta, source)

    def is_newer(document, version):
        """Tell whether the store held a document later than the current one."""
        position = (version.era, version.revision)
        if position != (document.era, document.revision):
            return position > (document.era, document.revision)
        return now() - version.age > document.held_at

    def apply(version, delta, source, remote_overlay=NO_OVERLAY):
        """Apply a delta; return False when it can't be decoded."""
        kind = version.kind
        document, restored = document_by_kind[kind], overlay_by_kind[kind]
        rows = patch(document.rows, delta)
        before = restored.overlay()
        is_new_era = bool(document.revision) and version.era > document.era
        if not document.revision and remote_overlay != NO_OVERLAY:
            taken = restored.start_with(rows, remote_overlay)
        else:
            span = joined_span(document, version)
            taken = restored.take(rows, restored.reads(document, span, is_new_era))
        if isinstance(taken, Failure):
            report_malformed(emit, version, taken.failure())
            return False
        if is_new_era:
            logs.restored(document, version)
        if not document.revision:
            document.is_unproven = version.era > 0 and remote_overlay == NO_OVERLAY
        row_names = frozenset((*delta.changed, *delta.removed))
        document.deltas.append(AppliedDelta(document.digest, row_names))
        document.digest = digest_after(document.digest, document.rows, delta)
        document.rows = rows
        document.value = taken.unwrap()
        refresh(document, version)
        metrics.time(f"{kind}_age_when_taken_seconds", version.age)
        emit(
            events.KNOWLEDGE_CHANGED,
            kind=kind,
            revision=version.revision,
            age=round(version.age, 3),
            source=source,
            rows=len(row_names),
        )
        handle_overlay_change(kind, before)
        notify(document)
        return True

    def notify(document):
        for subscriber in document.subscribers:
            subscriber(document.value)

    def handle_overlay_change(kind, before):
        """Log a change of the overlay, and have it settled in time."""
        document, restored = document_by_kind[kind], overlay_by_kind[kind]
        if restored.overlay() == before:
            return
        logs.overlay_changed(kind, document, restored, before)
        if restored.overlay() != NO_OVERLAY and not document.is_settling:
            document.is_settling = True
            kernel.spawn(settle_in_time, kind)

    def settle_in_time(kind):
        """Release rows in time, also when nothing else changes.

        If the store was not read at the end of the time, a later read releases them.
        """
        document, restored = document_by_kind[kind], overlay_by_kind[kind]
        until = restored.sleep_until(document.read_span)
        while until is not None:
            kernel.clock.sleep(until - now())
            settle(kind)
            until = restored.sleep_until(document.read_span)
        document.is_settling = False

    def settle(kind):
        """Stop retaining and withholding rows whose time has passed."""
        document, restored = document_by_kind[kind], overlay_by_kind[kind]
        before = restored.overlay()
        if before != NO_OVERLAY:
            reads = restored.reads(document, document.read_span)
            use(kind, restored.settle(reads), before)

    def learn(kind, overlay, source):
        document, restored = document_by_kind[kind], overlay_by_kind[kind]
        before = restored.overlay()
        reads = restored.reads(document, document.read_span)
        if use(kind, restored.learn(overlay, reads), before):
            logs.learned(kind, document, source)

    def use(kind, outcome, before):
        """Use the value of an overlay that changed; tell whether there is one."""
        if outcome is None:
            return False
        if isinstance(outcome, Failure):
            report_malformed(emit, version(kind), outcome.failure())
            return False
        document_by_kind[kind].is_unproven = False
        document_by_kind[kind].value = outcome.unwrap()
        handle_overlay_change(kind, before)
        notify(document_by_kind[kind])
        return True

    def refresh(document, version):
        document.read_span = joined_span(document, version)
        document.era, document.revision = version.era, version.revision
        document.held_at = max(document.held_at, now() - version.age)
        if document.known_since is None:
            document.known_since = document.held_at
        settle_proof(document, now())
        record_renewal(document, renewal_seconds)
        settle(version.kind)

    def extend_span(document, version):
        document.read_span = joined_span(document, version)
        record_renewal(document, renewal_seconds)
        settle(version.kind)

    def joined_span(document, version):
        """Return the read span of a document with what another version tells of it."""
        if version.kind not in EXPIRING_KINDS and not version.era:
            return NO_READS
        read_span = ReadSpan(now() - version.unbroken_seconds, now() - version.age)
        if version.era != document.era:
            # Entries written in one era may be missing in another one.
            return read_span if version.era > document.era else document.read_span
        return join_spans(document.read_span, read_span)

    def confirm(remote):
        document = document_by_kind.get(remote.kind)
        if document is None or not remote.revision:
            return False
        if remote.era == document.era:
            # Also a host with an older document may have read the store without an
            # outage.
            extend_span(document, remote)
        if (remote.era, remote.revision) < (document.era, document.revision):
            return False
        if not document.revision or remote.digest != document.digest:
            return is_newer(document, remote)
        if remote.era > document.era:
            apply(remote, Delta({}, ()), "gossip")
        else:
            refresh(document, remote)
        return overlay_by_kind[remote.kind].is_unknown(remote.overlay_digest)

    def age(kind):
        return now() - document_by_kind[kind].held_at

    def renewed_age(kind):
        return now() - document_by_kind[kind].renewed_at

    def is_document_unproven(kind):
        return is_unproven(document_by_kind[kind], now())

    def version(kind):
        document = document_by_kind[kind]
        started_at = document.read_span.started_at
        unbroken_seconds = now() - started_at if document.read_span != NO_READS else 0.0
        return DocumentVersion(
            kind,
            document.revision,
            document.digest,
            age(kind),
            unbroken_seconds,
            document.era,
            overlay_by_kind[kind].shared_digest(),
        )

    for kind in kinds:
        metrics.gauge(f"{kind}_age_seconds", partial(age, kind))
        logs.add_gauges(kind, overlay_by_kind[kind].overlay)
        metrics.gauge(f"{kind}_unproven", partial(is_document_unproven, kind))
    service = DocumentCache(
        apply_document,
        apply_delta,
        confirm,
        lambda kind: document_by_kind[kind].value,
        version,
        lambda kind: document_by_kind[kind].rows,
        lambda kind, digest: delta_since(document_by_kind[kind], digest),
        age,
        lambda kind, function: document_by_kind[kind].subscribers.append(function),
        learn,
        lambda kind: overlay_by_kind[kind].shared(),
        is_document_unproven,
        renewed_age,
        kinds,
    )
    kernel.register("document_cache", service)
    return service

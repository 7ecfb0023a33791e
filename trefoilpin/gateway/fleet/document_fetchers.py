"""Documents from other hosts, received in a gossip message or fetched over HTTP."""

from typing import Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.fleet.messages import NO_BASE
from trefoilpin.gateway.store.document_cache import report_malformed
from trefoilpin.gateway.store.store_restores import NO_OVERLAY, Overlay

__all__ = ["DocumentFetchers", "create"]

RETRY_PAUSE_SECONDS = 0.1
# A host whose documents can't be used is asked ever later, so that it costs little
# and those of other hosts are fetched meanwhile.
MIN_DISTRUST_SECONDS = 0.2
MAX_DISTRUST_SECONDS = 6.4
MAX_DISTRUSTED_HOSTS = 1024


class FetchState:
    """Kinds that are fetched, and hosts whose documents could not be used.

    Attributes
    ----------
    fetching : set of str
    distrust_by_source : dict
        Seconds for which nothing is fetched, and until when, by address and kind.
    """

    def __init__(self):
        self.fetching: set[str] = set()
        self.distrust_by_source: dict[tuple[str, str], tuple[float, float]] = {}


class DocumentFetchers(NamedTuple):
    """``document_fetchers``: documents from other hosts.

    ``receive_document(address, document)`` applies a document or delta from a host.
    ``handle_versions(address, versions)`` starts a fetch for each document of which the
    host has a newer version, at most one per kind at a time. ``fetch(address, kind)``
    fetches a document now.
    """

    receive_document: Callable
    handle_versions: Callable
    fetch: Callable[[str, str], None]


def create(kernel, fetch_from, codec):
    """Create the service ``document_fetchers``.

    Parameters
    ----------
    kernel : Kernel
    fetch_from : callable
        ``fetch_from(address, kind, base)`` returns a ``Result`` with a ``Document``,
        either whole or a delta from the one with digest ``base``.
    codec : DocumentCodec

    Returns
    -------
    DocumentFetchers
    """
    state = FetchState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")

    def handle_versions(address, versions):
        for version in versions:
            if not document_cache.confirm(version) or version.kind in state.fetching:
                continue
            _, until = state.distrust_by_source.get((address, version.kind), (0.0, 0.0))
            if now() >= until:
                state.fetching.add(version.kind)
                kernel.spawn(fetch_newer, address, version.kind)

    def fetch_newer(address, kind):
        """Fetch a document from the host that advertised a newer version."""
        before = document_cache.version(kind)
        held_at = now() - before.age
        try:
            if not fetch(address, kind):
                kernel.clock.sleep(RETRY_PAUSE_SECONDS)
                return
        finally:
            state.fetching.discard(kind)
        after = document_cache.version(kind)
        is_same = after._replace(age=0, unbroken_seconds=0) == before._replace(
            age=0, unbroken_seconds=0
        )
        update_distrust(address, kind, is_same and now() - after.age <= held_at)

    def update_distrust(address, kind, is_useless):
        """Ask a host later after each fetch that changed nothing here."""
        seconds, _ = state.distrust_by_source.pop((address, kind), (0.0, 0.0))
        if not is_useless:
            return
        seconds = min(max(seconds * 2, MIN_DISTRUST_SECONDS), MAX_DISTRUST_SECONDS)
        while len(state.distrust_by_source) >= MAX_DISTRUSTED_HOSTS:
            del state.distrust_by_source[next(iter(state.distrust_by_source))]
        state.distrust_by_source[address, kind] = (seconds, now() + seconds)

    def fetch(address, kind):
        """Fetch a document from a host; return False when that failed."""
        started = now()
        outcome = fetch_from(address, kind, document_cache.version(kind).digest)
        if isinstance(outcome, Failure):
            detail = str(outcome.failure())
            emit(events.FETCH_FAILED, host=address, kind=kind, detail=detail)
            return False
        document, seconds = outcome.unwrap(), now() - started
        log_fetch(address, document, seconds)
        receive_document(address, document._replace(age=document.age + seconds))
        return True

    def log_fetch(address, document, seconds):
        metrics.time("document_fetch_seconds", seconds)
        emit(
            events.DOCUMENT_FETCHED,
            host=address,
            kind=document.kind,
            revision=document.revision,
            bytes=len(document.data),
            milliseconds=round(seconds * 1000, 1),
        )

    def receive_document(address, document):
        if document.kind not in document_cache.kinds:
            return
        if document.base == NO_BASE:
            receive_whole(address, document)
        else:
            receive_delta(address, document)

    def receive_whole(address, document):
        version = document_cache.version(document.kind)
        if (document.era, document.revision) < (version.era, version.revision):
            return
        decoded = codec.decode_rows(document.data)
        if isinstance(decoded, Failure):
            report_malformed(emit, document, decoded.failure())
            return
        rows = decoded.unwrap()
        overlay = decode_overlay(document)
        document_cache.apply_document(
            document.kind,
            document.revision,
            rows,
            document.age,
            address,
            document.unbroken_seconds,
            document.era,
            overlay,
        )
        if rows == document_cache.rows(document.kind):
            learn(address, document, overlay)

    def decode_overlay(document):
        """Return what a host retains and withholds; nothing when it is malformed."""
        decoded = codec.decode_rows(document.retained) if document.retained else None
        if isinstance(decoded, Failure):
            report_malformed(emit, document, decoded.failure())
            return NO_OVERLAY
        retained = decoded.unwrap() if decoded is not None else {}
        return Overlay(retained, frozenset(document.withheld))

    def learn(address, document, overlay):
        """Take over what is in force at a host that has the same document."""
        era = document_cache.version(document.kind).era
        if document.era == era and overlay != NO_OVERLAY:
            document_cache.learn(document.kind, overlay, address)

    def receive_delta(address, document):
        version = document_cache.version(document.kind)
        if document.base != version.digest:
            # The version in the same message triggers a fetch with the right base.
            return
        decoded = codec.decode_delta(document.data)
        if isinstance(decoded, Failure):
            report_malformed(emit, document, decoded.failure())
            return
        delta_and_digest = decoded.unwrap()
        if delta_and_digest[1] == version.digest:
            confirmed = version._replace(
                revision=document.revision,
                age=document.age,
                unbroken_seconds=document.unbroken_seconds,
                era=document.era,
            )
            document_cache.confirm(confirmed)
            learn(address, document, decode_overlay(document))
            return
        document_cache.apply_delta(
            document.kind,
            document.revision,
            document.base,
            delta_and_digest,
            document.age,
            address,
            document.unbroken_seconds,
            document.era,
        )
        if delta_and_digest[1] == document_cache.version(document.kind).digest:
            learn(address, document, decode_overlay(document))

    service = DocumentFetchers(receive_document, handle_versions, fetch)
    kernel.register("document_fetchers", service)
    return service

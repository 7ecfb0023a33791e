"""Documents from other hosts, received with a gossip message or fetched."""

from typing import Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.document_cache import KINDS
from trefoilpin.gateway.messages import WHOLE

__all__ = ["DocumentFetchers", "create"]

PAUSE_SECONDS = 0.1


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
        ``fetch_from(address, kind, base)`` gives a ``Result`` with a ``Document``,
        whole or as changes of the one with the digest ``base``.
    codec : DocumentCodec

    Returns
    -------
    DocumentFetchers
    """
    fetching: set[str] = set()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    document_cache = kernel.find("document_cache")

    def handle_versions(address, versions):
        for version in versions:
            if document_cache.confirm(version) and version.kind not in fetching:
                fetching.add(version.kind)
                kernel.spawn(fetch_told, address, version.kind)

    def fetch_told(address, kind):
        """Get a newer document from the host that told of it."""
        try:
            if not fetch(address, kind):
                kernel.clock.sleep(PAUSE_SECONDS)
        finally:
            fetching.discard(kind)

    def fetch(address, kind):
        """Get a document from a host; return False when that failed."""
        started = now()
        outcome = fetch_from(address, kind, document_cache.version(kind).digest)
        if isinstance(outcome, Failure):
            detail = str(outcome.failure())
            emit(events.FETCH_FAILED, host=address, kind=kind, detail=detail)
            return False
        found, seconds = outcome.unwrap(), now() - started
        note_fetch(address, found, seconds)
        receive_document(address, found._replace(age=found.age + seconds))
        return True

    def note_fetch(address, found, seconds):
        metrics.time("document_fetch_seconds", seconds)
        emit(
            events.DOCUMENT_FETCHED,
            host=address,
            kind=found.kind,
            revision=found.revision,
            bytes=len(found.document),
            milliseconds=round(seconds * 1000, 1),
        )

    def receive_document(address, found):
        if found.kind not in KINDS:
            return
        if found.base == WHOLE:
            take_whole(address, found)
        else:
            take_changes(address, found)

    def take_whole(address, found):
        if found.revision <= document_cache.version(found.kind).revision:
            return
        decoded = codec.decode_rows(found.document)
        if isinstance(decoded, Failure):
            report_malformed(found, decoded.failure())
            return
        rows = decoded.unwrap()
        document_cache.apply_document(
            found.kind, found.revision, rows, found.age, address
        )

    def take_changes(address, found):
        version = document_cache.version(found.kind)
        if found.base != version.digest:
            # The stamp that comes with it has the right changes fetched.
            return
        decoded = codec.decode_delta(found.document)
        if isinstance(decoded, Failure):
            report_malformed(found, decoded.failure())
            return
        told = decoded.unwrap()
        if told[1] == version.digest:
            same = version._replace(revision=found.revision, age=found.age)
            document_cache.confirm(same)
            return
        document_cache.apply_delta(
            found.kind, found.revision, found.base, told, found.age, address
        )

    def report_malformed(found, detail):
        emit(
            events.DOCUMENT_MALFORMED,
            kind=found.kind,
            revision=found.revision,
            detail=detail,
        )

    service = DocumentFetchers(receive_document, handle_versions, fetch)
    kernel.register("document_fetchers", service)
    return service

"""Fetches of documents from hosts that advertise ones that can't be used."""

from returns.result import Success

from trefoilpin.fakes.gateways import create_document_cache, create_host
from trefoilpin.gateway.fleet import document_fetchers
from trefoilpin.gateway.fleet.messages import Document
from trefoilpin.gateway.store.document_cache import CONFIGURATION, DocumentVersion
from trefoilpin.gateway.store.documents import CODEC

ODD, SOUND = "10.0.0.1", "10.0.0.2"
MESSAGE_SECONDS = 0.4


def create():
    """Return fetchers, their cache, clock and fetches, of two hosts."""
    kernel, clock, _ = create_host()
    tasks, fetched = [], []
    kernel = kernel._replace(spawn=lambda *task: tasks.append(task))
    values = {}
    cache, put = create_document_cache(kernel, values)

    def fetch(address, kind, base):
        fetched.append(address)
        data = b"odd"
        if address == SOUND:
            revision = 10 + len(fetched)
            values[repr(revision)] = revision
            data = CODEC.encode_rows({"value": repr(revision)})
            return Success(Document(kind, revision, 0.0, data, 0))
        return Success(Document(kind, 1 << 40, 0.0, data, 0))

    fetchers = document_fetchers.create(kernel, fetch, CODEC)

    def run():
        while tasks:
            function, *arguments = tasks.pop(0)
            function(*arguments)

    return fetchers, cache, clock, fetched, run


def test_a_host_with_odd_documents_is_asked_ever_later_and_others_meanwhile():
    """Guards against fetches without end from a faulty host, and in its place."""
    fetchers, cache, clock, fetched, run = create()
    odd = DocumentVersion(CONFIGURATION, 1 << 40, 1, 0.0)
    for number in range(150):
        fetchers.handle_versions(ODD, [odd])
        run()
        sound = DocumentVersion(CONFIGURATION, 1000 + number, 2 + number, 0.0)
        fetchers.handle_versions(SOUND, [sound])
        run()
        clock.time += MESSAGE_SECONDS
    seconds = 150 * MESSAGE_SECONDS
    assert fetched.count(ODD) <= seconds / document_fetchers.MAX_DISTRUST_SECONDS + 8
    assert fetched.count(SOUND) == 150
    assert cache.value(CONFIGURATION) > 150

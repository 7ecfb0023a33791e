"""Transfer of the whole configuration in parts, between hosts and through the store.

Part ``i`` of ``n`` holds the objects whose hash is ``i`` modulo ``n``, each with the
number of the ticket that last changed it. Parts may be taken at different times:
merged, they hold at least what was in force when the first part was taken, and
anything newer in them is what later tickets set as well.
"""

import zlib
from typing import Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.configurations import ObjectVersion
from trefoilpin.services import Snapshots

__all__ = [
    "PartReply",
    "PartRequest",
    "SnapshotCodec",
    "TailReply",
    "TailRequest",
    "create",
]

OBJECTS_PER_PART = 1500
OBJECTS_PER_YIELD = 500
MAX_PART_BYTES = 900_000
MAX_PARTS = 100_000
MAX_TAIL_BYTES = 2_000_000
PART_TIMEOUT_SECONDS = 5.0
TAIL_TIMEOUT_SECONDS = 0.5
TICKETS_PER_SNAPSHOT = 500
WRITE_INTERVAL_SECONDS = 60.0
MAX_HOSTS_ASKED = 4
SNAPSHOT_PREFIX = "snapshots/"
LATEST_PATH = "snapshots/latest"


class TailRequest(NamedTuple):
    """Request for the tickets after a number."""

    after: int


class TailReply(NamedTuple):
    """Tickets as JSON text; ``gone`` when some of them are no longer kept."""

    gone: bool
    tickets: tuple[str, ...]


class PartRequest(NamedTuple):
    """Request for one part; ``parts`` is 0 while their number is unknown."""

    position: int
    parts: int


class PartReply(NamedTuple):
    """One part, with the highest number up to which every ticket is in force there."""

    head: int
    parts: int
    digest: str
    text: str


class SnapshotCodec(NamedTuple):
    """Functions that encode and decode tickets and object versions."""

    encode_ticket: Callable
    decode_ticket: Callable
    encode_versions: Callable
    decode_versions: Callable


def part_position(version, parts):
    """Return the position of the part that contains an object."""
    return zlib.crc32(f"{version.kind}\0{version.id}".encode()) % parts


class Index(NamedTuple):
    """Index of the latest snapshot in the store.

    Attributes
    ----------
    head : int
        Highest number up to which every ticket is in the snapshot.
    token : str
        Random part of the parts' paths, so that two writers don't mix their parts.
    digests : tuple of str
        Hexadecimal SHA-256 of each part.
    """

    head: int
    token: str
    digests: tuple[str, ...]


def path_of_part(index, position):
    """Return the path of a part in the store."""
    return f"{SNAPSHOT_PREFIX}{index.head}-{index.token}/{position}"


def parse_index(value):
    """Return the ``Index`` of a stored value, or None when it is malformed."""
    if not isinstance(value, dict) or not isinstance(value.get("digests"), list):
        return None
    index = Index(value.get("head"), value.get("token"), tuple(value["digests"]))
    if type(index.head) is not int or not isinstance(index.token, str):
        return None
    return index if all(isinstance(item, str) for item in index.digests) else None


def create(kernel, codec):
    """Create the service ``snapshots``.

    Parameters
    ----------
    kernel : Kernel
    codec : SnapshotCodec

    Returns
    -------
    Snapshots
    """
    emit = kernel.find("events").emit
    store = kernel.find("store")
    peers = kernel.find("peers")
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")

    def log_failure(source, detail):
        """Log a failure and return False, the result of a failed transfer."""
        emit(events.SNAPSHOT_FAILED, source=source, detail=detail)
        return False

    def encode_part(position, parts):
        selected = []
        for count, version in enumerate(configurations.versions()):
            if part_position(version, parts) == position:
                selected.append(version)
            if count % OBJECTS_PER_YIELD == 0:
                kernel.clock.sleep(0)
        return codec.encode_versions(selected)

    def count_parts():
        objects = sum(1 for _ in configurations.versions())
        return max(1, -(-objects // OBJECTS_PER_PART))

    def serve_part(sender, request):
        head = configurations.head()
        parts = min(request.parts, MAX_PARTS) if request.parts > 0 else count_parts()
        text, digest = encode_part(request.position, parts)
        return PartReply(head, parts, digest, text)

    def serve_tail(sender, request):
        tickets = configurations.recent(request.after)
        if tickets is None:
            return TailReply(True, ())
        texts, size = [], 0
        for ticket in tickets:
            text = codec.encode_ticket(ticket)
            size += len(text)
            if texts and size > MAX_TAIL_BYTES:
                break
            texts.append(text)
        return TailReply(False, tuple(texts))

    def fetch(host):
        request = TailRequest(configurations.head())
        called = peers.call(
            host.peer_address, "snapshots.tail", request, TAIL_TIMEOUT_SECONDS
        )
        if isinstance(called, Failure):
            return False
        if called.unwrap().gone:
            return fetch_all_parts(host)
        for text in called.unwrap().tickets:
            decoded = codec.decode_ticket(text)
            if isinstance(decoded, Failure):
                return log_failure(host.name, str(decoded.failure()))
            configurations.apply(decoded.unwrap())
        return True

    def fetch_all_parts(host):
        position, parts, head, versions = 0, 0, None, []
        while parts == 0 or position < parts:
            called = peers.call(
                host.peer_address,
                "snapshots.part",
                PartRequest(position, parts),
                PART_TIMEOUT_SECONDS,
            )
            if isinstance(called, Failure):
                return log_failure(host.name, called.failure().detail)
            reply = called.unwrap()
            decoded = codec.decode_versions(reply.text, reply.digest)
            if isinstance(decoded, Failure):
                return log_failure(host.name, str(decoded.failure()))
            versions += decoded.unwrap()
            head = reply.head if head is None else head
            parts = reply.parts
            position += 1
        restore(versions, head)
        return True

    def load_once():
        others = [host for host in memberships.roster() if host != memberships.own()]
        asked = kernel.rng.sample(others, min(MAX_HOSTS_ASKED, len(others)))
        for host in asked:
            if fetch_all_parts(host) and configurations.head() > 0:
                return True
        return load_from_store()

    def load_from_store():
        latest = store.get(LATEST_PATH)
        if isinstance(latest, Failure):
            return False
        index = parse_index(latest.unwrap().value)
        if index is None:
            return log_failure("store", "the index of the latest snapshot is malformed")
        versions = []
        for position, digest in enumerate(index.digests):
            part = store.get(path_of_part(index, position))
            if isinstance(part, Failure):
                return log_failure("store", part.failure().detail)
            decoded = codec.decode_versions(str(part.unwrap().value), digest)
            if isinstance(decoded, Failure):
                return log_failure("store", str(decoded.failure()))
            versions += decoded.unwrap()
        restore(versions, index.head)
        return True

    def restore(versions, head):
        configurations.restore([ObjectVersion(*row) for row in versions], head)

    def encode_all():
        parts = count_parts()
        while True:
            encoded = [encode_part(position, parts) for position in range(parts)]
            largest = max(len(text.encode()) for text, _ in encoded)
            if largest <= MAX_PART_BYTES or parts >= MAX_PARTS:
                return encoded
            parts *= 2

    def write_once():
        head = configurations.head()
        if head < TICKETS_PER_SNAPSHOT or not memberships.is_current():
            return False
        if memberships.first("snapshot") != memberships.own():
            return False
        latest = store.get(LATEST_PATH)
        if isinstance(latest, Failure) and not latest.failure().missing:
            return False
        stored = latest.value_or(None)
        index = parse_index(stored.value) if stored else None
        if index and head < index.head + TICKETS_PER_SNAPSHOT:
            return False
        return write(head, stored, index)

    def write(head, stored, replaced):
        encoded = encode_all()
        digests = tuple(digest for _, digest in encoded)
        index = Index(head, f"{kernel.rng.getrandbits(64):016x}", digests)
        for position, (text, _) in enumerate(encoded):
            created = store.create(path_of_part(index, position), text)
            if isinstance(created, Failure):
                return log_failure("store", created.failure().detail)
        if stored is None:
            written = store.create(LATEST_PATH, index._asdict())
        else:
            written = store.update(LATEST_PATH, index._asdict(), stored.version)
        if isinstance(written, Failure):
            return log_failure("store", written.failure().detail)
        if replaced:
            delete_parts(replaced)
        return True

    def delete_parts(index):
        for position in range(len(index.digests)):
            path = path_of_part(index, position)
            read = store.get(path)
            if isinstance(read, Success):
                store.delete(path, read.unwrap().version)

    def write_forever():
        while True:
            kernel.clock.sleep(WRITE_INTERVAL_SECONDS * (0.5 + kernel.rng.random()))
            write_once()

    peers.serve("snapshots.part", serve_part)
    peers.serve("snapshots.tail", serve_tail)
    memberships.on_newer_tickets(fetch)
    service = Snapshots(fetch, load_once, write_once)
    kernel.register("snapshots", service, lambda: kernel.spawn(write_forever))
    return service

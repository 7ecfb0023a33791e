"""Builds gossip messages according to the receiver and to recent changes."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION, KINDS
from trefoilpin.gateway.messages import NO_BASE, Document, GossipMessage

__all__ = ["GossipBuilders", "create"]

# Period in which a peer gets all member records; every message has recent changes.
FULL_MEMBERS_PERIOD_SECONDS = 1.0
# Member records are collected and encoded once for all messages within this time.
MAX_CACHE_AGE_SECONDS = 0.1
# With more accounts than this, a message holds only those with recent requests.
MAX_ACCOUNTS = 100
# Whole documents up to this size are sent in gossip messages within a zone, and deltas
# up to this size to all peers; larger ones are fetched.
MAX_INLINE_BYTES = 6_000


class GossipBuilders(NamedTuple):
    """``gossip_builders``: builds gossip messages.

    ``build(with_versions, records, wants_reply)`` returns a message about this host
    with the given member records, ``build_introduction(versions)`` one for a host that
    has only the given document versions, and ``build_for_peer(peer)`` the regular one
    for a ``Peer``.
    ``member_records()`` returns the records of all hosts. ``build_document(kind,
    base)`` returns a ``Document`` for a host that holds the one with digest ``base``.
    ``drop_member_records()`` discards the cached records. ``start_admission_period()``
    starts a new period; only accounts whose counts changed since its start are sent
    when there are many.
    """

    build: Callable
    build_introduction: Callable[[tuple], GossipMessage]
    build_for_peer: Callable
    build_document: Callable[[str, int], Document]
    member_records: Callable
    drop_member_records: Callable[[], None]
    start_admission_period: Callable[[], None]


class GossipBuilderState:
    """Cached parts of recent messages."""

    def __init__(self):
        self.sequence = 0
        self.records_by_function: dict = {}
        self.admitted_at_period_start: dict[str, int] = {}
        self.encoded_by_key: dict[tuple[str, int], tuple[bytes, int]] = {}


def create(kernel, codec):
    """Create the service ``gossip_builders``.

    Parameters
    ----------
    kernel : Kernel
    codec : DocumentCodec

    Returns
    -------
    GossipBuilders
    """
    state = GossipBuilderState()
    now = kernel.clock.now
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    upstreams = kernel.find("upstreams")
    rate_limits = kernel.find("rate_limits")
    poison_requests = kernel.find("poison_requests")
    own = members.own

    def build(with_versions=True, records=(), wants_reply=False):
        """Return a message about this host, its documents and some members."""
        state.sequence += 1
        versions = (
            tuple(document_cache.version(kind) for kind in KINDS)
            if with_versions
            else ()
        )
        return GossipMessage(
            incarnation=own.incarnation,
            sequence=state.sequence,
            zone=own.zone,
            region=own.region,
            capacity=own.capacity,
            load=members.load(),
            is_stopping=members.is_stopping(),
            is_serving=members.is_serving(),
            wants_reply=wants_reply,
            sends_regularly=False,
            configuration_age=document_cache.age(CONFIGURATION),
            versions=versions,
            members=records,
            outcomes=(),
            in_flight_by_upstream={},
            admitted_by_account={},
            documents=(),
            broken_requests=poison_requests.recent_breaks(),
        )

    def cached_records(list_records):
        """Return member records, the same ones for all messages within a short time."""
        cached_at, records = state.records_by_function.get(
            list_records, (float("-inf"), ())
        )
        if now() - cached_at > MAX_CACHE_AGE_SECONDS:
            # Ages must remain upper bounds for as long as the records are cached.
            records = tuple(
                record._replace(age=record.age + MAX_CACHE_AGE_SECONDS)
                for record in list_records()
            )
            state.records_by_function[list_records] = (now(), records)
        return records

    def member_records():
        return cached_records(members.records)

    def records_for(peer):
        """Return the records for a peer: periodically all, otherwise recent changes."""
        if not peer.receives_documents:
            return ()
        if now() - peer.members_sent_at <= FULL_MEMBERS_PERIOD_SECONDS:
            return cached_records(members.changed_records)
        peer.members_sent_at = now()
        return member_records()

    def build_for_peer(peer):
        """Return the regular message for a peer."""
        message = build(peer.receives_documents, records_for(peer))._replace(
            sends_regularly=True
        )
        if peer.receives_documents:
            message = message._replace(documents=new_documents_for(peer))
        if not peer.in_mesh:
            return message
        is_same_zone = peer.zone == own.zone
        return message._replace(
            outcomes=upstreams.recent_outcomes(is_same_zone),
            in_flight_by_upstream=upstreams.in_flight_counts(
                None if is_same_zone else peer.zone
            ),
            admitted_by_account=recent_admitted_counts(),
        )

    def new_documents_for(peer):
        """Return small documents that are new since the last message to a peer."""
        documents = []
        for kind in KINDS:
            version = document_cache.version(kind)
            base = peer.sent_digest_by_kind.get(kind)
            if version.digest == base or not version.revision:
                continue
            peer.sent_digest_by_kind[kind] = version.digest
            document = build_document(kind, base or NO_BASE)
            if len(document.data) > MAX_INLINE_BYTES:
                document = build_document(kind, NO_BASE)
            # Traffic between zones is costly; each zone fetches a whole document once.
            is_fetched = document.base == NO_BASE and peer.zone != own.zone
            if not is_fetched and len(document.data) <= MAX_INLINE_BYTES:
                documents.append(document)
        return tuple(documents)

    def build_document(kind, base):
        """Return the delta from the document with digest ``base``, or the whole one."""
        version = document_cache.version(kind)
        if (kind, base) not in state.encoded_by_key:
            state.encoded_by_key[kind, base] = encode_document(
                kind, base, version.digest
            )
        data, known_base = state.encoded_by_key[kind, base]
        return Document(kind, version.revision, version.age, data, known_base)

    def encode_document(kind, base, digest):
        delta = None if base == NO_BASE else document_cache.delta_since(kind, base)
        if delta is None:
            return codec.encode_rows(document_cache.rows(kind)), NO_BASE
        return codec.encode_delta(delta, digest), base

    def drop_encoded_documents(kind):
        for key in list(state.encoded_by_key):
            if key[0] == kind:
                del state.encoded_by_key[key]

    def build_introduction(versions):
        """Return a message for a new host with the documents that it does not have."""
        known = {
            (received.kind, received.digest)
            for received in versions
            if received.revision
        }
        documents = []
        for kind in KINDS:
            version = document_cache.version(kind)
            if not version.revision or (kind, version.digest) in known:
                continue
            document = build_document(kind, NO_BASE)
            if len(document.data) <= MAX_INLINE_BYTES:
                documents.append(document)
        return build(records=member_records())._replace(documents=tuple(documents))

    def recent_admitted_counts():
        counts = rate_limits.admitted_counts()
        if len(counts) <= MAX_ACCOUNTS:
            return counts
        changed = {}
        for account, count in counts.items():
            if state.admitted_at_period_start.get(account) != count:
                changed[account] = count
        return changed

    def start_admission_period():
        if len(rate_limits.admitted_counts()) > MAX_ACCOUNTS:
            state.admitted_at_period_start = dict(rate_limits.admitted_counts())

    for kind in KINDS:
        document_cache.subscribe(
            kind, lambda value, kind=kind: drop_encoded_documents(kind)
        )
    service = GossipBuilders(
        build,
        build_introduction,
        build_for_peer,
        build_document,
        member_records,
        state.records_by_function.clear,
        start_admission_period,
    )
    kernel.register("gossip_builders", service)
    return service

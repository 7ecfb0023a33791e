"""Builds gossip messages according to the receiver and what is new."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION, KINDS
from trefoilpin.gateway.messages import NO_BASE, Document, GossipMessage

__all__ = ["GossipBuilders", "create"]

# All hosts are told of this often, what is new of them with every gossip message.
MEMBERS_SECONDS = 1.0
# Rows are put together and encoded once for all hosts that are told within this time.
VIEW_SECONDS = 0.1
# With more accounts than this, a gossip message holds those that were admitted lately.
MAX_ACCOUNTS = 100
# Documents up to this size go along within a zone, and changes of documents to all;
# larger ones are fetched.
MAX_SENT_BYTES = 6_000


class GossipBuilders(NamedTuple):
    """``gossip_builders``: builds gossip messages.

    ``build(with_versions, rows, wants_reply)`` returns a message about this host with
    the given member records, ``build_introduction(versions)`` one for a host that knows
    little, and ``build_for_peer(peer)`` the regular one for a ``Peer``.
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
        self.rows_by_function: dict = {}
        self.admitted_before: dict[str, int] = {}
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

    def build(with_versions=True, rows=(), wants_reply=False):
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
            members=rows,
            outcomes=(),
            in_flight_by_upstream={},
            admitted_by_account={},
            documents=(),
            broken_requests=poison_requests.recent_breaks(),
        )

    def rows_of(describe):
        """Return rows on members, the same for all who are told them together."""
        made_at, rows = state.rows_by_function.get(describe, (float("-inf"), ()))
        if now() - made_at > VIEW_SECONDS:
            # Ages must hold for as long as the rows are used.
            rows = tuple(row._replace(age=row.age + VIEW_SECONDS) for row in describe())
            state.rows_by_function[describe] = (now(), rows)
        return rows

    def member_records():
        return rows_of(members.records)

    def rows_for(peer):
        """Return the rows a relay tells: all of them now and then, else what is new."""
        if not peer.receives_documents:
            return ()
        if now() - peer.members_at <= MEMBERS_SECONDS:
            return rows_of(members.changed_records)
        peer.members_at = now()
        return member_records()

    def build_for_peer(peer):
        """Return what one host has to hear."""
        message = build(peer.receives_documents, rows_for(peer))._replace(
            sends_regularly=True
        )
        if peer.receives_documents:
            message = message._replace(documents=documents_for(peer))
        if not peer.in_mesh:
            return message
        is_near = peer.zone == own.zone
        return message._replace(
            outcomes=upstreams.recent_outcomes(is_near),
            in_flight_by_upstream=upstreams.in_flight_counts(
                None if is_near else peer.zone
            ),
            admitted_by_account=admitted(),
        )

    def documents_for(peer):
        """Return small documents that are new since the last message to a peer."""
        found = []
        for kind in KINDS:
            version = document_cache.version(kind)
            base = peer.sent_digest_by_kind.get(kind)
            if version.digest == base or not version.revision:
                continue
            peer.sent_digest_by_kind[kind] = version.digest
            small = build_document(kind, base or NO_BASE)
            if len(small.data) > MAX_SENT_BYTES:
                small = build_document(kind, NO_BASE)
            # Bytes between zones are dear; a whole document is fetched there once.
            is_far = small.base == NO_BASE and peer.zone != own.zone
            if not is_far and len(small.data) <= MAX_SENT_BYTES:
                found.append(small)
        return tuple(found)

    def build_document(kind, base):
        """Return what turns the document of a digest into the present one, or all."""
        version = document_cache.version(kind)
        if (kind, base) not in state.encoded_by_key:
            state.encoded_by_key[kind, base] = pack(kind, base, version.digest)
        data, known_base = state.encoded_by_key[kind, base]
        return Document(kind, version.revision, version.age, data, known_base)

    def pack(kind, base, digest):
        changes = None if base == NO_BASE else document_cache.delta_since(kind, base)
        if changes is None:
            return codec.encode_rows(document_cache.rows(kind)), NO_BASE
        return codec.encode_delta(changes, digest), base

    def drop_encoded(kind):
        for key in list(state.encoded_by_key):
            if key[0] == kind:
                del state.encoded_by_key[key]

    def build_introduction(versions):
        """Return a gossip message for a host that knows little, by its stamps."""
        known = {(told.kind, told.digest) for told in versions if told.revision}
        found = []
        for kind in KINDS:
            version = document_cache.version(kind)
            if not version.revision or (kind, version.digest) in known:
                continue
            whole = build_document(kind, NO_BASE)
            if len(whole.data) <= MAX_SENT_BYTES:
                found.append(whole)
        return build(rows=member_records())._replace(documents=tuple(found))

    def admitted():
        counts = rate_limits.admitted_counts()
        if len(counts) <= MAX_ACCOUNTS:
            return counts
        changed = {}
        for account, count in counts.items():
            if state.admitted_before.get(account) != count:
                changed[account] = count
        return changed

    def start_admission_period():
        if len(rate_limits.admitted_counts()) > MAX_ACCOUNTS:
            state.admitted_before = dict(rate_limits.admitted_counts())

    for kind in KINDS:
        document_cache.subscribe(kind, lambda value, kind=kind: drop_encoded(kind))
    service = GossipBuilders(
        build,
        build_introduction,
        build_for_peer,
        build_document,
        member_records,
        state.rows_by_function.clear,
        start_admission_period,
    )
    kernel.register("gossip_builders", service)
    return service

"""What a gossip message holds, by who is told and what is new."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.document_cache import CONFIGURATION, KINDS
from trefoilpin.gateway.messages import WHOLE, GossipMessage, Document

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
    """``gossip_builders``: messages ready to be sent.

    ``compose(with_stamps, rows, wants_reply)`` gives one on this host and what is asked
    for, ``introduce(stamps)`` one for a host that knows little, ``for_peer(peer)``
    what a ``Peer`` has to hear, and ``view()`` the rows on all hosts. ``parcel(kind,
    base)`` gives a ``Document`` for a host that holds the one with the digest ``base``.
    ``drop_rows()`` has rows put together anew, ``turn_page()`` ends the time within
    which admitted requests count as new.
    """

    compose: Callable
    introduce: Callable[[tuple], GossipMessage]
    for_peer: Callable
    parcel: Callable[[str, int], Document]
    view: Callable
    drop_rows: Callable[[], None]
    turn_page: Callable[[], None]


class GossipBuilderState:
    """What was put together last."""

    def __init__(self):
        self.sequence = 0
        self.rows_by_function: dict = {}
        self.admitted_before: dict[str, int] = {}
        self.parcel_by_key: dict[tuple[str, int], tuple[bytes, int]] = {}


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

    def compose(with_stamps=True, rows=(), wants_reply=False):
        """Return a gossip message on this host, on what it knows and on some members."""
        state.sequence += 1
        stamps = (
            tuple(document_cache.stamp(kind) for kind in KINDS) if with_stamps else ()
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
            tells_on=False,
            knowledge_age=document_cache.age(CONFIGURATION),
            stamps=stamps,
            members=rows,
            outcomes=(),
            in_flight_by_upstream={},
            admitted_by_account={},
            documents=(),
            breaks=poison_requests.notes(),
        )

    def rows_of(describe):
        """Return rows on members, the same for all who are told them together."""
        made_at, rows = state.rows_by_function.get(describe, (float("-inf"), ()))
        if now() - made_at > VIEW_SECONDS:
            # Ages must hold for as long as the rows are used.
            rows = tuple(row._replace(age=row.age + VIEW_SECONDS) for row in describe())
            state.rows_by_function[describe] = (now(), rows)
        return rows

    def view():
        return rows_of(members.describe)

    def rows_for(peer):
        """Return the rows a relay tells: all of them now and then, else what is new."""
        if not peer.hears_store:
            return ()
        if now() - peer.members_at <= MEMBERS_SECONDS:
            return rows_of(members.news)
        peer.members_at = now()
        return view()

    def for_peer(peer):
        """Return what one host has to hear."""
        bulletin = compose(peer.hears_store, rows_for(peer))._replace(tells_on=True)
        if peer.hears_store:
            bulletin = bulletin._replace(documents=documents_for(peer))
        if not peer.is_meshed:
            return bulletin
        is_near = peer.zone == own.zone
        return bulletin._replace(
            outcomes=upstreams.notes(is_near),
            in_flight_by_upstream=upstreams.flights(None if is_near else peer.zone),
            admitted_by_account=admitted(),
        )

    def documents_for(peer):
        """Return what is new since the last gossip message to a peer, where it is small."""
        found = []
        for kind in KINDS:
            stamp = document_cache.stamp(kind)
            base = peer.sent_digest_by_kind.get(kind)
            if stamp.digest == base or not stamp.revision:
                continue
            peer.sent_digest_by_kind[kind] = stamp.digest
            small = parcel(kind, base or WHOLE)
            if len(small.document) > MAX_SENT_BYTES:
                small = parcel(kind, WHOLE)
            # Bytes between zones are dear; a whole document is fetched there once.
            is_far = small.base == WHOLE and peer.zone != own.zone
            if not is_far and len(small.document) <= MAX_SENT_BYTES:
                found.append(small)
        return tuple(found)

    def parcel(kind, base):
        """Return what turns the document of a digest into the present one, or all."""
        stamp = document_cache.stamp(kind)
        if (kind, base) not in state.parcel_by_key:
            state.parcel_by_key[kind, base] = pack(kind, base, stamp.digest)
        data, known_base = state.parcel_by_key[kind, base]
        return Document(kind, stamp.revision, stamp.age, data, known_base)

    def pack(kind, base, digest):
        changes = None if base == WHOLE else document_cache.changes_since(kind, base)
        if changes is None:
            return codec.encode_rows(document_cache.rows(kind)), WHOLE
        return codec.encode_changes(changes, digest), base

    def drop_parcels(kind):
        for key in list(state.parcel_by_key):
            if key[0] == kind:
                del state.parcel_by_key[key]

    def introduce(stamps):
        """Return a gossip message for a host that knows little, by its stamps."""
        known = {(told.kind, told.digest) for told in stamps if told.revision}
        found = []
        for kind in KINDS:
            stamp = document_cache.stamp(kind)
            if not stamp.revision or (kind, stamp.digest) in known:
                continue
            whole = parcel(kind, WHOLE)
            if len(whole.document) <= MAX_SENT_BYTES:
                found.append(whole)
        return compose(rows=view())._replace(documents=tuple(found))

    def admitted():
        counts = rate_limits.admitted()
        if len(counts) <= MAX_ACCOUNTS:
            return counts
        changed = {}
        for account, count in counts.items():
            if state.admitted_before.get(account) != count:
                changed[account] = count
        return changed

    def turn_page():
        if len(rate_limits.admitted()) > MAX_ACCOUNTS:
            state.admitted_before = dict(rate_limits.admitted())

    for kind in KINDS:
        document_cache.subscribe(kind, lambda value, kind=kind: drop_parcels(kind))
    service = GossipBuilders(
        compose,
        introduce,
        for_peer,
        parcel,
        view,
        state.rows_by_function.clear,
        turn_page,
    )
    kernel.register("gossip_builders", service)
    return service

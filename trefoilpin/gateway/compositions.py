"""What a bulletin holds, by who is told and what is new."""

from typing import Callable, NamedTuple

from trefoilpin.gateway.knowledge import CONFIGURATION, KINDS
from trefoilpin.gateway.messages import Bulletin, Document

__all__ = ["Compositions", "create"]

# All hosts are told of this often, what is new of them with every bulletin.
MEMBERS_SECONDS = 1.0
# Rows are put together and encoded once for all hosts that are told within this time.
VIEW_SECONDS = 0.1
# With more accounts than this, a bulletin holds those that were admitted lately.
MAX_ACCOUNTS = 100
# Documents up to this size go along within a zone, and changes of documents to all;
# larger ones are fetched.
MAX_SENT_BYTES = 6_000
# Documents that were replaced are kept for as long as hosts may still hold them.
KEPT_DOCUMENTS = 4


class Compositions(NamedTuple):
    """``compositions``: bulletins ready to be sent.

    ``compose(with_stamps, rows, wants_reply)`` gives one on this host and what is asked
    for, ``introduce()`` one for a host that may know nothing yet, ``for_peer(peer)``
    what a ``Peer`` has to hear, and ``view()`` the rows on all hosts.
    ``drop_rows()`` has rows put together anew, ``turn_page()`` ends the time within
    which admitted requests count as new.
    """

    compose: Callable
    introduce: Callable
    for_peer: Callable
    view: Callable
    drop_rows: Callable[[], None]
    turn_page: Callable[[], None]


class CompositionState:
    """What was put together last."""

    def __init__(self):
        self.sequence = 0
        self.rows_by_function: dict = {}
        self.admitted_before: dict[str, int] = {}
        self.document_by_digest_by_kind = {kind: {} for kind in KINDS}
        self.changes_by_digests: dict[tuple[int, int], bytes] = {}


def create(kernel, difference):
    """Create the service ``compositions``.

    Parameters
    ----------
    kernel : Kernel
    difference : callable
        ``difference(before, after)`` gives what turns one document into another.

    Returns
    -------
    Compositions
    """
    state = CompositionState()
    now = kernel.clock.now
    knowledge = kernel.find("knowledge")
    members = kernel.find("members")
    upstreams = kernel.find("upstreams")
    rates = kernel.find("rates")
    suspects = kernel.find("suspects")
    own = members.own

    def compose(with_stamps=True, rows=(), wants_reply=False):
        """Return a bulletin on this host, on what it knows and on some members."""
        state.sequence += 1
        stamps = tuple(knowledge.stamp(kind) for kind in KINDS) if with_stamps else ()
        return Bulletin(
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
            knowledge_age=knowledge.age(CONFIGURATION),
            stamps=stamps,
            members=rows,
            outcomes=(),
            in_flight_by_upstream={},
            admitted_by_account={},
            documents=(),
            breaks=suspects.notes(),
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
        """Return what is new since the last bulletin to a peer, where it is small."""
        found = []
        for kind in KINDS:
            stamp = knowledge.stamp(kind)
            base = peer.sent_digest_by_kind.get(kind)
            if stamp.digest == base:
                continue
            peer.sent_digest_by_kind[kind] = stamp.digest
            changes = changes_since(kind, base, stamp)
            if changes is not None and len(changes) <= MAX_SENT_BYTES:
                found.append(Document(kind, stamp.revision, stamp.age, changes, base))
            elif peer.zone == own.zone:
                found.extend(small_document(kind, stamp))
        return tuple(found)

    def changes_since(kind, base, stamp):
        """Return what turns the document of a digest into the present one, or None."""
        before = state.document_by_digest_by_kind[kind].get(base)
        if before is None or not stamp.revision:
            return None
        digests = (base, stamp.digest)
        if digests not in state.changes_by_digests:
            found = difference(before, knowledge.document(kind))
            state.changes_by_digests[digests] = found
        return state.changes_by_digests[digests]

    def keep_document(kind):
        """Keep the documents of late, and the changes between them."""
        kept = state.document_by_digest_by_kind[kind]
        kept[knowledge.stamp(kind).digest] = knowledge.document(kind)
        while len(kept) > KEPT_DOCUMENTS:
            del kept[next(iter(kept))]
        state.changes_by_digests.clear()

    def small_document(kind, stamp):
        document = knowledge.document(kind)
        if not stamp.revision or len(document) > MAX_SENT_BYTES:
            return ()
        return (Document(kind, stamp.revision, stamp.age, document),)

    def introduce():
        """Return a bulletin for a host that may know nothing yet."""
        found = []
        for kind in KINDS:
            found.extend(small_document(kind, knowledge.stamp(kind)))
        return compose(rows=view())._replace(documents=tuple(found))

    def admitted():
        counts = rates.admitted()
        if len(counts) <= MAX_ACCOUNTS:
            return counts
        changed = {}
        for account, count in counts.items():
            if state.admitted_before.get(account) != count:
                changed[account] = count
        return changed

    def turn_page():
        if len(rates.admitted()) > MAX_ACCOUNTS:
            state.admitted_before = dict(rates.admitted())

    for kind in KINDS:
        knowledge.subscribe(kind, lambda value, kind=kind: keep_document(kind))
    service = Compositions(
        compose, introduce, for_peer, view, state.rows_by_function.clear, turn_page
    )
    kernel.register("compositions", service)
    return service

"""Builds gossip messages according to the receiver and to recent changes."""

from functools import partial
from typing import Callable, NamedTuple

from trefoilpin.gateway.admission.break_reports import Audience
from trefoilpin.gateway.fleet import sender_reports
from trefoilpin.gateway.fleet.messages import NO_BASE, Document, GossipMessage
from trefoilpin.gateway.store.document_cache import CONFIGURATION

__all__ = ["GossipBuilders", "create"]

# A peer whose view of a zone differs gets the zone's member records at most once in
# this time. Every message has the recent changes.
MEMBERS_PERIOD_SECONDS = 1.0
# Recent changes make views equal within this time, unless datagrams are lost.
MAX_DIFFERENCE_SECONDS = 1.0
# Period in which a peer gets the views of all zones.
VIEWS_PERIOD_SECONDS = 0.7
# Member records are collected and encoded once for all messages within this time.
MAX_CACHE_AGE_SECONDS = 0.1
# Whole documents up to this size are sent in gossip messages within a zone, and deltas
# up to this size to all peers; larger ones are fetched.
MAX_INLINE_BYTES = 6_000
# Documents in the introduction of a new host. After a restart of a whole fleet the
# seeds answer hundreds of hosts, and a datagram costs them far less than a fetch.
MAX_INTRODUCTION_BYTES = 40_000
# Keys of cached parts of messages.
ALL_RECORDS, CHANGED_RECORDS = "records", "changed_records"
ZONE_RECORDS, ZONE_VIEWS = "zone_records", "zone_views"


class GossipBuilders(NamedTuple):
    """``gossip_builders``: builds gossip messages.

    ``build(with_versions, records, wants_reply)`` returns a message about this host
    with the given member records, ``build_request()`` one that asks for an
    introduction, ``build_introduction(versions, zone_views)`` one for a host that has
    only the given document versions and views, and ``build_for_peer(peer)`` the regular
    one for a ``Peer``. ``build_outcomes(sends_regularly)`` returns one with recent
    outcomes only, for a host to which this one sends regularly or not.
    ``member_records()`` returns the records of all hosts. ``build_document(kind,
    base)`` returns a ``Document`` for a host that holds the one with digest ``base``.
    ``drop_member_records()`` discards the cached records. ``start_admission_period()``
    starts a new period; only accounts whose counts changed since its start are sent
    when there are many.
    """

    build: Callable
    build_request: Callable[[], GossipMessage]
    build_introduction: Callable[[tuple, tuple], GossipMessage]
    build_for_peer: Callable
    build_outcomes: Callable[[bool], GossipMessage]
    build_document: Callable[[str, int], Document]
    member_records: Callable
    drop_member_records: Callable[[], None]
    start_admission_period: Callable[[], None]


class GossipBuilderState:
    """Cached parts of recent messages."""

    def __init__(self):
        self.sequence = 0
        self.cached_by_key: dict = {}
        self.encoded_by_key: dict[tuple[str, int], tuple[bytes, int]] = {}
        self.retained_by_kind: dict[str, bytes] = {}


def overlay_bytes(document):
    """Return the size in bytes of what differs after a restore of the store."""
    return len(document.retained) + sum(len(name) for name in document.withheld)


def create(kernel, codec, rollouts=None):
    """Create the service ``gossip_builders``.

    Parameters
    ----------
    kernel : Kernel
    codec : DocumentCodec
    rollouts : Rollouts, optional

    Returns
    -------
    GossipBuilders
    """
    state = GossipBuilderState()
    now = kernel.clock.now
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    upstreams = kernel.find("upstreams")
    metrics = kernel.find("metrics")
    poison_requests = kernel.find("poison_requests")
    senders = sender_reports.create(kernel)
    departures = kernel.find("departures")
    cold_checks = kernel.find("cold_checks")
    own = members.own

    def build(with_versions=True, records=(), wants_reply=False):
        """Return a message about this host, its documents and some members."""
        state.sequence += 1
        versions = (
            tuple(document_cache.version(kind) for kind in document_cache.kinds)
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
            answered_requests=poison_requests.recent_answers(),
            reads_compressed=True,
            rollout_stages=stage_records() if with_versions else (),
        )

    def stage_records():
        return () if rollouts is None else rollouts.stage_records()

    def cached(key, create_value):
        """Return a value, the same one for all messages within a short time."""
        cached_at, value = state.cached_by_key.get(key, (float("-inf"), None))
        if now() - cached_at > MAX_CACHE_AGE_SECONDS:
            value = create_value()
            state.cached_by_key[key] = (now(), value)
        return value

    def list_records(function, *arguments):
        """Return member records with ages that hold for as long as they are cached."""
        return tuple(
            record._replace(age=record.age + MAX_CACHE_AGE_SECONDS)
            for record in function(*arguments)
        )

    def member_records():
        return cached(ALL_RECORDS, lambda: list_records(members.records))

    def records_of_zones(zones):
        """Return member records, cached by zone and not by set of zones."""
        records = []
        for zone in sorted(zones):
            records.extend(cached((ZONE_RECORDS, zone), partial(list_zone, zone)))
        return tuple(records)

    def list_zone(zone):
        return list_records(members.records, frozenset((zone,)))

    def changed_records(zone):
        return cached(
            (CHANGED_RECORDS, zone),
            lambda: list_records(members.changed_records, zone),
        )

    def zone_views():
        return cached(ZONE_VIEWS, list_views)

    def list_views():
        views = []
        for view in members.zone_views():
            ages = tuple(age + MAX_CACHE_AGE_SECONDS for age in view.ages)
            views.append(view._replace(ages=ages))
        return tuple(views)

    def records_for(peer):
        """Return recent changes, and records of zones that a peer sees otherwise."""
        is_same_zone = peer.zone == own.zone
        changed = changed_records(None if is_same_zone else own.zone)
        if now() - peer.members_sent_at <= MEMBERS_PERIOD_SECONDS:
            return changed
        differing = differing_zones(peer)
        if not differing:
            return changed
        peer.members_sent_at = now()
        metrics.count("members_resent", len(differing))
        records = records_of_zones(differing)
        sent = {record.address for record in records}
        others = tuple(record for record in changed if record.address not in sent)
        return (*records, *others)

    def differing_zones(peer):
        """Return the zones of which a peer has had another view for too long."""
        differing = set()
        for zone, digest, _ in zone_views():
            if peer.digest_by_zone.get(zone) == digest:
                peer.differs_since_by_zone.pop(zone, None)
                continue
            since = peer.differs_since_by_zone.setdefault(zone, now())
            is_new = zone not in peer.digest_by_zone
            if is_new or now() - since >= MAX_DIFFERENCE_SECONDS:
                differing.add(zone)
        return frozenset(differing)

    def views_for(peer):
        """Return the zone views for a peer: periodically all, otherwise the own one.

        Hosts of the own zone need that one no sooner than the others.
        """
        if now() - peer.views_sent_at > VIEWS_PERIOD_SECONDS:
            peer.views_sent_at = now()
            return zone_views()
        if peer.zone == own.zone:
            return ()
        return tuple(view for view in zone_views() if view.zone == own.zone)

    def reported_views():
        """Return the digests of the own views, for the relays."""
        return tuple(view._replace(ages=()) for view in zone_views())

    def build_for_peer(peer):
        """Return the regular message for a peer."""
        if peer.receives_documents:
            records, views = records_for(peer), views_for(peer)
        else:
            records, views = (), reported_views() if peer.is_relay else ()
        audience = audience_of(peer)
        message = build(peer.receives_documents, records)._replace(
            sends_regularly=True,
            broken_requests=poison_requests.recent_breaks(audience),
            answered_requests=poison_requests.recent_answers(audience),
            zone_views=views,
            departures=departures.recent(peer.zone == own.zone),
            cold_reports=cold_checks.reports() if peer.zone == own.zone else (),
        )
        if rollouts is not None and peer.is_relay:
            message = message._replace(
                rollout_stages=stage_records(),
                rollout_counts=rollouts.count_rows(peer.zone == own.zone),
            )
        if peer.receives_documents:
            message = message._replace(documents=new_documents_for(peer))
        if not peer.in_mesh:
            return message
        return senders.add_to(message, peer)

    def audience_of(peer):
        if peer.zone == own.zone:
            return Audience.ZONE
        return Audience.RELAYS if peer.receives_documents else Audience.OTHERS

    def build_outcomes(sends_regularly):
        return build(with_versions=False)._replace(
            sends_regularly=sends_regularly,
            broken_requests=poison_requests.recent_breaks(Audience.ZONE),
            answered_requests=poison_requests.recent_answers(Audience.ZONE),
            outcomes=upstreams.recent_outcomes(True),
            departures=departures.recent(True),
        )

    def new_documents_for(peer):
        """Return small documents that are new since the last message to a peer."""
        documents = []
        for kind in document_cache.kinds:
            version = document_cache.version(kind)
            base = peer.sent_digest_by_kind.get(kind)
            if version.digest == base or not version.revision:
                continue
            peer.sent_digest_by_kind[kind] = version.digest
            document = build_document(kind, base or NO_BASE)
            if len(document.data) > MAX_INLINE_BYTES:
                document = build_document(kind, NO_BASE)
            if len(document.data) + overlay_bytes(document) > MAX_INLINE_BYTES:
                # A host that has not seen the earlier era fetches it.
                document = document._replace(withheld=(), retained=b"")
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
        overlay = document_cache.overlay(kind)
        return Document(
            kind,
            version.revision,
            version.age,
            data,
            known_base,
            version.unbroken_seconds,
            version.era,
            tuple(sorted(overlay.withheld)),
            encode_retained(kind, overlay),
        )

    def encode_document(kind, base, digest):
        delta = None if base == NO_BASE else document_cache.delta_since(kind, base)
        if delta is None:
            return codec.encode_rows(document_cache.rows(kind)), NO_BASE
        return codec.encode_delta(delta, digest), base

    def encode_retained(kind, overlay):
        if not overlay.retained:
            return b""
        if kind not in state.retained_by_kind:
            state.retained_by_kind[kind] = codec.encode_rows(overlay.retained)
        return state.retained_by_kind[kind]

    def drop_encoded_documents(kind):
        state.retained_by_kind.pop(kind, None)
        for key in list(state.encoded_by_key):
            if key[0] == kind:
                del state.encoded_by_key[key]

    def build_request():
        """Return a message that asks for documents and members that this host lacks."""
        return build(wants_reply=True)._replace(zone_views=reported_views())

    def build_introduction(versions, received_views):
        """Return a message for a new host with the documents and members it lacks."""
        known = {
            (received.kind, received.digest)
            for received in versions
            if received.revision
        }
        documents = []
        room = MAX_INTRODUCTION_BYTES
        for kind in document_cache.kinds:
            version = document_cache.version(kind)
            if not version.revision or (kind, version.digest) in known:
                continue
            document = build_document(kind, NO_BASE)
            size = len(document.data) + overlay_bytes(document)
            if size <= room:
                documents.append(document)
                room -= size
        digest_by_zone = {view.zone: view.digest for view in received_views}
        differing = frozenset(
            view.zone
            for view in zone_views()
            if digest_by_zone.get(view.zone) != view.digest
        )
        records = records_of_zones(differing)
        return build(records=records)._replace(
            documents=tuple(documents),
            departures=departures.introduced(),
            broken_requests=poison_requests.introduced_breaks(),
        )

    for kind in document_cache.kinds:
        document_cache.subscribe(
            kind, lambda value, kind=kind: drop_encoded_documents(kind)
        )
    service = GossipBuilders(
        build,
        build_request,
        build_introduction,
        build_for_peer,
        build_outcomes,
        build_document,
        member_records,
        state.cached_by_key.clear,
        senders.start_admission_period,
    )
    kernel.register("gossip_builders", service)
    return service

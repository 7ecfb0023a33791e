"""Encoding of gossip messages and documents in thrift's binary protocol."""

import math
import struct

from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer

from trefoilpin.gateway.balancing import departures
from trefoilpin.gateway.balancing.departures import Departure
from trefoilpin.gateway.balancing.failure_models import Outcome, UpstreamOutcome
from trefoilpin.gateway.fleet import (
    cold_grant_codecs,
    retry_grant_codecs,
    rollout_codecs,
)
from trefoilpin.gateway.fleet.cold_report_codecs import (
    read_cold_reports,
    write_cold_reports,
)
from trefoilpin.gateway.fleet.member_codecs import (
    pack_ages,
    pack_members,
    unpack_ages,
    unpack_members,
)
from trefoilpin.gateway.fleet.messages import (
    Document,
    GossipMessage,
    ZoneView,
)
from trefoilpin.gateway.fleet.pool_report_codecs import (
    set_pool_reports,
    to_pool_reports,
)
from trefoilpin.gateway.fleet.pressure_codecs import add_pressure, read_pressure
from trefoilpin.gateway.store.document_cache import DocumentVersion
from trefoilpin.thrift_gen.bulletins.ttypes import (
    BulletinStruct,
    DocumentStruct,
    StampStruct,
    ZoneViewStruct,
)

__all__ = ["decode", "decode_document", "encode", "encode_document"]

MAX_STRING_BYTES = 65_536
MAX_DOCUMENT_BYTES = 4_194_304
MAX_ITEMS = 10_000
# Far above the restores of any store; a forged era would make hosts ignore the store.
MAX_ERA = 1_000_000
REQUIRED_FIELDS = (
    "incarnation",
    "sequence",
    "zone",
    "region",
    "capacity",
    "load",
    "stopping",
    "serving",
    "wants_reply",
    "tells_on",
    "knowledge_age",
)
# Number of first fields of a stamp and of a document that are always sent.
STAMP_REQUIRED_FIELDS, DOCUMENT_REQUIRED_FIELDS = 4, 5
DECODE_ERRORS = (
    TProtocolException,
    EOFError,
    ValueError,
    TypeError,
    IndexError,
    OverflowError,
    struct.error,
)


def encode(gossip_message):
    """Return a gossip message as bytes."""
    outcomes = gossip_message.outcomes
    message = BulletinStruct(
        incarnation=gossip_message.incarnation,
        sequence=gossip_message.sequence,
        zone=gossip_message.zone,
        region=gossip_message.region,
        capacity=gossip_message.capacity,
        load=gossip_message.load,
        stopping=gossip_message.is_stopping,
        serving=gossip_message.is_serving,
        wants_reply=gossip_message.wants_reply,
        tells_on=gossip_message.sends_regularly,
        knowledge_age=gossip_message.configuration_age,
        stamps=[to_stamp(version) for version in gossip_message.versions],
        members=pack_members(gossip_message.members),
        outcome_upstreams=[item.upstream for item in outcomes],
        outcome_kinds=[item.outcome.value for item in outcomes],
        outcome_numbers=[item.number for item in outcomes],
        flight_upstreams=list(gossip_message.in_flight_by_upstream),
        flight_counts=list(gossip_message.in_flight_by_upstream.values()),
        admitted_accounts=list(gossip_message.admitted_by_account),
        admitted_counts=list(gossip_message.admitted_by_account.values()),
        documents=[
            to_document_struct(document) for document in gossip_message.documents
        ],
        broken_fingerprints=[
            fingerprint for fingerprint, _ in gossip_message.broken_requests
        ],
        broken_upstreams=[upstream for _, upstream in gossip_message.broken_requests],
        zone_views=[
            ZoneViewStruct(view.zone, view.digest, pack_ages(view.ages))
            for view in gossip_message.zone_views
        ],
        answered_fingerprints=list(gossip_message.answered_requests) or None,
        departed_upstreams=[item.upstream for item in gossip_message.departures]
        or None,
        departed_born=[item.born for item in gossip_message.departures] or None,
        reads_compressed=gossip_message.reads_compressed or None,
        rollout_stages=rollout_codecs.write_stages(gossip_message.rollout_stages),
        rollout_counts=rollout_codecs.write_counts(gossip_message.rollout_counts),
        cold_reports=write_cold_reports(gossip_message.cold_reports),
        cold_ask=cold_grant_codecs.write_ask(gossip_message.cold_ask),
        cold_grant=cold_grant_codecs.write_grant(gossip_message.cold_grant),
        retry_ask=retry_grant_codecs.write_ask(gossip_message.retry_ask),
        retry_grant=retry_grant_codecs.write_grant(gossip_message.retry_grant),
    )
    set_pool_reports(message, gossip_message.pool_reports)
    add_pressure(message, gossip_message.pressure_reports)
    return serialize(message)


def encode_document(document):
    """Return a document as bytes."""
    return serialize(to_document_struct(document))


def to_stamp(version):
    """Convert a version to a generated struct; zeros are left out."""
    optional = [field or None for field in version[STAMP_REQUIRED_FIELDS:]]
    return StampStruct(*version[:STAMP_REQUIRED_FIELDS], *optional)


def to_document_struct(document):
    """Convert a document to a generated struct; what is zero or empty is left out."""
    optional = [field or None for field in document[DOCUMENT_REQUIRED_FIELDS:]]
    return DocumentStruct(*document[:DOCUMENT_REQUIRED_FIELDS], *optional)


def serialize(message):
    """Return a generated struct as bytes."""
    transport = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(transport, fallback=False))
    return transport.getvalue()


def deserialize(message, data, max_string_bytes):
    """Fill a generated struct from bytes.

    Raises
    ------
    Exception
        One of ``DECODE_ERRORS``.
    """
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(data),
        fallback=False,
        string_length_limit=max_string_bytes,
        container_length_limit=MAX_ITEMS,
    )
    message.read(protocol)
    return message


def decode(data) -> Result[GossipMessage, str]:
    """Return the decoded gossip message, or a description of the error."""
    try:
        return Success(
            to_gossip_message(deserialize(BulletinStruct(), data, MAX_STRING_BYTES))
        )
    except DECODE_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")


def decode_document(data) -> Result[Document, str]:
    """Return the decoded document, or a description of the error."""
    try:
        return Success(
            to_document(deserialize(DocumentStruct(), data, MAX_DOCUMENT_BYTES))
        )
    except DECODE_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")


def read_unbroken_seconds(seconds):
    """Return how long the store was read without an outage, as a host stated it.

    Raises
    ------
    ValueError
        When it is no length of time.
    """
    if seconds is None:
        # Missing in messages of hosts that run an earlier version.
        return 0.0
    if not 0.0 <= seconds < math.inf:
        raise ValueError("the time without an outage is out of range")
    return seconds


def read_era(era):
    """Return the era of a document; 0 from hosts that run an earlier version.

    Raises
    ------
    ValueError
        When it is no number of restores.
    """
    if era is None:
        return 0
    if not 0 <= era <= MAX_ERA:
        raise ValueError("the era is out of range")
    return era


def to_document(generated):
    """Convert a generated struct to a document."""
    data = bytes(generated.document)
    return Document(
        generated.kind,
        generated.revision,
        generated.age,
        data,
        generated.base,
        read_unbroken_seconds(generated.unbroken),
        read_era(generated.era),
        tuple(generated.withheld or ()),
        bytes(generated.retained or b""),
    )


def read_departures(message):
    """Return the departures in a generated struct; none in an earlier version's.

    Raises
    ------
    ValueError
        When there are too many, or one is not possible.
    """
    upstreams = message.departed_upstreams or ()
    born = message.departed_born or ()
    if len(upstreams) != len(born) or len(upstreams) > departures.MAX_INTRODUCED:
        raise ValueError("the departures are incomplete or too many")
    items = tuple(map(Departure, upstreams, born))
    if not all(map(departures.is_valid, items)):
        raise ValueError("a departure has no id or is out of range")
    return items


def to_gossip_message(message):
    """Convert a generated struct to a gossip message.

    Raises
    ------
    ValueError
        When a field of the first version is missing.
    """
    for field in REQUIRED_FIELDS:
        if getattr(message, field) is None:
            raise ValueError(f"the field {field} is missing")
    outcomes = []
    for number, upstream, kind in zip(
        message.outcome_numbers, message.outcome_upstreams, message.outcome_kinds
    ):
        outcomes.append(UpstreamOutcome(number, upstream, Outcome(kind)))
    versions = []
    for version in message.stamps:
        versions.append(
            DocumentVersion(
                version.kind,
                version.revision,
                version.digest,
                version.age,
                read_unbroken_seconds(version.unbroken),
                read_era(version.era),
                version.overlay or 0,
            )
        )
    # Missing in messages of hosts that run an earlier version.
    zone_views = []
    for view in message.zone_views or ():
        zone_views.append(ZoneView(view.zone, view.digest, unpack_ages(view.ages)))
    return GossipMessage(
        message.incarnation,
        message.sequence,
        message.zone,
        message.region,
        message.capacity,
        message.load,
        message.stopping,
        message.serving,
        message.wants_reply,
        message.tells_on,
        message.knowledge_age,
        tuple(versions),
        unpack_members(message.members),
        tuple(outcomes),
        dict(zip(message.flight_upstreams, message.flight_counts)),
        dict(zip(message.admitted_accounts, message.admitted_counts)),
        tuple(to_document(found) for found in message.documents),
        tuple(zip(message.broken_fingerprints, message.broken_upstreams)),
        tuple(zone_views),
        tuple(message.answered_fingerprints or ()),
        to_pool_reports(message),
        read_departures(message),
        bool(message.reads_compressed),
        read_pressure(message),
        rollout_codecs.read_stages(message.rollout_stages),
        rollout_codecs.read_counts(message.rollout_counts),
        read_cold_reports(message.cold_reports),
        cold_grant_codecs.read_ask(message.cold_ask),
        cold_grant_codecs.read_grant(message.cold_grant),
        retry_grant_codecs.read_ask(message.retry_ask),
        retry_grant_codecs.read_grant(message.retry_grant),
    )

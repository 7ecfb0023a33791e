"""Gossip messages between hosts, independent of any codec."""

from typing import NamedTuple

from trefoilpin.gateway.admission.account_usage import PoolReport
from trefoilpin.gateway.admission.pressure_estimates import PressureReport
from trefoilpin.gateway.admission.retry_pools import RetryAsk, RetryGrant
from trefoilpin.gateway.balancing.cold_checks import ColdReport
from trefoilpin.gateway.balancing.cold_grants import ColdAsk, ColdGrant
from trefoilpin.gateway.balancing.departures import Departure
from trefoilpin.gateway.balancing.failure_models import UpstreamOutcome
from trefoilpin.gateway.rollouts.records import CountRow, StageRecord
from trefoilpin.gateway.store.document_cache import DocumentVersion

__all__ = [
    "NO_BASE",
    "GossipMessage",
    "Document",
    "MemberRecord",
    "ZoneView",
    "aged",
]

# Value of ``Document.base`` for a whole document.
NO_BASE = 0


class MemberRecord(NamedTuple):
    """State of a host as known to another one.

    Attributes
    ----------
    address : str
        IP address.
    zone : str
    incarnation : int
        Start time of the daemon in Unix milliseconds.
    age : float
        Upper bound in seconds since the host was last known to be alive.
    capacity : float
        Requests per second that the host can serve.
    load : float
        Requests per second that it receives.
    is_stopping, is_serving : bool
    configuration_age : float
        Age in seconds of the host's configuration.
    is_suspected : bool
        True when a host that expects its heartbeats does not receive them.
    """

    address: str
    zone: str
    incarnation: int
    age: float
    capacity: float
    load: float
    is_stopping: bool
    is_serving: bool
    configuration_age: float
    is_suspected: bool = False


class ZoneView(NamedTuple):
    """The live hosts of a zone as a host sees them, without their records.

    Attributes
    ----------
    zone : str
    digest : int
        Sum of the record digests of the live hosts; hosts with equal digests have the
        same records but for ages and loads.
    ages : tuple of float
        Age of each live host in the order of their addresses, as in ``MemberRecord``;
        empty in messages of hosts that only report what they know.
    """

    zone: str
    digest: int
    ages: tuple[float, ...] = ()


class Document(NamedTuple):
    """The current document of a host, or a delta that results in it.

    Attributes
    ----------
    kind : str
    revision : int
    age : float
        Upper bound in seconds since the store held exactly this document.
    data : bytes
    base : int
        Digest of the document to which the delta applies, or ``NO_BASE``.
    unbroken_seconds : float
    era : int
        As in ``DocumentVersion``.
    withheld : tuple of str
        Names of rows that the sender does not use, after a restore of the store.
    retained : bytes
        Rows that it uses and that the document lacks or holds otherwise; empty for
        none.
    """

    kind: str
    revision: int
    age: float
    data: bytes
    base: int = NO_BASE
    unbroken_seconds: float = 0.0
    era: int = 0
    withheld: tuple[str, ...] = ()
    retained: bytes = b""


class GossipMessage(NamedTuple):
    """Content of one datagram between hosts.

    Datagrams may be lost, repeated or late: counts are totals since the sender's start,
    and outcomes are numbered.

    Attributes
    ----------
    incarnation, sequence : int
    zone, region : str
    capacity, load : float
        Requests per second.
    is_stopping, is_serving : bool
        Whether the host is shutting down, and whether callers use it.
    wants_reply : bool
        True when the sender does not know the other hosts yet.
    sends_regularly : bool
        True when the sender keeps sending to the receiver.
    configuration_age : float
        Age in seconds of the sender's configuration.
    versions : tuple of DocumentVersion
    members : tuple of MemberRecord
    outcomes : tuple of UpstreamOutcome
    in_flight_by_upstream : dict
        Requests in flight from the sender; a host in another zone gets only the counts
        of upstreams in its own.
    admitted_by_account : dict
        Requests admitted since the sender's start.
    documents : tuple of Document
        Small documents that the receiver may not have.
    broken_requests : tuple of (int, str)
        Fingerprint of a request, and the incarnation of the upstream whose connection
        broke under it.
    zone_views : tuple of ZoneView
    answered_requests : tuple of int
        Fingerprints of requests that had broken upstreams and were answered since.
    pool_reports : tuple of PoolReport
        Service of the accounts of pools under pressure.
    departures : tuple of Departure
        Upstreams that said that they are leaving.
    reads_compressed : bool
        True when the sender can read compressed datagrams.
    pressure_reports : tuple of PressureReport
        Pools under pressure at the sender.
    rollout_stages : tuple of StageRecord
    rollout_counts : tuple of CountRow
        For relays only: the sender's counts, and the sums of zones that it knows.
    cold_reports : tuple of ColdReport
        What upstreams of the zone told hosts of it of how long they stay cold.
    cold_ask : ColdAsk or None
        Tokens for cold upstreams that the sender wants.
    cold_grant : ColdGrant or None
        Response to an ask of the receiver.
    retry_ask : RetryAsk or None
        Retries that the sender wants.
    retry_grant : RetryGrant or None
        Response to an ask of the receiver.
    """

    incarnation: int
    sequence: int
    zone: str
    region: str
    capacity: float
    load: float
    is_stopping: bool
    is_serving: bool
    wants_reply: bool
    sends_regularly: bool
    configuration_age: float
    versions: tuple[DocumentVersion, ...]
    members: tuple[MemberRecord, ...]
    outcomes: tuple[UpstreamOutcome, ...]
    in_flight_by_upstream: dict[str, int]
    admitted_by_account: dict[str, int]
    documents: tuple[Document, ...]
    broken_requests: tuple[tuple[int, str], ...]
    zone_views: tuple[ZoneView, ...] = ()
    answered_requests: tuple[int, ...] = ()
    pool_reports: tuple[PoolReport, ...] = ()
    departures: tuple[Departure, ...] = ()
    reads_compressed: bool = False
    pressure_reports: tuple[PressureReport, ...] = ()
    rollout_stages: tuple[StageRecord, ...] = ()
    rollout_counts: tuple[CountRow, ...] = ()
    cold_reports: tuple[ColdReport, ...] = ()
    cold_ask: ColdAsk | None = None
    cold_grant: ColdGrant | None = None
    retry_ask: RetryAsk | None = None
    retry_grant: RetryGrant | None = None


def aged(message, seconds):
    """Return a gossip message with its ages increased by its time in transit.

    Lower bounds stay as they are.
    """
    versions = [
        version._replace(age=version.age + seconds) for version in message.versions
    ]
    documents = [
        document._replace(age=document.age + seconds) for document in message.documents
    ]
    members = []
    for record in message.members:
        new_age = record.configuration_age + seconds
        members.append(
            record._replace(age=record.age + seconds, configuration_age=new_age)
        )
    zone_views = []
    for view in message.zone_views:
        ages = tuple(age + seconds for age in view.ages)
        zone_views.append(view._replace(ages=ages))
    rollout_stages = []
    for stage in message.rollout_stages:
        rollout_stages.append(
            stage._replace(
                age=stage.age + seconds,
                stage_age=stage.stage_age + seconds,
                order_age=stage.order_age + seconds,
            )
        )
    pressure_reports = [
        report._replace(age=report.age + seconds) for report in message.pressure_reports
    ]
    cold_reports = [
        report._replace(age=report.age + seconds) for report in message.cold_reports
    ]
    return message._replace(
        cold_reports=tuple(cold_reports),
        rollout_stages=tuple(rollout_stages),
        pressure_reports=tuple(pressure_reports),
        zone_views=tuple(zone_views),
        configuration_age=message.configuration_age + seconds,
        versions=tuple(versions),
        documents=tuple(documents),
        members=tuple(members),
    )

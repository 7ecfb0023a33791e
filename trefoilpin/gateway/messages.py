"""What hosts tell each other, free of any codec."""

from typing import NamedTuple

from trefoilpin.gateway.document_cache import DocumentVersion
from trefoilpin.gateway.failure_models import Outcome

__all__ = [
    "WHOLE",
    "GossipMessage",
    "Document",
    "MemberRecord",
    "UpstreamOutcome",
    "aged",
]

# Base of a document that changes no other.
WHOLE = 0


class MemberRecord(NamedTuple):
    """What one host knows of another.

    Attributes
    ----------
    address : str
        IP number.
    zone : str
    incarnation : int
        Unix milliseconds of the daemon's start.
    age : float
        Seconds since the host is known to have run, an upper bound.
    capacity : float
        Requests a second that the host bears.
    load : float
        Requests a second that it gets.
    is_stopping, is_serving : bool
    configuration_age : float
        Age in seconds of the host's configuration.
    is_suspected : bool
        True when a host that should hear it regularly does not.
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


class UpstreamOutcome(NamedTuple):
    """An outcome that tells something of an upstream.

    Attributes
    ----------
    number : int
        Counts the notes of one host, so that a repeated one is taken once.
    upstream : str
    outcome : Outcome
    """

    number: int
    upstream: str
    outcome: Outcome


class Document(NamedTuple):
    """One section's document as a host holds it, or what turns another into it.

    Attributes
    ----------
    kind : str
    revision : int
    age : float
        Seconds since the store is known to have held it.
    document : bytes
    base : int
        Digest of the document that ``document`` changes, or ``WHOLE``.
    """

    kind: str
    revision: int
    age: float
    document: bytes
    base: int = WHOLE


class GossipMessage(NamedTuple):
    """What a host sends to another in one datagram.

    Everything in it may be lost, repeated or late: counts are totals since the start
    of the sender, and outcomes are numbered.

    Attributes
    ----------
    incarnation, sequence : int
    zone, region : str
    capacity, load : float
        Requests a second.
    is_stopping, is_serving : bool
        Whether the host ends, and whether callers use it.
    wants_reply : bool
        True when the sender doesn't know the fleet yet.
    sends_regularly : bool
        True when the sender goes on telling the receiver.
    configuration_age : float
        Age in seconds of the sender's configuration.
    versions : tuple of DocumentVersion
    members : tuple of MemberRecord
    outcomes : tuple of UpstreamOutcome
    in_flight_by_upstream : dict
        Requests of the sender under way; those in a far zone hear of their own.
    admitted_by_account : dict
        Requests admitted since the sender's start.
    documents : tuple of Document
        Small documents that the receiver may not have.
    broken_requests : tuple of (int, str)
        Fingerprint of a request and the upstream whose connection broke under it.
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


def aged(message, seconds):
    """Return a gossip message with all its ages grown by the time that it was on its way."""
    versions = [
        version._replace(age=version.age + seconds) for version in message.versions
    ]
    documents = [found._replace(age=found.age + seconds) for found in message.documents]
    members = []
    for row in message.members:
        grown = row.configuration_age + seconds
        members.append(row._replace(age=row.age + seconds, configuration_age=grown))
    return message._replace(
        configuration_age=message.configuration_age + seconds,
        versions=tuple(versions),
        documents=tuple(documents),
        members=tuple(members),
    )

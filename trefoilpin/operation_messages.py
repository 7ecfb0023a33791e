"""Messages about idempotency keys, between a host and the deciding host."""

from enum import Enum
from typing import NamedTuple

__all__ = [
    "DIGEST_BYTES",
    "AnswerRow",
    "Claim",
    "ClaimReply",
    "Decision",
    "Report",
    "ReportReply",
    "SavedAnswer",
    "TableEnd",
    "TablePart",
    "TableReply",
]

DIGEST_BYTES = 16


class Decision(Enum):
    """Reply of the deciding host to a claim or a report."""

    GRANTED = "granted"
    RUNNING = "running"
    RAN = "ran"
    UNCERTAIN = "uncertain"
    REUSED = "reused"
    FULL = "full"
    CANCELLED = "cancelled"
    MOVED = "moved"
    ABSENT = "absent"
    TAKEN = "taken"
    UNREACHABLE = "unreachable"


class SavedAnswer(NamedTuple):
    """A whole answer kept for repeats of its request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(NamedTuple):
    """Request for permission to run an operation.

    Attributes
    ----------
    issuer : str
        Incarnation named in the key.
    key : bytes
        Digest of account and key.
    fingerprint : bytes
        Digest of account, method, path, query and body.
    attempt_id : str
        Incarnation of the requesting host, a slash and a count.
    """

    issuer: str
    key: bytes
    fingerprint: bytes
    attempt_id: str


class ClaimReply(NamedTuple):
    """A ``Decision``; ``successor`` is set when the table moved.

    ``answer`` is given with ``RAN`` unless it is gone.
    """

    decision: str
    successor: str = ""
    answer: SavedAnswer | None = None


class Report(NamedTuple):
    """Outcome of an attempt; ``verdict`` is the value of a ``Verdict``."""

    issuer: str
    key: bytes
    attempt_id: str
    verdict: str
    answer: SavedAnswer | None = None


class ReportReply(NamedTuple):
    """``TAKEN``, ``MOVED`` or ``ABSENT``."""

    decision: str
    successor: str = ""


class AnswerRow(NamedTuple):
    """A saved answer in transfer to the successor; ``age`` is in seconds."""

    key: bytes
    answer: SavedAnswer
    age: float


class TablePart(NamedTuple):
    """Some rows of an issuer's table, in columns.

    Attributes
    ----------
    issuer : str
    number : int
        Place of the part, from 0.
    keys, fingerprints : bytes
        Digests of ``DIGEST_BYTES`` each, one after the other.
    states : str
        One letter of ``KeyState`` for each key.
    attempts : tuple of str
        Attempt ids of the keys that are granted, in their order.
    cancelled : tuple of str
        Attempt ids that are never granted.
    answers : tuple of AnswerRow
    """

    issuer: str
    number: int
    keys: bytes
    fingerprints: bytes
    states: str
    attempts: tuple[str, ...]
    cancelled: tuple[str, ...]
    answers: tuple[AnswerRow, ...]


class TableEnd(NamedTuple):
    """Size and digest of the whole table; the successor decides from here on."""

    issuer: str
    parts: int
    digest: bytes


class TableReply(NamedTuple):
    """Answer to a part or to the end of a table.

    Attributes
    ----------
    taken : bool
        True when it was taken, or had been before.
    refused : bool
        True when this host never had the table and never takes it.
    """

    taken: bool
    refused: bool = False

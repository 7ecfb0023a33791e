"""Messages about idempotency keys between an entry host and the deciding host."""

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
    """Outcome of a claim or a report."""

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
    """A complete answer that is saved for repeats of its request."""

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
        Incarnation of the entry host, a slash and a counter.
    """

    issuer: str
    key: bytes
    fingerprint: bytes
    attempt_id: str


class ClaimReply(NamedTuple):
    """Reply to a claim.

    Attributes
    ----------
    decision : str
        Value of a ``Decision``.
    successor : str
        Incarnation to which the table moved; empty if it did not.
    answer : SavedAnswer or None
        Given with ``RAN`` unless it was dropped.
    """

    decision: str
    successor: str = ""
    answer: SavedAnswer | None = None


class Report(NamedTuple):
    """Report of an attempt's outcome; ``verdict`` is the value of a ``Verdict``."""

    issuer: str
    key: bytes
    attempt_id: str
    verdict: str
    answer: SavedAnswer | None = None


class ReportReply(NamedTuple):
    """Reply to a report; ``decision`` is ``TAKEN``, ``MOVED`` or ``ABSENT``."""

    decision: str
    successor: str = ""


class AnswerRow(NamedTuple):
    """A saved answer in a transfer; ``age`` is in seconds."""

    key: bytes
    answer: SavedAnswer
    age: float


class TablePart(NamedTuple):
    """Some rows of an issuer's table, as columns.

    Attributes
    ----------
    issuer : str
    number : int
        Position of the part, from 0.
    keys, fingerprints : bytes
        Concatenated digests of ``DIGEST_BYTES`` each.
    states : str
        One letter of ``KeyState`` for each key.
    attempts : tuple of str
        Attempt ids of the granted keys, in the order of the keys.
    cancelled : tuple of str
        Attempt ids that are never granted again.
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
    """End of a table, with its size and digest; the successor decides from then on."""

    issuer: str
    parts: int
    digest: bytes


class TableReply(NamedTuple):
    """Reply to a part or to the end of a table.

    Attributes
    ----------
    taken : bool
        True when the part or the table is there, now or from an earlier message.
    refused : bool
        True when the host never had the table and will not adopt it.
    """

    taken: bool
    refused: bool = False

"""Table of one issuer's idempotency keys, and the decisions on claims and reports.

A key is granted again only after the attempt that held it reported ``NOT_RUN``, and
an attempt that reported is never granted again. Claims that arrive late or twice, or an
entry host that resumes after a pause, therefore can't cause a second run.
"""

from enum import Enum
from typing import NamedTuple

from trefoilpin.operation_messages import Decision
from trefoilpin.verdicts import Verdict

__all__ = [
    "KeyState",
    "KeyTable",
    "Row",
    "add_row",
    "claim",
    "count_rows",
    "entry_host",
    "is_full",
    "report",
    "rows",
]


class KeyState(Enum):
    """State of a key; the value is its letter in transfers and in the store."""

    RAN = "r"
    GRANTED = "g"
    FREE = "f"
    UNCERTAIN = "u"


class Row(NamedTuple):
    """One key of a table; ``attempt_id`` is empty unless the key is granted."""

    key: bytes
    fingerprint: bytes
    state: str
    attempt_id: str


class KeyTable:
    """Keys of one issuer.

    Attributes
    ----------
    fingerprint_by_key : dict
        All keys; one that is in none of the other collections has run.
    attempt_by_key : dict
        Granted keys with the attempt that holds each.
    free_keys, uncertain_keys : set of bytes
    cancelled_attempts : set of str
        Attempts that reported ``NOT_RUN`` and are never granted again.
    """

    def __init__(self):
        self.fingerprint_by_key: dict[bytes, bytes] = {}
        self.attempt_by_key: dict[bytes, str] = {}
        self.free_keys: set[bytes] = set()
        self.uncertain_keys: set[bytes] = set()
        self.cancelled_attempts: set[str] = set()


def entry_host(attempt_id):
    """Return the incarnation of the entry host of an attempt."""
    return attempt_id.rpartition("/")[0]


def count_rows(table):
    """Return the number of keys and cancelled attempts in a table."""
    return len(table.fingerprint_by_key) + len(table.cancelled_attempts)


def is_full(table, max_keys):
    """Tell whether a table is full; it then grants no key ever again."""
    return count_rows(table) >= max_keys


def claim(table, message, max_keys, is_running):
    """Decide on a claim.

    Parameters
    ----------
    table : KeyTable
    message : Claim
    max_keys : int
        Rows at which no further key is granted.
    is_running : callable
        ``is_running(incarnation)`` tells whether an entry host is believed to run.

    Returns
    -------
    Decision
    """
    key, attempt_id = message.key, message.attempt_id
    if attempt_id in table.cancelled_attempts:
        return Decision.CANCELLED
    known_fingerprint = table.fingerprint_by_key.get(key)
    if known_fingerprint is not None and known_fingerprint != message.fingerprint:
        return Decision.REUSED
    if known_fingerprint is None or key in table.free_keys:
        if is_full(table, max_keys):
            return Decision.FULL
        table.fingerprint_by_key[key] = message.fingerprint
        table.free_keys.discard(key)
        table.attempt_by_key[key] = attempt_id
        return Decision.GRANTED
    if key in table.uncertain_keys:
        return Decision.UNCERTAIN
    holder = table.attempt_by_key.get(key)
    if holder is None:
        return Decision.RAN
    if holder == attempt_id:
        return Decision.GRANTED
    return Decision.RUNNING if is_running(entry_host(holder)) else Decision.UNCERTAIN


def report(table, message, max_keys):
    """Record the outcome of an attempt; return True when the attempt held the key.

    Parameters
    ----------
    table : KeyTable
    message : Report
    max_keys : int
        Number of rows of a full table, which grants nothing and therefore does not need
        to record cancelled attempts.
    """
    key, attempt_id = message.key, message.attempt_id
    verdict = Verdict(message.verdict)
    held = table.attempt_by_key.get(key) == attempt_id
    if held:
        del table.attempt_by_key[key]
    if verdict is Verdict.NOT_RUN:
        if held:
            table.free_keys.add(key)
        if not is_full(table, max_keys):
            table.cancelled_attempts.add(attempt_id)
    if held and verdict is Verdict.MAY_HAVE_RUN:
        table.uncertain_keys.add(key)
    return held


def state_of(table, key):
    """Return the state of a known key."""
    if key in table.free_keys:
        return KeyState.FREE
    if key in table.uncertain_keys:
        return KeyState.UNCERTAIN
    return KeyState.GRANTED if key in table.attempt_by_key else KeyState.RAN


def rows(table):
    """Yield a ``Row`` for every key of a table."""
    for key, fingerprint in table.fingerprint_by_key.items():
        attempt_id = table.attempt_by_key.get(key, "")
        yield Row(key, fingerprint, state_of(table, key).value, attempt_id)


def add_row(table, row):
    """Add a row to a table.

    Raises
    ------
    ValueError
        When the state of the row is unknown.
    """
    state = KeyState(row.state)
    table.fingerprint_by_key[row.key] = row.fingerprint
    if state is KeyState.GRANTED:
        table.attempt_by_key[row.key] = row.attempt_id
    if state is KeyState.FREE:
        table.free_keys.add(row.key)
    if state is KeyState.UNCERTAIN:
        table.uncertain_keys.add(row.key)

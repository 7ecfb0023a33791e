"""What hosts tell each other of a rollout: its stage, and counts of requests."""

from typing import NamedTuple

__all__ = [
    "COMPLETE",
    "EMPTY_COUNTS",
    "ROLLED_BACK",
    "RUNNING",
    "STATES",
    "WITHDRAWN",
    "CountKey",
    "CountRow",
    "Counts",
    "StageRecord",
    "is_newer",
]

RUNNING, COMPLETE, ROLLED_BACK = "running", "complete", "rolled_back"
# The order was removed before it was complete.
WITHDRAWN = "withdrawn"
# A later state of the same order replaces an earlier one, whichever host sends it.
STATES = (RUNNING, COMPLETE, ROLLED_BACK, WITHDRAWN)


class StageRecord(NamedTuple):
    """Stage of a rollout, as its coordinator last issued it.

    Attributes
    ----------
    pool, target : str
        The pool, and the version to which its requests move.
    generation : int
        Number of the order among those of the pool.
    term : int
        Number of the coordinator among those of the order.
    sequence : int
        Number of the record among those of the coordinator.
    state : str
        One of ``STATES``.
    stage : int
    share : float
        Share of the pool's requests that go to the target version.
    canaries : int
        Number of upstreams of the target version that get them; 0 for all.
    age, stage_age, order_age : float
        Seconds since the record was issued, and since stage and order began.
    """

    pool: str
    target: str
    generation: int
    term: int
    sequence: int
    state: str
    stage: int
    share: float
    canaries: int
    age: float
    stage_age: float
    order_age: float


class CountKey(NamedTuple):
    """What requests are counted by.

    Attributes
    ----------
    is_target : bool
        True for requests to the target version.
    route : str
    upstream : str
        Empty in the counts of all upstreams. Only upstreams of the target version that
        gave bad responses have counts of their own.
    """

    is_target: bool
    route: str
    upstream: str


class Counts(NamedTuple):
    """Attempts since the order: sent, ended, and those with a bad response."""

    sent: int
    ended: int
    bad: int


EMPTY_COUNTS = Counts(0, 0, 0)


class CountRow(NamedTuple):
    """Counts of a host, or of all hosts of a zone when ``zone`` is not empty."""

    pool: str
    target: str
    generation: int
    zone: str
    key: CountKey
    counts: Counts


def rank(record):
    """Return the order of records of one pool; the highest one is in force."""
    state = STATES.index(record.state)
    return (record.generation, state, record.term, record.sequence)


def is_newer(record, known):
    """Tell whether a record replaces the known one, which may be None."""
    return known is None or rank(record) > rank(known)

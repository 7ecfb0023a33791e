"""Saved answers of operations that ran, bounded in bytes and in time.

When an answer is dropped, its key stays marked as run, so the operation does not run
again.
"""

from collections import OrderedDict
from typing import NamedTuple

from trefoilpin.messages import Answer
from trefoilpin.operation_messages import SavedAnswer

__all__ = ["AnswerBounds", "SavedAnswers", "find", "restore", "save", "to_saved"]

OVERHEAD_BYTES = 500


class AnswerBounds(NamedTuple):
    """Maximum bytes of one answer and of all, and seconds until answers expire."""

    max_bytes: int
    max_total_bytes: int
    seconds: float


class SavedAnswers:
    """Saved answers with their times, in the order in which they were saved."""

    def __init__(self):
        self.entry_by_key: OrderedDict[tuple[str, bytes], tuple] = OrderedDict()
        self.total_bytes = 0


def size(answer):
    """Return the approximate size of an answer in memory, in bytes."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return OVERHEAD_BYTES + headers + len(answer.body)


def to_saved(answer, max_bytes):
    """Return the ``SavedAnswer`` of an answer, or None if streamed or too large."""
    if answer is None or answer.rest is not None:
        return None
    saved = SavedAnswer(answer.status, answer.headers, answer.body)
    return saved if size(saved) <= max_bytes else None


def restore(saved):
    """Return a saved answer as an ``Answer``."""
    return Answer(saved.status, saved.headers, saved.body)


def drop_oldest(state):
    """Drop the oldest answer."""
    _, (answer, _) = state.entry_by_key.popitem(last=False)
    state.total_bytes -= size(answer)


def save(state, issuer, key, answer, saved_at, now, bounds):
    """Save an answer unless one is saved, then drop the oldest ones beyond the bounds.

    Parameters
    ----------
    state : SavedAnswers
    issuer : str
    key : bytes
    answer : SavedAnswer
    saved_at, now : float
    bounds : AnswerBounds
    """
    if (issuer, key) in state.entry_by_key:
        return
    state.entry_by_key[(issuer, key)] = (answer, saved_at)
    state.total_bytes += size(answer)
    while state.entry_by_key:
        _, oldest_saved_at = next(iter(state.entry_by_key.values()))
        expired = oldest_saved_at + bounds.seconds <= now
        if not expired and state.total_bytes <= bounds.max_total_bytes:
            return
        drop_oldest(state)


def find(state, issuer, key, now, bounds):
    """Return the ``SavedAnswer`` of a key if it has not expired, or None."""
    entry = state.entry_by_key.get((issuer, key))
    if entry is None or entry[1] + bounds.seconds <= now:
        return None
    return entry[0]

"""Rows of a document, what changed between two states of them, and their digest.

A document of one kind is a table of rows by name. A row is text that hosts compare and
pass on unread, so a change costs what its rows cost, however large the document is.
"""

import hashlib
from typing import Callable, Mapping, NamedTuple

__all__ = ["Delta", "DocumentCodec", "diff", "digest", "digest_after", "patch"]

DIGEST_BYTES = 8
# Digests travel as signed numbers of 64 bits.
DIGEST_MASK = (1 << 63) - 1


class Delta(NamedTuple):
    """What turns one state of a document's rows into another.

    Attributes
    ----------
    changed : Mapping
        Text by name of the rows that are new or differ.
    removed : tuple of str
        Names of the rows that are no more.
    """

    changed: Mapping[str, str]
    removed: tuple[str, ...]


class DocumentCodec(NamedTuple):
    """Rows and changes as bytes, and back as a ``Result``.

    ``encode_content(content)`` gives the text of a row, the same for the same content.
    ``encode_delta(changes, digest)`` takes the digest that the rows have after them,
    and ``decode_delta(data)`` gives both.
    """

    encode_content: Callable
    encode_rows: Callable
    decode_rows: Callable
    encode_delta: Callable
    decode_delta: Callable


def digest_row(name, text):
    """Return a number that tells two rows apart."""
    data = f"{name}\0{text}".encode()
    digested = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digested, "big")


def digest(rows):
    """Return a number that tells two states of a document apart.

    It is the sum over the rows, so that it follows a change at the cost of the change.
    """
    return sum(digest_row(*row) for row in rows.items()) & DIGEST_MASK


def digest_after(before, rows, changes):
    """Return the digest of rows after changes.

    Parameters
    ----------
    before : int
        Digest of ``rows``.
    rows : Mapping
    changes : Delta
    """
    total = before
    for name in (*changes.changed, *changes.removed):
        if name in rows:
            total -= digest_row(name, rows[name])
    total += sum(digest_row(*row) for row in changes.changed.items())
    return total & DIGEST_MASK


def diff(before, after):
    """Return the ``Delta`` that turn some rows into others."""
    changed = {}
    for name, text in after.items():
        if before.get(name) != text:
            changed[name] = text
    removed = tuple(name for name in before if name not in after)
    return Delta(changed, removed)


def patch(rows, changes):
    """Return rows after changes."""
    patched = {**rows, **changes.changed}
    for name in changes.removed:
        patched.pop(name, None)
    return patched

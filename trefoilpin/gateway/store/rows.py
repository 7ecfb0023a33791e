"""Rows of a document, deltas between two states of them, and their digest.

A document of one kind is a table of rows by name. A row is text that hosts compare and
forward without parsing, so the cost of a change depends on the changed rows and not on
the size of the document.
"""

import hashlib
from typing import Callable, Mapping, NamedTuple

__all__ = ["Delta", "DocumentCodec", "diff", "digest", "digest_after", "patch"]

DIGEST_BYTES = 8
# Digests are sent as signed 64-bit integers.
DIGEST_MASK = (1 << 63) - 1


class Delta(NamedTuple):
    """Changes that turn one state of a document's rows into another.

    Attributes
    ----------
    changed : Mapping
        Text by name of the rows that are new or differ.
    removed : tuple of str
        Names of the rows that no longer exist.
    """

    changed: Mapping[str, str]
    removed: tuple[str, ...]


class DocumentCodec(NamedTuple):
    """Encodes rows and deltas as bytes; the decoders return a ``Result``.

    ``encode_content(content)`` returns the text of a row, deterministic for equal
    content. ``encode_delta(delta, digest)`` takes the digest of the rows after the
    delta, and ``decode_delta(data)`` returns both.
    """

    encode_content: Callable
    encode_rows: Callable
    decode_rows: Callable
    encode_delta: Callable
    decode_delta: Callable


def digest_row(name, text):
    """Return the digest of a row."""
    data = f"{name}\0{text}".encode()
    hashed = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(hashed, "big")


def digest(rows):
    """Return the digest of a document's rows.

    It is the sum of the row digests, so an update only needs the rows that changed.
    """
    return sum(digest_row(*row) for row in rows.items()) & DIGEST_MASK


def digest_after(base, rows, delta):
    """Return the digest of the rows after a delta.

    Parameters
    ----------
    base : int
        Digest of ``rows``.
    rows : Mapping
    delta : Delta
    """
    total = base
    for name in (*delta.changed, *delta.removed):
        if name in rows:
            total -= digest_row(name, rows[name])
    total += sum(digest_row(*row) for row in delta.changed.items())
    return total & DIGEST_MASK


def diff(before, after):
    """Return the ``Delta`` between two states of the rows."""
    changed = {}
    for name, text in after.items():
        if before.get(name) != text:
            changed[name] = text
    removed = tuple(name for name in before if name not in after)
    return Delta(changed, removed)


def patch(rows, delta):
    """Return the rows after a delta."""
    patched = {**rows, **delta.changed}
    for name in delta.removed:
        patched.pop(name, None)
    return patched

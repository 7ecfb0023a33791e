"""Encoding of document rows and deltas."""

import json
import zlib

from returns.result import Failure, Result, Success

from trefoilpin.gateway.rows import Delta, DocumentCodec

__all__ = ["CODEC"]

MAX_DOCUMENT_BYTES = 67_108_864
COMPRESSION_LEVEL = 1
CHANGED, GONE, DIGEST = "changed", "gone", "digest"


def encode_content(content):
    """Return the text of a row, the same for the same content."""
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def pack(table):
    return zlib.compress(encode_content(table).encode(), COMPRESSION_LEVEL)


def unpack(data) -> Result[dict, str]:
    """Return the table that bytes hold, or what is wrong with them."""
    try:
        text = zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES)
        table = json.loads(text)
    except (zlib.error, ValueError) as error:
        return Failure(f"{type(error).__name__}: {error}")
    if not isinstance(table, dict):
        return Failure("the document does not hold a table")
    return Success(table)


def are_rows(table):
    """Tell whether a table holds nothing but texts by name."""
    return isinstance(table, dict) and all(
        isinstance(text, str) for text in table.values()
    )


def encode_rows(rows):
    """Return a whole document as bytes."""
    return pack(dict(rows))


def decode_rows(data) -> Result[dict, str]:
    """Return the rows that bytes hold, or what is wrong with them."""
    unpacked = unpack(data)
    if isinstance(unpacked, Failure) or are_rows(unpacked.unwrap()):
        return unpacked
    return Failure("the document does not hold texts by name")


def encode_delta(changes, digest):
    """Return changes, and the digest that the rows have after them, as bytes."""
    table = {CHANGED: dict(changes.changed), GONE: changes.removed, DIGEST: digest}
    return pack(table)


def decode_delta(data) -> Result[tuple[Delta, int], str]:
    """Return changes and the digest after them, or what is wrong with the bytes."""
    unpacked = unpack(data)
    if isinstance(unpacked, Failure):
        return Failure(unpacked.failure())
    table = unpacked.unwrap()
    changed, removed, digest = (table.get(field) for field in (CHANGED, GONE, DIGEST))
    are_names = isinstance(removed, list) and all(
        isinstance(name, str) for name in removed
    )
    if not are_rows(changed) or not are_names or not isinstance(digest, int):
        return Failure("the changes are malformed")
    return Success((Delta(changed, tuple(removed)), digest))


CODEC = DocumentCodec(
    encode_content, encode_rows, decode_rows, encode_delta, decode_delta
)

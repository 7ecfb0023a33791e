"""Encoding of document rows and deltas.

What another host sent is measured before it is decoded: a document is a table of texts,
so it has few lists and tables, however many rows it has.
"""

import json
import zlib

from returns.result import Failure, Result, Success

from trefoilpin import json_scans
from trefoilpin.gateway.store.rows import Delta, DocumentCodec

__all__ = ["CODEC"]

# Several times the documents of the planned size, which are 1 to 3 MB.
MAX_DOCUMENT_BYTES = 12_582_912
# Rows of a document with their names, and the fields of a delta.
MAX_VALUES = 200_000
# A delta has a table of changed rows and a list of removed ones in a table.
MAX_CONTAINERS = 3
COMPRESSION_LEVEL = 1
CHANGED_KEY, REMOVED_KEY, DIGEST_KEY = "changed", "gone", "digest"


def encode_content(content):
    """Return the text of a row, equal for equal content."""
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def pack(table):
    return zlib.compress(encode_content(table).encode(), COMPRESSION_LEVEL)


def unpack(data) -> Result[dict, str]:
    """Return the decoded table, or a description of the error."""
    try:
        text = zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES + 1)
        if len(text) > MAX_DOCUMENT_BYTES:
            return Failure(f"the document is over {MAX_DOCUMENT_BYTES} bytes")
        if json_scans.has_more_containers(text, MAX_CONTAINERS):
            return Failure("the document is not a table of texts")
        if json_scans.has_more_values(text, MAX_VALUES):
            return Failure(f"the document has over {MAX_VALUES} values")
        table = json.loads(text)
    except (zlib.error, ValueError, RecursionError) as error:
        return Failure(f"{type(error).__name__}: {error}")
    if not isinstance(table, dict):
        return Failure("the document is not a JSON object")
    return Success(table)


def are_rows(table):
    """Tell whether all values of a table are text."""
    return isinstance(table, dict) and all(
        isinstance(text, str) for text in table.values()
    )


def encode_rows(rows):
    """Return a whole document as bytes."""
    return pack(dict(rows))


def decode_rows(data) -> Result[dict, str]:
    """Return the decoded rows, or a description of the error."""
    unpacked = unpack(data)
    if isinstance(unpacked, Failure) or are_rows(unpacked.unwrap()):
        return unpacked
    return Failure("a row of the document is not text")


def encode_delta(delta, digest):
    """Return a delta and the digest of the rows after it as bytes."""
    table = {
        CHANGED_KEY: dict(delta.changed),
        REMOVED_KEY: delta.removed,
        DIGEST_KEY: digest,
    }
    return pack(table)


def decode_delta(data) -> Result[tuple[Delta, int], str]:
    """Return a delta and the digest after it, or a description of the error."""
    unpacked = unpack(data)
    if isinstance(unpacked, Failure):
        return Failure(unpacked.failure())
    table = unpacked.unwrap()
    changed, removed, digest = (
        table.get(field) for field in (CHANGED_KEY, REMOVED_KEY, DIGEST_KEY)
    )
    is_removed_valid = isinstance(removed, list) and all(
        isinstance(name, str) for name in removed
    )
    if not are_rows(changed) or not is_removed_valid or not isinstance(digest, int):
        return Failure("the delta lacks a field or has one of the wrong type")
    return Success((Delta(changed, tuple(removed)), digest))


CODEC = DocumentCodec(
    encode_content, encode_rows, decode_rows, encode_delta, decode_delta
)

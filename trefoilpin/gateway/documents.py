"""Documents: the objects of one kind as bytes that hosts pass on unread."""

import json
import zlib

from returns.result import Failure, Result, Success

__all__ = ["decode_objects", "encode_objects"]

MAX_DOCUMENT_BYTES = 16_777_216
COMPRESSION_LEVEL = 1


def encode_objects(content_by_name):
    """Return objects by name as bytes, the same for the same content."""
    text = json.dumps(content_by_name, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_objects(document) -> Result[dict, str]:
    """Return the objects by name that bytes hold, or what is wrong with them."""
    if not document:
        return Success({})
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(document, MAX_DOCUMENT_BYTES)
        found = json.loads(text)
    except (zlib.error, ValueError) as error:
        return Failure(f"{type(error).__name__}: {error}")
    if not isinstance(found, dict):
        return Failure("the document does not hold objects by name")
    return Success(found)

"""Documents: the objects of one kind as bytes that hosts pass on unread."""

import json
import zlib

from returns.result import Failure, Result, Success

__all__ = ["decode_objects", "difference", "encode_objects", "patch"]

MAX_DOCUMENT_BYTES = 16_777_216
COMPRESSION_LEVEL = 1
CHANGED, GONE = "changed", "gone"


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


def difference(before, after):
    """Return what turns one document into another, as bytes.

    Parameters
    ----------
    before, after : bytes
        Documents that were read or passed on whole, so that they can be decoded.
    """
    objects_before = decode_objects(before).unwrap()
    objects_after = decode_objects(after).unwrap()
    changed = {}
    for name, content in objects_after.items():
        if name not in objects_before or objects_before[name] != content:
            changed[name] = content
    gone = [name for name in objects_before if name not in objects_after]
    return encode_objects({CHANGED: changed, GONE: gone})


def patch(document, changes) -> Result[bytes, str]:
    """Return a document after what ``difference`` gave, or what is wrong with that."""
    objects = decode_objects(document)
    decoded = decode_objects(changes)
    if isinstance(objects, Failure) or isinstance(decoded, Failure):
        return Failure("the document or its changes can't be decoded")
    found = decoded.unwrap()
    changed, gone = found.get(CHANGED), found.get(GONE)
    if not isinstance(changed, dict) or not isinstance(gone, list):
        return Failure("the changes are malformed")
    patched = objects.unwrap() | changed
    for name in gone:
        patched.pop(name, None)
    return Success(encode_objects(patched))

"""Compression of datagrams, for receivers to which each byte costs."""

import zlib

from returns.result import Failure, Result, Success

__all__ = ["compress", "expand"]

# Higher levels save another hundredth of a gossip message.
LEVEL = 1
MAX_EXPANDED_BYTES = 1_048_576
# First byte of the zlib format. An encoded message begins with the type of a field,
# which is at most 15.
ZLIB_START = 0x78


def compress(data):
    """Return data in the zlib format, or unchanged if that is no shorter."""
    compressed = zlib.compress(data, LEVEL)
    return compressed if len(compressed) < len(data) else data


def expand(data) -> Result[bytes, str]:
    """Return the data before compression, or a description of the error."""
    if not data or data[0] != ZLIB_START:
        return Success(data)
    decompressor = zlib.decompressobj()
    try:
        expanded = decompressor.decompress(data, MAX_EXPANDED_BYTES)
    except zlib.error as error:
        return Failure(f"zlib: {error}")
    if not decompressor.eof:
        return Failure("the compressed message is incomplete or too long")
    return Success(expanded)

"""Reads the body of a response up to a limit."""

from returns.result import Failure, Result, Success

__all__ = ["read_body"]

PART_BYTES = 65_536


def read_body(response, max_bytes) -> Result[bytes, str]:
    """Return the body of a response, or a message if it is longer than the limit.

    The connection is kept after a whole body and closed otherwise.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Requested with ``preload_content=False``.
    max_bytes : int

    Raises
    ------
    urllib3.exceptions.HTTPError, OSError
        If the connection ends early.
    """
    parts, size = [], 0
    try:
        while part := response.read(PART_BYTES, decode_content=False):
            size += len(part)
            if size > max_bytes:
                response.close()
                return Failure(f"the answer is longer than {max_bytes} bytes")
            parts.append(part)
    finally:
        response.release_conn()
    return Success(b"".join(parts))

"""Upstream process that sends an endless response to one request.

Run as ``python -m trefoilpin.fakes.endless_upstreams SCENARIO``; it prints its port. It
is a separate process, so that it keeps sending while the host is busy.
"""

import socket
import sys
import time

__all__ = ["RESPONSE_BY_SCENARIO"]

SOCKET_TIMEOUT_SECONDS = 5.0
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LONG_BODY_HEAD = OK_STATUS_LINE + b"Content-Length: 999999999999\r\n\r\n"
HEADER_LINE = b"X-Odd: 1\r\n"
# Bytes sent once, bytes sent repeatedly, and the pause between repeats in seconds.
RESPONSE_BY_SCENARIO = {
    "head_drips": (OK_STATUS_LINE + b"X-Odd: ", b"x", 0.02),
    "interim_answers_drip": (b"", INTERIM_RESPONSE, 0.02),
    "interim_answers_flood": (b"", INTERIM_RESPONSE * 1000, 0.0),
    "header_lines_flood": (OK_STATUS_LINE, HEADER_LINE * 1000, 0.0),
    "long_header_lines_flood": (
        OK_STATUS_LINE,
        b"X-Odd: " + b"x" * 65_000 + b"\r\n",
        0.0,
    ),
    "one_header_line_floods": (OK_STATUS_LINE + b"X-Odd: ", b"x" * 65_536, 0.0),
    "body_drips": (OK_STATUS_LINE + b"\r\n", b"x", 0.02),
    "body_floods": (OK_STATUS_LINE + b"\r\n", b"x" * 65_536, 0.0),
    "long_body_drips": (LONG_BODY_HEAD, b"x", 0.02),
    "long_body_floods": (LONG_BODY_HEAD, b"x" * 65_536, 0.0),
    "chunks_drip": (CHUNKED_HEAD, b"1\r\nx\r\n", 0.02),
    "chunks_flood": (CHUNKED_HEAD, CHUNK * 60, 0.0),
    "tiny_chunks_flood": (CHUNKED_HEAD, b"1\r\nx\r\n" * 10_000, 0.0),
    "two_byte_chunks_flood": (CHUNKED_HEAD, b"2\r\nxx\r\n" * 10_000, 0.0),
    "chunk_of_negative_size_floods": (CHUNKED_HEAD + b"-1\r\n", b"x" * 65_536, 0.0),
    "chunk_of_huge_size_floods": (
        CHUNKED_HEAD + b"7" + b"f" * 15 + b"\r\n",
        b"x" * 65_536,
        0.0,
    ),
    "chunk_size_drips": (CHUNKED_HEAD, b"0", 0.02),
    "chunk_size_floods": (CHUNKED_HEAD, b"0" * 65_536, 0.0),
    "extension_floods": (CHUNKED_HEAD + b"1;a=", b"b" * 65_536, 0.0),
    "extensions_flood": (
        CHUNKED_HEAD,
        (b"1;a=" + b"b" * 4_000 + b"\r\nx\r\n") * 16,
        0.0,
    ),
    "trailers_drip": (CHUNKED_HEAD + CHUNK + b"0\r\n", HEADER_LINE, 0.02),
    "trailers_flood": (CHUNKED_HEAD + CHUNK + b"0\r\n", HEADER_LINE * 6_000, 0.0),
}


def main(scenario):
    """Accept one connection and send until the peer closes it."""
    first, repeated, pause = RESPONSE_BY_SCENARIO[scenario]
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        listener.settimeout(SOCKET_TIMEOUT_SECONDS)
        print(listener.getsockname()[1], flush=True)
        sock, _ = listener.accept()
    sock.settimeout(SOCKET_TIMEOUT_SECONDS)
    try:
        sock.recv(65_536)
        sock.sendall(first)
        while True:
            sock.sendall(repeated)
            if pause:
                time.sleep(pause)
    except OSError as error:
        print(f"connection closed: {type(error).__name__}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1])

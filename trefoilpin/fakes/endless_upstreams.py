"""A program that answers one request without end.

Run as ``python -m trefoilpin.fakes.endless_upstreams WAY``; it prints its port. It is a
process of its own, so that it goes on sending while the host is busy.
"""

import socket
import sys
import time

__all__ = ["RESPONSE_BY_SCENARIO"]

WAITS_SECONDS = 5.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
LONG = OK + b"Content-Length: 999999999999\r\n\r\n"
FIELD = b"X-Odd: 1\r\n"
# What comes first, what comes again and again, and the pause between in seconds.
RESPONSE_BY_SCENARIO = {
    "head_drips": (OK + b"X-Odd: ", b"x", 0.02),
    "interim_answers_drip": (b"", INTERIM, 0.02),
    "interim_answers_flood": (b"", INTERIM * 1000, 0.0),
    "header_lines_flood": (OK, FIELD * 1000, 0.0),
    "one_header_line_floods": (OK + b"X-Odd: ", b"x" * 65_536, 0.0),
    "body_drips": (OK + b"\r\n", b"x", 0.02),
    "body_floods": (OK + b"\r\n", b"x" * 65_536, 0.0),
    "long_body_drips": (LONG, b"x", 0.02),
    "long_body_floods": (LONG, b"x" * 65_536, 0.0),
    "chunks_drip": (CHUNKED, b"1\r\nx\r\n", 0.02),
    "chunks_flood": (CHUNKED, CHUNK * 60, 0.0),
    "tiny_chunks_flood": (CHUNKED, b"1\r\nx\r\n" * 10_000, 0.0),
    "trailers_drip": (CHUNKED + CHUNK + b"0\r\n", FIELD, 0.02),
    "trailers_flood": (CHUNKED + CHUNK + b"0\r\n", FIELD * 6_000, 0.0),
}


def main(way):
    """Take one connection and send until the other side ends it."""
    first, again, pause = RESPONSE_BY_SCENARIO[way]
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        listener.settimeout(WAITS_SECONDS)
        print(listener.getsockname()[1], flush=True)
        sock, _ = listener.accept()
    sock.settimeout(WAITS_SECONDS)
    try:
        sock.recv(65_536)
        sock.sendall(first)
        while True:
            sock.sendall(again)
            if pause:
                time.sleep(pause)
    except OSError as error:
        print(f"ended: {type(error).__name__}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1])

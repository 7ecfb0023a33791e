"""Reads from an upstream's connection that raise where the libraries see an end."""

import http.client

import eventlet
import eventlet.hubs

__all__ = ["create_strict_readline", "create_strict_recv_into"]

# Reads of 8 KB; other tasks wait a few milliseconds meanwhile.
READS_PER_YIELD = 8


def create_strict_recv_into(sock):
    """Return a ``recv_into`` for a socket that raises on a reset and yields to tasks.

    Eventlet's own reports a reset as the end of the stream, and so as the end of an
    answer without a length. It also does not yield while there is data to read, so that
    an upstream that sends without end would keep every timeout from firing.
    """
    reads = 0

    def recv_into(buffer, size=0, flags=0):
        nonlocal reads
        reads += 1
        if reads % READS_PER_YIELD == 0:
            eventlet.sleep(0)
        while True:
            try:
                return sock.fd.recv_into(buffer, size, flags)
            except BlockingIOError:
                timeout = sock.gettimeout()
                if timeout == 0:
                    raise
            eventlet.hubs.trampoline(
                sock.fd, read=True, timeout=timeout, timeout_exc=TimeoutError
            )

    return recv_into


def create_strict_readline(connection):
    """Return a ``readline`` that raises on a head that is too long or ends early.

    The response class takes the end of the stream for the end of the headers, and so
    an answer that was cut there for one with an empty body.
    """
    reader = connection.reader

    def readline(limit):
        line = reader.readline(limit)
        if connection.head_bytes_left is None:
            return line
        connection.head_bytes_left -= len(line)
        if connection.head_bytes_left < 0:
            raise http.client.HTTPException("the head is too long")
        if not line.endswith(b"\n") and len(line) < limit:
            raise http.client.HTTPException("the head ended early")
        return line

    return readline

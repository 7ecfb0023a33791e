"""Reads from connections that raise where the libraries see an end, and give way."""

import eventlet
import eventlet.hubs

from trefoilpin.clocks import boot_seconds

__all__ = ["create_give_way", "create_strict_recv_into"]

# Reads of 8 KB; other tasks wait a few milliseconds meanwhile.
READS_PER_YIELD = 8
# For which a task reads a body that has all arrived before others have their turn.
RUN_SECONDS = 0.002


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


def create_give_way(now=boot_seconds):
    """Return a function that lets other tasks run once this one has run for a while.

    Parameters
    ----------
    now : callable
        Seconds of a clock.
    """
    resumed_at = now()

    def give_way():
        nonlocal resumed_at
        if now() - resumed_at >= RUN_SECONDS:
            eventlet.sleep(0)
            resumed_at = now()

    return give_way

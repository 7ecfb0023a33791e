"""How much of what was written to a caller it has received, from the system."""

import fcntl
import socket
import struct
import termios

__all__ = ["delivered_bytes"]

# ``tcpi_bytes_acked`` in the system's ``struct tcp_info``.
ACKNOWLEDGED = struct.Struct("=120xQ")
QUEUED = struct.Struct("i")


def delivered_bytes(sock):
    """Return the bytes that a peer has acknowledged, or None when nothing is left.

    A peer whose buffer is full acknowledges nothing further until it reads.

    Raises
    ------
    OSError
        When the socket is closed.
    """
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(QUEUED.size))
    if not QUEUED.unpack(queued)[0]:
        return None
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, ACKNOWLEDGED.size)
    return ACKNOWLEDGED.unpack(info)[0]

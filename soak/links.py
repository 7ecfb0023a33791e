"""Loopback proxies that delay, reset, cut one way or silence connections."""

import socket
import struct

import eventlet

__all__ = ["Link", "MODES", "open_link"]

READ_BYTES = 65_536
DELAY_SECONDS = 0.25
STEP_SECONDS = 0.02
RESET = struct.pack("ii", 1, 0)
# ``one_way`` loses what comes back, ``silent`` all that is sent on open connections
# while new ones are taken and hear nothing either.
MODES = ("delay", "reset", "one_way", "silent")


class Link:
    """A port that passes connections on to another.

    Attributes
    ----------
    address : str
        Where it listens.
    target : str
    mode : str
        Empty, or one of ``MODES``.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.mode = ""
        self.pairs: list[tuple] = []

    def set_mode(self, mode):
        """Change what becomes of bytes; ``reset`` ends all open connections."""
        self.mode = mode
        if mode != "reset":
            return
        pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for sock in pair:
                close(sock, RESET)


def close(sock, linger=None):
    """Close a socket, with a reset when ``linger`` says so."""
    try:
        if linger is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        # Wakes a task that reads from it; closing alone would not.
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It ended by itself in the meantime, which is all that is wanted.
        pass
    sock.close()
    # The hub has to drop the tasks that wait for it before its number is used again.
    eventlet.sleep(0)


def open_link(target):
    """Start a link to ``ip:port`` on a port of its own; it lives with the process."""
    link = Link(target)

    def pump(source, sink, is_answer):
        try:
            while True:
                data = source.recv(READ_BYTES)
                if not data:
                    break
                if link.mode == "delay":
                    eventlet.sleep(DELAY_SECONDS)
                if link.mode == "silent" or (link.mode == "one_way" and is_answer):
                    continue
                sink.sendall(data)
        except (OSError, EOFError):
            # Either end broke; the other one is told by the close below.
            pass
        close(source)
        close(sink)

    def serve(caller):
        if link.mode == "reset":
            close(caller, RESET)
            return
        host, _, port = link.target.rpartition(":")
        try:
            server = eventlet.connect((host, int(port)))
        except OSError:
            close(caller, RESET)
            return
        pair = (caller, server)
        link.pairs.append(pair)
        answers = eventlet.spawn(pump, server, caller, True)
        pump(caller, server, False)
        answers.wait()
        if pair in link.pairs:
            link.pairs.remove(pair)

    def accept_forever(listener):
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(serve, sock)

    listener = eventlet.listen(("127.0.0.1", 0))
    link.address = f"127.0.0.1:{listener.getsockname()[1]}"
    eventlet.spawn(accept_forever, listener)
    return link

"""Loopback TCP proxies that delay, reset or drop what passes through them."""

import socket
import struct

import eventlet

__all__ = ["FaultProxy", "MODES", "start_proxy"]

READ_BUFFER_BYTES = 65_536
DELAY_SECONDS = 0.25
RESET_LINGER = struct.pack("ii", 1, 0)
# ``drop_responses`` drops what the target sends, ``blackhole`` what either side sends.
# Both still accept new connections.
MODES = ("delay", "reset", "drop_responses", "blackhole")


class FaultProxy:
    """A proxy for the connections to one address.

    Attributes
    ----------
    address : str
        Listen address, as ``ip:port``.
    target : str
        Address that connections are forwarded to.
    mode : str
        Empty, or one of ``MODES``.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.mode = ""
        self.connection_pairs: list[tuple] = []

    def set_mode(self, mode):
        """Set the mode; ``reset`` also resets all open connections."""
        self.mode = mode
        if mode != "reset":
            return
        connection_pairs, self.connection_pairs = self.connection_pairs, []
        for connection_pair in connection_pairs:
            for sock in connection_pair:
                close_socket(sock, RESET_LINGER)


def close_socket(sock, linger=None):
    """Close a socket; with ``RESET_LINGER`` by a reset."""
    try:
        if linger is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        # Wakes a task that is reading from the socket, which close() does not.
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection has ended already.
        pass
    sock.close()
    # Lets the hub drop the tasks that wait for this descriptor before its number is
    # reused.
    eventlet.sleep(0)


def start_proxy(target):
    """Start a proxy to ``ip:port`` on a free port; it runs until the process ends."""
    proxy = FaultProxy(target)

    def forward(source, destination, is_response):
        try:
            while True:
                data = source.recv(READ_BUFFER_BYTES)
                if not data:
                    break
                if proxy.mode == "delay":
                    eventlet.sleep(DELAY_SECONDS)
                if proxy.mode == "blackhole" or (
                    proxy.mode == "drop_responses" and is_response
                ):
                    continue
                destination.sendall(data)
        except (OSError, EOFError):
            # One side has failed; closing both sockets below tells the other one.
            pass
        close_socket(source)
        close_socket(destination)

    def serve_connection(client):
        if proxy.mode == "reset":
            close_socket(client, RESET_LINGER)
            return
        host, _, port = proxy.target.rpartition(":")
        try:
            server = eventlet.connect((host, int(port)))
        except OSError:
            close_socket(client, RESET_LINGER)
            return
        connection_pair = (client, server)
        proxy.connection_pairs.append(connection_pair)
        response_task = eventlet.spawn(forward, server, client, True)
        forward(client, server, False)
        response_task.wait()
        if connection_pair in proxy.connection_pairs:
            proxy.connection_pairs.remove(connection_pair)

    def accept_forever(listener):
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(serve_connection, sock)

    listener = eventlet.listen(("127.0.0.1", 0))
    proxy.address = f"127.0.0.1:{listener.getsockname()[1]}"
    eventlet.spawn(accept_forever, listener)
    return proxy

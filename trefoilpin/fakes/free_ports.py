"""Draws unused ports for the servers that tests and benchmarks start."""

import contextlib
import logging
import random
import socket

__all__ = ["PORT_RANGE", "find_free_ports"]

logger = logging.getLogger(__name__)

# Below the kernel's ephemeral range, so that no outgoing connection takes a port.
PORT_RANGE = (10_000, 32_000)

allocated_ports: set[int] = set()


def find_free_ports(ips, count):
    """Return distinct ports that are free on all of the addresses.

    Parameters
    ----------
    ips : sequence of str
        Loopback addresses.
    count : int

    Returns
    -------
    list of int
        Ports that can be bound for streams and for datagrams. A port that was returned
        once is not returned again in this process.
    """
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port in allocated_ports:
            continue
        try:
            check_port(ips, port)
        except OSError as error:
            logger.debug("port %s is taken: %s", port, error)
            continue
        allocated_ports.add(port)
        ports.append(port)
    return ports


def check_port(ips, port):
    """Raise OSError if the port is taken on one of the addresses."""
    with contextlib.ExitStack() as stack:
        for ip in ips:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                if kind == socket.SOCK_STREAM:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((ip, port))

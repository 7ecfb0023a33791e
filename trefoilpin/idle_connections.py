"""Idle connections to upstreams, which later requests reuse."""

from typing import Callable, NamedTuple

from trefoilpin import exchanges

__all__ = ["MAX_IDLE_CONNECTIONS", "IdleConnections", "create"]

# For each address.
MAX_IDLE_CONNECTIONS = 64


class IdleConnections(NamedTuple):
    """Idle connections by address, the most recently used one last.

    ``take(address, max_idle, idempotent)`` returns a connection that a request may
    use, or None; ``keep(connection)`` keeps one, or closes it. ``sweep()`` closes those
    that were idle for too long, ``close_address(address)`` all to an address after a
    failed exchange, and ``close_all()`` all.
    """

    take: Callable
    keep: Callable
    sweep: Callable[[], None]
    close_address: Callable[[str], None]
    close_all: Callable[[], None]


def create(now, max_idle_seconds):
    """Create the functions that keep idle connections.

    Parameters
    ----------
    now : callable
        Seconds of the kernel's clock.
    max_idle_seconds : float
        Time without a request after which a connection is closed.

    Returns
    -------
    IdleConnections
    """
    idle_by_address: dict[str, list] = {}

    def take(address, max_idle, idempotent):
        connections = idle_by_address.get(address, [])
        for connection in reversed(tuple(connections)):
            if connection.may_repeat_refusal and not idempotent:
                continue
            connections.remove(connection)
            max_seconds = max_idle
            if connection.max_idle is not None:
                max_seconds = min(max_idle, connection.max_idle)
            is_fresh = now() - connection.idle_since < max_seconds
            if is_fresh and exchanges.is_reusable(connection):
                return connection
            exchanges.close(connection)
        return None

    def keep(connection):
        connections = idle_by_address.setdefault(connection.address, [])
        is_full = len(connections) >= MAX_IDLE_CONNECTIONS
        is_ending = exchanges.is_closing(connection)
        if is_full or is_ending or exchanges.has_excess_bytes(connection):
            exchanges.close(connection)
            return
        connection.idle_since = now()
        connections.append(connection)

    def sweep():
        for address, connections in list(idle_by_address.items()):
            while connections and now() - connections[0].idle_since >= max_idle_seconds:
                exchanges.close(connections.pop(0))
            if not connections:
                idle_by_address.pop(address)

    def close_address(address):
        for connection in idle_by_address.pop(address, ()):
            exchanges.close(connection)

    def close_all():
        for connections in idle_by_address.values():
            while connections:
                exchanges.close(connections.pop())

    return IdleConnections(take, keep, sweep, close_address, close_all)

"""Remote calls between the hosts of the fleet, over TCP.

Calls to a host are multiplexed over one persistent connection by call id. A peer that
violates the protocol is disconnected.
"""

import logging

import eventlet
import eventlet.event
from eventlet.semaphore import Semaphore
from returns.result import Failure, Success

from trefoilpin import events, peer_codecs
from trefoilpin.peer_connections import (
    Connection,
    Envelope,
    PeerState,
    accept_connection,
    close,
    open_connection,
    receive,
    release,
    send,
)
from trefoilpin.services import PeerFailure, Peers

__all__ = ["create"]

logger = logging.getLogger(__name__)

# Pause after an error of accept, so that a lasting one does not keep a core busy.
ACCEPT_RETRY_SECONDS = 0.1
MAX_CONNECTIONS = 2000
MAX_CONCURRENT_CALLS_PER_CONNECTION = 256
BACKLOG = 256
CALLER_IDLE_TIMEOUT_SECONDS = 120.0


def create(kernel, address, secret, incarnation):
    """Create the service ``peers``.

    Parameters
    ----------
    kernel : Kernel
    address : str
        ``ip:port`` to listen on.
    secret : str
        Shared secret of the fleet, with which envelopes are authenticated.
    incarnation : str
        Unique identifier of this start of the daemon.

    Returns
    -------
    Peers
    """
    state = PeerState(secret, incarnation)
    emit = kernel.find("events").emit

    def run_handler(connection, envelope, method, message):
        try:
            reply = state.handler_by_method[envelope.method](connection.sender, message)
            body = peer_codecs.encode(reply, method.reply_struct)
            reply_envelope = Envelope(
                envelope.method, envelope.call_id, "", body, b"", True
            )
            send(state, connection, reply_envelope)
        except (OSError, ValueError) as error:
            close(connection)
            logger.debug("could not send reply to %s: %s", connection.address, error)
        except Exception:
            logger.exception("handler for method %s failed", envelope.method)
            close(connection)

    def dispatch(pool, connection):
        envelope = receive(state, connection)
        method = peer_codecs.METHODS.get(envelope.method)
        if method is None or envelope.method not in state.handler_by_method:
            raise ValueError(f"unknown method {envelope.method!r}")
        decoded = peer_codecs.decode(
            envelope.body, method.request, method.request_struct
        )
        if isinstance(decoded, Failure):
            raise ValueError(f"{envelope.method}: {decoded.failure()}")
        pool.spawn_n(run_handler, connection, envelope, method, decoded.unwrap())

    def serve_connection(sock, remote):
        connection = Connection(sock, f"{remote[0]}:{remote[1]}")
        state.accepted_connections.add(connection)
        pool = eventlet.GreenPool(MAX_CONCURRENT_CALLS_PER_CONNECTION)
        try:
            accept_connection(state, connection)
            while True:
                dispatch(pool, connection)
        except ValueError as error:
            emit(events.PEER_REFUSED, peer=connection.address, detail=str(error))
        except OSError as error:
            logger.debug("connection from %s closed: %s", connection.address, error)
        finally:
            state.accepted_connections.discard(connection)
            release(connection)

    def read_replies(connection):
        connection.sock.settimeout(CALLER_IDLE_TIMEOUT_SECONDS)
        try:
            while not connection.closed:
                receive_reply(connection)
        except ValueError as error:
            emit(events.PEER_REFUSED, peer=connection.address, detail=str(error))
        except OSError as error:
            logger.debug("connection to %s closed: %s", connection.address, error)
        finally:
            drop_connection(connection)
            connection.sock.close()

    def receive_reply(connection):
        envelope = receive(state, connection)
        name, event = connection.pending_by_call_id.pop(envelope.call_id, (None, None))
        if event is None:
            return
        method = peer_codecs.METHODS[name]
        decoded = peer_codecs.decode(envelope.body, method.reply, method.reply_struct)
        if isinstance(decoded, Failure):
            event.send(Failure(PeerFailure(True, "malformed reply")))
            raise ValueError(f"reply to {name}: {decoded.failure()}")
        event.send(decoded)

    def drop_connection(connection):
        if state.connection_by_address.get(connection.address) is connection:
            del state.connection_by_address[connection.address]
        close(connection)

    def get_connection(target):
        with state.connect_lock_by_address.setdefault(target, Semaphore()):
            connection = state.connection_by_address.get(target)
            if connection is not None and not connection.closed:
                return connection
            connection = open_connection(state, target)
            state.connection_by_address[target] = connection
        kernel.spawn(read_replies, connection)
        return connection

    def cut(addresses):
        state.cut_addresses = frozenset(addresses)

    def call(target, name, message, timeout):
        if target in state.cut_addresses:
            kernel.clock.sleep(timeout)
            return Failure(PeerFailure(True, "dropped by fault injection"))
        method = peer_codecs.METHODS[name]
        body = peer_codecs.encode(message, method.request_struct)
        is_sending = False
        event = eventlet.event.Event()
        connection = call_id = None
        timer = eventlet.Timeout(timeout)
        try:
            with timer:
                connection = get_connection(target)
                connection.last_call_id += 1
                call_id = connection.last_call_id
                connection.pending_by_call_id[call_id] = (name, event)
                is_sending = True
                send(state, connection, Envelope(name, call_id, "", body, b"", False))
                is_sending = None
                return event.wait()
        except eventlet.Timeout as expired:
            if expired is not timer:
                raise
            # A frame that was written only in part makes the connection unusable.
            if is_sending:
                drop_connection(connection)
            return Failure(PeerFailure(connection is not None, "timeout"))
        except (OSError, ValueError) as error:
            if connection is not None:
                drop_connection(connection)
            detail = f"{type(error).__name__}: {error}"
            return Failure(PeerFailure(connection is not None, detail))
        finally:
            if connection is not None:
                connection.pending_by_call_id.pop(call_id, None)

    def call_all(targets, name, message, timeout, enough):
        replies = eventlet.Queue()
        pending = len(targets)
        succeeded = []
        for target in targets:
            kernel.spawn(
                lambda target: replies.put(
                    (target, call(target, name, message, timeout))
                ),
                target,
            )
        while pending and len(succeeded) < enough:
            target, result = replies.get()
            pending -= 1
            if isinstance(result, Success):
                succeeded.append(target)
        return tuple(succeeded)

    def accept_forever():
        while state.listener is not None:
            try:
                sock, remote = state.listener.accept()
            except OSError as error:
                if state.listener is None:
                    return
                # A lack of descriptors or a caller that left ends no listener.
                logger.warning("a peer's connection was not accepted: %s", error)
                kernel.clock.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if len(state.accepted_connections) >= MAX_CONNECTIONS:
                sock.close()
                continue
            kernel.spawn(serve_connection, sock, remote)

    def start():
        host, _, port = address.rpartition(":")
        state.listener = eventlet.listen(
            (host.strip("[]"), int(port)), backlog=BACKLOG, reuse_port=False
        )
        kernel.spawn(accept_forever)

    def stop():
        for connection in list(state.connection_by_address.values()):
            drop_connection(connection)
        for connection in list(state.accepted_connections):
            close(connection)
        listener, state.listener = state.listener, None
        if listener is not None:
            listener.close()

    def traffic():
        return state.bytes_sent, state.bytes_received

    service = Peers(call, state.handler_by_method.__setitem__, call_all, traffic, cut)
    kernel.register("peers", service, start, stop)
    return service

"""Authenticated connections between hosts: framing, handshake and message tags.

A frame is a length followed by an envelope in thrift's binary protocol. The listening
side opens each connection with a random challenge and the calling side replies with
one of its own. Every later envelope carries a tag, an HMAC with the fleet's secret
over its content, both challenges, the direction and a counter, which prevents replay.
"""

import hmac
import os
import struct
from typing import NamedTuple

from eventlet.green import socket
from eventlet.semaphore import Semaphore
from returns.result import Failure

from trefoilpin import peer_codecs
from trefoilpin.services import PeerFailure
from trefoilpin.thrift_gen.envelopes.ttypes import EnvelopeStruct

__all__ = [
    "Connection",
    "Envelope",
    "PeerState",
    "accept_connection",
    "close",
    "open_connection",
    "receive",
    "release",
    "send",
]

MAX_FRAME_BYTES = 4_194_304
MAX_HANDSHAKE_BYTES = 1024
RECEIVE_BUFFER_BYTES = 65536
CHALLENGE_BYTES = 16
TAG_BYTES = 16
HANDSHAKE_TIMEOUT_SECONDS = 2.0
LISTENER_IDLE_TIMEOUT_SECONDS = 300.0
FRAME_LENGTH = struct.Struct("!I")
TAG_HEADER = struct.Struct("!BQQ?")
TO_LISTENER, TO_CALLER = 0, 1


class Envelope(NamedTuple):
    """Header and encoded body of a message.

    Attributes
    ----------
    method : str
    call_id : int
    sender : str
        Incarnation of the calling host; empty except in the first envelope that it
        sends on a connection.
    body : bytes
    tag : bytes
    is_reply : bool
    """

    method: str
    call_id: int
    sender: str
    body: bytes
    tag: bytes
    is_reply: bool


class Connection:
    """One connection, on either side.

    Attributes
    ----------
    pending_by_call_id : dict
        Method name and event of each call without a reply.
    """

    def __init__(self, sock, address):
        self.sock = sock
        self.address = address
        self.challenges = b""
        self.outgoing_direction = TO_LISTENER
        self.sent_envelopes = 0
        self.received_envelopes = 0
        self.last_call_id = 0
        self.sender = ""
        self.buffer = bytearray()
        self.closed = False
        self.send_lock = Semaphore()
        self.pending_by_call_id: dict[int, tuple] = {}


class PeerState:
    """Open connections and the methods that this host serves."""

    def __init__(self, secret, incarnation):
        self.secret = secret.encode()
        self.incarnation = incarnation
        self.connection_by_address: dict[str, Connection] = {}
        self.connect_lock_by_address: dict[str, Semaphore] = {}
        self.accepted_connections: set[Connection] = set()
        self.handler_by_method: dict = {}
        self.listener = None
        self.cut_addresses: frozenset[str] = frozenset()
        self.bytes_sent = 0
        self.bytes_received = 0


def read_exactly(connection, size):
    """Read ``size`` bytes; ``ConnectionError`` when the stream ends before that."""
    unread = connection.buffer
    while len(unread) < size:
        try:
            chunk = connection.sock.recv(RECEIVE_BUFFER_BYTES)
        except EOFError:
            # Raised by eventlet when another task closed the socket.
            raise ConnectionError("closed locally") from None
        if not chunk:
            raise ConnectionError("closed by the peer")
        unread += chunk
    data = bytes(unread[:size])
    del unread[:size]
    return data


def read_envelope(state, connection, limit=MAX_FRAME_BYTES):
    """Read one envelope without checking its tag."""
    (size,) = FRAME_LENGTH.unpack(read_exactly(connection, FRAME_LENGTH.size))
    if size > limit:
        raise ValueError(f"frame of {size} bytes is over the limit")
    state.bytes_received += FRAME_LENGTH.size + size
    data = read_exactly(connection, size)
    decoded = peer_codecs.decode(data, Envelope, EnvelopeStruct)
    if isinstance(decoded, Failure):
        raise ValueError(decoded.failure())
    return decoded.unwrap()


def write_envelope(state, connection, envelope):
    """Write one envelope with the tag it already has."""
    data = peer_codecs.encode(envelope, EnvelopeStruct)
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"message of {len(data)} bytes is over the limit")
    state.bytes_sent += FRAME_LENGTH.size + len(data)
    connection.sock.sendall(FRAME_LENGTH.pack(len(data)) + data)


def compute_tag(state, connection, direction, counter, envelope):
    """Return the tag that authenticates an envelope's content, direction and order."""
    header = TAG_HEADER.pack(direction, counter, envelope.call_id, envelope.is_reply)
    names = f"{envelope.method}\0{envelope.sender}\0".encode()
    authenticated = connection.challenges + header + names + envelope.body
    return hmac.digest(state.secret, authenticated, "sha256")[:TAG_BYTES]


def send(state, connection, envelope):
    """Tag and write one envelope."""
    with connection.send_lock:
        counter = connection.sent_envelopes
        connection.sent_envelopes += 1
        tag = compute_tag(
            state, connection, connection.outgoing_direction, counter, envelope
        )
        write_envelope(state, connection, envelope._replace(tag=tag))


def receive(state, connection, limit=MAX_FRAME_BYTES):
    """Read one envelope and check its tag."""
    envelope = read_envelope(state, connection, limit)
    incoming_direction = (
        TO_CALLER if connection.outgoing_direction == TO_LISTENER else TO_LISTENER
    )
    tag = compute_tag(
        state, connection, incoming_direction, connection.received_envelopes, envelope
    )
    if not hmac.compare_digest(tag, envelope.tag):
        raise ValueError("the tag does not match the fleet's secret")
    connection.received_envelopes += 1
    return envelope


def close(connection):
    """Shut a connection down and fail its pending calls.

    The shutdown wakes the task that reads from the connection, and that task closes
    the socket. If it were closed here, the reader would go on waiting on a file
    descriptor that may soon belong to another socket.
    """
    connection.closed = True
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    pending, connection.pending_by_call_id = connection.pending_by_call_id, {}
    for _, event in pending.values():
        event.send(Failure(PeerFailure(True, "connection lost")))


def release(connection):
    """Close a connection and its socket, once no task reads from it any more."""
    close(connection)
    connection.sock.close()


def open_connection(state, address):
    """Connect to a host and perform the handshake as the calling side."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection(
        (host.strip("[]"), int(port)), HANDSHAKE_TIMEOUT_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection = Connection(sock, address)
    try:
        challenge = read_envelope(state, connection, MAX_HANDSHAKE_BYTES)
        own_challenge = os.urandom(CHALLENGE_BYTES)
        connection.challenges = challenge.body + own_challenge
        hello = Envelope("hello", 0, state.incarnation, own_challenge, b"", False)
        send(state, connection, hello)
    except BaseException:
        release(connection)
        raise
    sock.settimeout(None)
    return connection


def accept_connection(state, connection):
    """Perform the handshake as the listening side and authenticate the caller."""
    sock = connection.sock
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
    connection.outgoing_direction = TO_CALLER
    own_challenge = os.urandom(CHALLENGE_BYTES)
    write_envelope(
        state, connection, Envelope("challenge", 0, "", own_challenge, b"", False)
    )
    hello = read_envelope(state, connection, MAX_HANDSHAKE_BYTES)
    connection.challenges = own_challenge + hello.body
    tag = compute_tag(state, connection, TO_LISTENER, 0, hello)
    if hello.method != "hello" or not hmac.compare_digest(tag, hello.tag):
        raise ValueError("the tag does not match the fleet's secret")
    connection.received_envelopes = 1
    connection.sender = hello.sender
    sock.settimeout(LISTENER_IDLE_TIMEOUT_SECONDS)

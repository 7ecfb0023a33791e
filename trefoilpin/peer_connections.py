"""Connections between hosts: frames, challenges and tags.

A frame is a length and an envelope in thrift's binary protocol. The listening side
opens each connection with a random challenge and the calling side answers with one
of its own; every later envelope carries a tag made with the fleet's secret from both
challenges, the direction and a counter, so that nothing recorded can be replayed.
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
READ_BYTES = 65536
CHALLENGE_BYTES = 16
TAG_BYTES = 16
HANDSHAKE_SECONDS = 2.0
LISTENER_IDLE_SECONDS = 300.0
LENGTH = struct.Struct("!I")
TAGGED = struct.Struct("!BQQ?")
TO_LISTENER, TO_CALLER = 0, 1


class Envelope(NamedTuple):
    """Frame of every message.

    Attributes
    ----------
    method : str
    call_id : int
    sender : str
        Incarnation; only in the first envelope of a connection.
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
    """One connection, from either side.

    Attributes
    ----------
    waiting_by_call : dict
        Method name and event of each call that awaits its reply.
    """

    def __init__(self, sock, address):
        self.sock = sock
        self.address = address
        self.challenges = b""
        self.outgoing = TO_LISTENER
        self.sent = 0
        self.received = 0
        self.calls = 0
        self.sender = ""
        self.buffer = bytearray()
        self.closed = False
        self.send_lock = Semaphore()
        self.waiting_by_call: dict[int, tuple] = {}


class PeerState:
    """Kept connections and what this host serves."""

    def __init__(self, secret, incarnation):
        self.secret = secret.encode()
        self.incarnation = incarnation
        self.connection_by_address: dict[str, Connection] = {}
        self.lock_by_address: dict[str, Semaphore] = {}
        self.accepted: set[Connection] = set()
        self.handler_by_method: dict = {}
        self.listener = None
        self.cut_addresses: frozenset[str] = frozenset()
        self.bytes_sent = 0
        self.bytes_received = 0


def read_exactly(connection, size):
    """Read a number of bytes; ``ConnectionError`` when the stream ends before."""
    received = connection.buffer
    while len(received) < size:
        try:
            part = connection.sock.recv(READ_BYTES)
        except EOFError:
            # Eventlet's way to tell a task that another one closed its socket.
            raise ConnectionError("closed by this side") from None
        if not part:
            raise ConnectionError("closed by the other side")
        received += part
    data = bytes(received[:size])
    del received[:size]
    return data


def read_envelope(state, connection, limit=MAX_FRAME_BYTES):
    """Read one envelope, its tag not checked yet."""
    (size,) = LENGTH.unpack(read_exactly(connection, LENGTH.size))
    if size > limit:
        raise ValueError(f"a frame of {size} bytes is over the limit")
    state.bytes_received += LENGTH.size + size
    data = read_exactly(connection, size)
    decoded = peer_codecs.decode(data, Envelope, EnvelopeStruct)
    if isinstance(decoded, Failure):
        raise ValueError(decoded.failure())
    return decoded.unwrap()


def write_envelope(state, connection, envelope):
    """Write one envelope as it is."""
    data = peer_codecs.encode(envelope, EnvelopeStruct)
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"a message of {len(data)} bytes is over the limit")
    state.bytes_sent += LENGTH.size + len(data)
    connection.sock.sendall(LENGTH.pack(len(data)) + data)


def compute_tag(state, connection, direction, counter, envelope):
    """Return the tag that proves an envelope's sender, place and content."""
    head = TAGGED.pack(direction, counter, envelope.call_id, envelope.is_reply)
    names = f"{envelope.method}\0{envelope.sender}\0".encode()
    text = connection.challenges + head + names + envelope.body
    return hmac.digest(state.secret, text, "sha256")[:TAG_BYTES]


def send(state, connection, envelope):
    """Tag and write one envelope."""
    with connection.send_lock:
        counter = connection.sent
        connection.sent += 1
        tag = compute_tag(state, connection, connection.outgoing, counter, envelope)
        write_envelope(state, connection, envelope._replace(tag=tag))


def receive(state, connection, limit=MAX_FRAME_BYTES):
    """Read one envelope and check its tag."""
    envelope = read_envelope(state, connection, limit)
    incoming = TO_CALLER if connection.outgoing == TO_LISTENER else TO_LISTENER
    tag = compute_tag(state, connection, incoming, connection.received, envelope)
    if not hmac.compare_digest(tag, envelope.tag):
        raise ValueError("the tag does not fit the fleet's secret")
    connection.received += 1
    return envelope


def close(connection):
    """Shut a connection down and fail every call that waits on it.

    Its reader is woken by that and releases the socket; were it released here, the
    reader would go on waiting for a descriptor that may soon be another socket's.
    """
    connection.closed = True
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    waiting, connection.waiting_by_call = connection.waiting_by_call, {}
    for _, event in waiting.values():
        event.send(Failure(PeerFailure(True, "the connection was lost")))


def release(connection):
    """Close a connection whose reader has ended."""
    close(connection)
    connection.sock.close()


def open_connection(state, address):
    """Connect to a host and exchange challenges."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host.strip("[]"), int(port)), HANDSHAKE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection = Connection(sock, address)
    try:
        challenge = read_envelope(state, connection, MAX_HANDSHAKE_BYTES)
        own = os.urandom(CHALLENGE_BYTES)
        connection.challenges = challenge.body + own
        hello = Envelope("hello", 0, state.incarnation, own, b"", False)
        send(state, connection, hello)
    except BaseException:
        release(connection)
        raise
    sock.settimeout(None)
    return connection


def accept_connection(state, connection):
    """Exchange challenges with a host that connected, and learn who it is."""
    sock = connection.sock
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(HANDSHAKE_SECONDS)
    connection.outgoing = TO_CALLER
    own = os.urandom(CHALLENGE_BYTES)
    write_envelope(state, connection, Envelope("challenge", 0, "", own, b"", False))
    hello = read_envelope(state, connection, MAX_HANDSHAKE_BYTES)
    connection.challenges = own + hello.body
    tag = compute_tag(state, connection, TO_LISTENER, 0, hello)
    if hello.method != "hello" or not hmac.compare_digest(tag, hello.tag):
        raise ValueError("the tag does not fit the fleet's secret")
    connection.received = 1
    connection.sender = hello.sender
    sock.settimeout(LISTENER_IDLE_SECONDS)

"""Transport between hosts: gossip over UDP, documents over HTTP."""

import logging

from eventlet.green import socket
from returns.result import Failure, Result
from urllib3.exceptions import HTTPError

from trefoilpin import events
from trefoilpin.bounded_reads import read_body
from trefoilpin.gateway.fleet import compression, gossip_codecs
from trefoilpin.gateway.fleet.messages import Document
from trefoilpin.strict_responses import create_pool_manager

__all__ = ["QUEUE_CHECK_INTERVAL_SECONDS", "create_fetch", "open_datagrams"]

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 65_507
# Period of the check whether the receive queue is empty.
QUEUE_CHECK_INTERVAL_SECONDS = 0.1
FETCH_TIMEOUT_SECONDS = 1.0
# A document with what its sender retains, and their names and numbers.
MAX_FETCHED_BYTES = 2 * gossip_codecs.MAX_DOCUMENT_BYTES + 65_536
# Hosts in other zones, several times those of the planned fleet.
MAX_REMEMBERED_ADDRESSES = 4096


def open_datagrams(kernel, address, port, is_other_zone=lambda address: False):
    """Open the socket for gossip messages.

    Datagrams to other zones are compressed, as traffic between zones costs, once the
    receiver has said that it can read them.

    Parameters
    ----------
    kernel : Kernel
    address : str
        IP address of this host.
    port : int
        The same on every host.
    is_other_zone : callable, optional
        Tells whether an address is that of a host in another zone.

    Returns
    -------
    tuple of callable
        ``send(address, message)``, which returns the size of the datagram in bytes,
        ``receive_forever(receive)``, and ``check_queue()``, which has to be called
        periodically.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((address, port))
    metrics = kernel.find("metrics")
    emit = kernel.find("events").emit
    now = kernel.clock.now
    empty_at = now()
    compressing_addresses: set[str] = set()

    def check_queue():
        """Record when the receive queue is empty; later messages arrived after that.

        A host that was suspended or overloaded would otherwise treat messages that
        waited meanwhile as new.
        """
        nonlocal empty_at
        if is_empty(sock):
            empty_at = now()

    def send(target, message):
        data = gossip_codecs.encode(message)
        if is_other_zone(target):
            if target in compressing_addresses:
                data = compression.compress(data)
            metrics.count("bulletin_bytes_to_other_zones", len(data))
        metrics.count("bulletin_bytes_sent", len(data))
        metrics.count("bulletins_sent")
        try:
            sock.sendto(data, (target, port))
        except OSError as error:
            metrics.count("bulletins_not_sent")
            logger.debug("gossip message to %s not sent: %s", target, error)
        return len(data)

    def receive_forever(receive):
        while True:
            check_queue()
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                logger.debug("no gossip message received: %s", error)
                continue
            metrics.count("bulletin_bytes_received", len(data))
            decoded = compression.expand(data).bind(gossip_codecs.decode)
            if isinstance(decoded, Failure):
                metrics.count("bulletins_malformed")
                detail = decoded.failure()
                emit(events.GOSSIP_MALFORMED, host=source[0], detail=detail)
                continue
            message = decoded.unwrap()
            remember_format(source[0], message)
            receive(source[0], message, now() - empty_at)

    def remember_format(source, message):
        if not message.reads_compressed:
            compressing_addresses.discard(source)
        elif len(compressing_addresses) < MAX_REMEMBERED_ADDRESSES:
            compressing_addresses.add(source)

    return send, receive_forever, check_queue


def is_empty(sock):
    """Tell whether the receive queue of a socket is empty."""
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError as error:
        logger.debug("cannot read from the gossip socket: %s", error)
    return False


def create_fetch(port):
    """Return the function that fetches a document from another host.

    Parameters
    ----------
    port : int
        Port of the control listener, the same on every host.
    """
    manager = create_pool_manager(maxsize=1, retries=False)

    def fetch(address, kind, base) -> Result[Document, str]:
        try:
            response = manager.request(
                "GET",
                f"http://{address}:{port}/documents/{kind}?base={base}",
                timeout=FETCH_TIMEOUT_SECONDS,
                headers={"Connection": "close"},
                preload_content=False,
            )
            data = read_body(response, MAX_FETCHED_BYTES)
        except (HTTPError, OSError) as error:
            return Failure(f"{type(error).__name__}: {error}")
        if response.status != 200:
            return Failure(f"the host answered with status {response.status}")
        return data.bind(gossip_codecs.decode_document)

    return fetch

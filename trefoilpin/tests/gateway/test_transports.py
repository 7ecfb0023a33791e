"""Datagrams between hosts, over the loopback interface."""

import socket

import eventlet
import pytest
from returns.result import Failure

from trefoilpin import events
from trefoilpin.fakes.free_ports import find_free_ports
from trefoilpin.fakes.gateways import create_document_cache, create_host
from trefoilpin.gateway.fleet import compression, gossip_codecs, transports
from trefoilpin.gateway.fleet.messages import GossipMessage, MemberRecord, aged
from trefoilpin.gateway.store.document_cache import CONFIGURATION, DocumentVersion

HOST = "127.0.0.77"
EMPTY = GossipMessage(
    incarnation=1,
    sequence=1,
    zone="a",
    region="r",
    capacity=1.0,
    load=0.0,
    is_stopping=False,
    is_serving=False,
    wants_reply=False,
    sends_regularly=True,
    configuration_age=0.25,
    versions=(DocumentVersion(CONFIGURATION, 7, 1, 0.25, 12.5),),
    members=(MemberRecord("10.0.0.1", "a", 1, 0.5, 1.0, 0.0, False, False, 0.25),),
    outcomes=(),
    in_flight_by_upstream={},
    admitted_by_account={},
    documents=(),
    broken_requests=(),
)


def find_port():
    (port,) = find_free_ports((HOST,), 1)
    return port


@pytest.fixture
def opened():
    kernel, clock, _ = create_host()
    port = find_port()
    return transports.open_datagrams(kernel, HOST, port), clock


def read_one(receive_forever):
    """Return the sender's address, the gossip message and its waiting time."""
    found = []

    def receive(*arguments):
        found.extend(arguments)
        raise StopIteration

    with pytest.raises(StopIteration):
        receive_forever(receive)
    return found


def test_message_read_after_a_suspension_counts_the_suspension_as_waiting_time(opened):
    (send, receive_forever, check_queue), clock = opened
    check_queue()
    send(HOST, EMPTY)
    clock.time += 4.0
    check_queue()
    address, message, waited = read_one(receive_forever)
    assert address == HOST and message == EMPTY
    assert waited == pytest.approx(4.0)


def test_waiting_time_counts_from_the_last_check_that_found_the_queue_empty(opened):
    (send, receive_forever, check_queue), clock = opened
    clock.time += 9.0
    check_queue()
    clock.time += 0.05
    assert send(HOST, EMPTY) == len(gossip_codecs.encode(EMPTY))
    assert read_one(receive_forever)[2] == pytest.approx(0.05)


def test_message_that_waited_does_not_make_a_document_fresh():
    kernel, clock, _ = create_host()
    document_cache, put = create_document_cache(kernel)
    put(CONFIGURATION, 7, "one")
    clock.time += 4.5
    received = document_cache.version(CONFIGURATION)._replace(age=0.25)
    aged_message = aged(EMPTY._replace(versions=(received,)), 4.0)
    document_cache.confirm(aged_message.versions[0])
    assert document_cache.age(CONFIGURATION) == pytest.approx(4.25)
    assert aged_message.members[0].age == pytest.approx(4.5)
    assert aged_message.configuration_age == pytest.approx(4.25)


def exchange_with_itself(is_other_zone, message):
    """Send a message twice to the own address; return both sizes and what arrived."""
    kernel, _, _ = create_host()
    send, receive_forever, _ = transports.open_datagrams(
        kernel, HOST, find_port(), is_other_zone
    )
    sizes, received = [], []
    for _ in range(2):
        sizes.append(send(HOST, message))
        received.append(read_one(receive_forever)[1])
    return sizes, received


def test_datagrams_to_other_zones_are_compressed_once_the_receiver_reads_them():
    """Guards against bytes between zones, and against hosts of an earlier version."""
    accounts = {f"account-{number}": number for number in range(40)}
    message = EMPTY._replace(admitted_by_account=accounts, reads_compressed=True)
    sizes, received = exchange_with_itself(lambda address: True, message)
    assert received == [message, message]
    assert sizes[1] < sizes[0] / 2
    old = message._replace(reads_compressed=False)
    sizes, received = exchange_with_itself(lambda address: True, old)
    assert received == [old, old]
    assert sizes[1] == sizes[0]


def test_datagrams_within_a_zone_are_not_compressed():
    message = EMPTY._replace(reads_compressed=True)
    sizes, _ = exchange_with_itself(lambda address: False, message)
    assert sizes[1] == sizes[0]


@pytest.mark.parametrize(
    "data",
    [
        b"x",
        compression.compress(b"a" * 100)[:-6],
        compression.compress(bytes(compression.MAX_EXPANDED_BYTES + 1)),
    ],
)
def test_malformed_compressed_datagram_is_rejected(data):
    """Guards against datagrams that expand without bound or end early."""
    expanded = compression.expand(data)
    assert isinstance(expanded.bind(gossip_codecs.decode), Failure)


def test_malformed_messages_are_events_with_a_limit():
    """Guards against a log line for each message that a faulty host sends."""
    kernel, _, lines = create_host()
    port = find_port()
    send, receive_forever, _ = transports.open_datagrams(kernel, HOST, port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"odd", (HOST, port))
    send(HOST, EMPTY)
    assert read_one(receive_forever)[1] == EMPTY
    assert [event for event, _ in lines] == [events.GOSSIP_MALFORMED]
    assert events.GOSSIP_MALFORMED.limited


@pytest.mark.parametrize("declares_length", [True, False])
def test_a_fetched_answer_without_end_is_given_up(monkeypatch, declares_length):
    """Guards against a faulty host that fills the memory of others."""
    monkeypatch.setattr(transports, "MAX_FETCHED_BYTES", 100_000)
    listener = eventlet.listen((HOST, 0))
    sent = []

    def serve():
        sock, _ = listener.accept()
        sock.recv(65_536)
        length = "Content-Length: 900000000\r\n" if declares_length else ""
        sock.sendall(f"HTTP/1.1 200 OK\r\n{length}\r\n".encode())
        try:
            while len(sent) < 1000:
                sock.sendall(b"x" * 65_536)
                sent.append(1)
        except OSError:
            sock.close()

    eventlet.spawn(serve)
    fetch = transports.create_fetch(listener.getsockname()[1])
    outcome = fetch(HOST, CONFIGURATION, 0)
    assert "longer than 100000" in outcome.failure()
    eventlet.sleep(0.2)
    assert len(sent) < 500

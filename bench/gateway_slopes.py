"""Bytes and processor time of what grows with the fleet, at three sizes.

The slopes are carried to the planned size in ``docs/CAPACITY.md``.
"""

import time

from bench.results import Result, finish
from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    table,
    upstream,
)
from trefoilpin.gateway import gossip_codecs, upstreams
from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS, DocumentVersion
from trefoilpin.gateway.documents import CODEC
from trefoilpin.gateway.messages import GossipMessage, MemberRecord
from trefoilpin.gateway.upstream_selection import RetryPolicy

FLEETS = (40, 128, 460)
POOLS = (6, 28, 112)
ROUNDS = 200
MICROSECONDS = 1_000_000
USUAL_SECONDS = 0.2


def time_of(function):
    """Return the processor time of one call in microseconds."""
    started = time.process_time()
    for _ in range(ROUNDS):
        function()
    return (time.process_time() - started) / ROUNDS * MICROSECONDS


def create_gossip_message(members, flights):
    """Return a gossip message on some members with requests at some upstreams."""
    rows = []
    for number in range(members):
        address = f"10.{number // 250}.{number % 250}.7"
        rows.append(
            MemberRecord(
                address, f"z{number % 8}", 17 * 10**11, 0.3, 200.0, 9.0, 0, 1, 0.4
            )
        )
    return GossipMessage(
        incarnation=17 * 10**11,
        sequence=1,
        zone="zone-a",
        region="region",
        capacity=200.0,
        load=30.0,
        is_stopping=False,
        is_serving=True,
        wants_reply=False,
        sends_regularly=True,
        configuration_age=0.4,
        versions=tuple(
            DocumentVersion(kind, 5, 6, 0.4) for kind in (CONFIGURATION, UPSTREAMS)
        ),
        members=tuple(rows),
        outcomes=(),
        in_flight_by_upstream={f"i-{n:08x}": 2 for n in range(flights)},
        admitted_by_account={f"account{n}": 1000 for n in range(8)},
        documents=(),
        broken_requests=(),
    )


def measure_bulletins():
    """Yield bytes and times of gossip messages."""
    for members in FLEETS:
        message = create_gossip_message(members, 0)
        data = gossip_codecs.encode(message)
        name = f"gateway_slopes.view_of_{members}"
        yield Result(f"{name}.bytes", len(data), "B")
        gossip_codecs.encode(message)
        again = time_of(lambda: gossip_codecs.encode(message))
        yield Result(f"{name}.encode_again", round(again), "us")
        decode = time_of(lambda: gossip_codecs.decode(data))
        yield Result(f"{name}.decode", round(decode), "us")
    message = create_gossip_message(0, 12)
    data = gossip_codecs.encode(message)
    yield Result("gateway_slopes.mesh.bytes", len(data), "B")
    both = time_of(lambda: gossip_codecs.decode(gossip_codecs.encode(message)))
    yield Result("gateway_slopes.mesh.encode_and_decode", round(both), "us")


def measure_choices():
    """Yield the time of a choice and the size of the document by upstreams."""
    for count in POOLS:
        kernel, _, _ = create_host()
        _, put = create_document_cache(kernel)
        service = upstreams.create(kernel, "a", lambda: 6)
        put(CONFIGURATION, 1, configuration())
        entries = [upstream(number, slots=6) for number in range(1, count + 1)]
        put(UPSTREAMS, 1, table(*entries))
        retry_policy = RetryPolicy(False, False)

        def choose():
            choice = service.choose(
                "p", frozenset(), retry_policy, USUAL_SECONDS
            ).unwrap()
            service.release(choice, None, USUAL_SECONDS)

        name = f"gateway_slopes.pool_of_{count}"
        yield Result(f"{name}.choose", round(time_of(choose)), "us")
        rows = {}
        for entry in entries:
            content = dict(zip(entry._fields, map(str, entry)))
            rows[entry.id] = CODEC.encode_content(content)
        size = len(CODEC.encode_rows(rows))
        yield Result(f"{name}.document", size, "B")


def main():
    """Report the slopes."""
    finish([*measure_bulletins(), *measure_choices()])


if __name__ == "__main__":
    main()

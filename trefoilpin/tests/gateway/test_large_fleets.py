"""Hosts in the number of the larger deployments agree on who runs and who does what.

The pattern: all start together, each at its own pace afterwards, with a datagram in a
hundred lost. Where views differ, many hosts take themselves for readers or relays.
"""

import random

import pytest

from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings
from trefoilpin.gateway import members
from trefoilpin.gateway.document_cache import CONFIGURATION, ZONES_OUT

HOSTS = 128
ZONES = "abc"
SETTLING_SECONDS = 6.0
WATCHED_SECONDS = 5.0
SAMPLE_SECONDS = 0.5


@pytest.fixture(scope="module")
def settled():
    """Return a fleet some seconds after its start."""
    fleet = Fleet(FleetSettings(lost=0.01))
    for number in range(1, HOSTS + 1):
        fleet.start(number, ZONES[number % len(ZONES)])
    fleet.run(0.1)
    fleet.nodes["10.0.0.1"].put(CONFIGURATION, 1, "first")
    fleet.run(SETTLING_SECONDS)
    return fleet


def test_every_host_knows_all_that_run_all_the_time(settled):
    least = HOSTS
    for _ in range(int(WATCHED_SECONDS / SAMPLE_SECONDS)):
        settled.run(SAMPLE_SECONDS)
        for node in settled.nodes.values():
            least = min(least, len(node.members.live()))
    assert least == HOSTS


def test_one_host_reads_and_two_of_each_zone_relay(settled):
    for _ in range(int(WATCHED_SECONDS / SAMPLE_SECONDS)):
        settled.run(SAMPLE_SECONDS)
        ranks = [node.gossip.reader_rank() for node in settled.nodes.values()]
        assert ranks.count(0) == 1
        for zone in ZONES:
            views = set()
            for node in settled.nodes.values():
                rows = node.members.relays(zone)
                views.add(tuple(row.address for row in rows))
            assert len(views) == 1
            assert len(views.pop()) == members.RELAYS_PER_ZONE


def test_a_change_of_a_large_document_reaches_all_at_once_and_unfetched(settled):
    """An upstream of 300 leaves; relays have small links, and must not send it all."""
    rng = random.Random(3)
    rows = {f"u{number}": f"{rng.getrandbits(256)}" for number in range(300)}
    reader = next(
        node for node in settled.nodes.values() if node.gossip.reader_rank() == 0
    )
    first = rows | {"value": "all"}
    for revision, content in ((7, first), (8, first | {"u9": "", "value": "left"})):
        reader.document_cache.apply_document(ZONES_OUT, revision, content, 0.0, "store")
        before = settled.fetch_count
        settled.run(3.0 if revision == 7 else 1.2)
    assert settled.fetch_count - before <= len(settled.nodes) // 20
    for node in settled.nodes.values():
        assert node.document_cache.value(ZONES_OUT) == "left"


def test_a_relay_that_died_is_replaced_for_all_within_three_seconds(settled):
    gone = next(iter(settled.nodes.values())).members.relays("b")[0].address
    settled.kill(gone)
    settled.run(3.0)
    for node in settled.nodes.values():
        assert gone not in [row.address for row in node.members.relays("b")]

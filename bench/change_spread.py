"""How long a change of one row takes to be in force everywhere, and what it costs.

Hosts of the gateway as they are, on a movable clock, with links of 10 Mbit/s, a reader
that lists the store and a configuration of 300 rows. Reported for each size of fleet:
seconds from the store's answer to the operators, and from the first host, to the last
host, and what the change adds to the bytes that the busiest host sends.
"""

import random
import statistics

from bench.results import Result, finish
from trefoilpin import events
from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings, Link, StoreContent
from trefoilpin.gateway.document_cache import CONFIGURATION

SIZES = (40, 128, 300)
ZONES = "abc"
ROWS = 300
LINK = Link(1_250_000.0, 32_768)
SETTLING_SECONDS = 5.0
WATCHED_SECONDS = 2.0
CHANGES = 5
START_SPREAD_SECONDS = 0.3
# The strictest bound of the deployments.
APPLY_SECONDS = 2.0
# A change must not fill a link for longer than a tenth of a second.
LINK_BYTES = LINK.rate / 10


def start(size):
    """Return a fleet that runs, and what its store holds."""
    rng = random.Random(size)
    content = StoreContent()
    for number in range(ROWS):
        content.put(CONFIGURATION, f"row{number}", f"{rng.getrandbits(256):x}")
    content.put(CONFIGURATION, "value", 0)
    fleet = Fleet(FleetSettings(LINK, seed=size), content)
    for number in range(1, size + 1):
        seconds = rng.random() * START_SPREAD_SECONDS
        fleet.start_late(seconds, number, ZONES[number % len(ZONES)])
    fleet.run(SETTLING_SECONDS)
    return fleet, content


def bytes_sent(fleet):
    """Return the bytes that each host has sent, and sends in the time watched."""
    before = {node.address: node.sent_bytes for node in fleet.nodes.values()}
    fleet.run(WATCHED_SECONDS)
    return {
        node.address: node.sent_bytes - before[node.address]
        for node in fleet.nodes.values()
    }


def taken_at(node, since):
    """Return when a host took a configuration after a time."""
    for at, event, fields in node.lines:
        is_change = event is events.KNOWLEDGE_CHANGED and at > since
        if is_change and fields["kind"] == CONFIGURATION:
            return at
    return float("inf")


def measure(size):
    """Yield the figures of one size."""
    fleet, content = start(size)
    idle = bytes_sent(fleet)
    whole, spread, extra = [], [], []
    for number in range(1, CHANGES + 1):
        changed_at = fleet.now()
        content.put(CONFIGURATION, f"row{number}", "changed")
        content.put(CONFIGURATION, "value", number)
        sent = bytes_sent(fleet)
        times = sorted(taken_at(node, changed_at) for node in fleet.nodes.values())
        whole.append(times[-1] - changed_at)
        spread.append(times[-1] - times[0])
        extra.append(max(sent.values()) - max(idle.values()))
    name = f"change_spread.hosts_{size}"
    yield Result(f"{name}.last_host", round(max(whole), 3), "s", APPLY_SECONDS)
    yield Result(f"{name}.spread", round(statistics.median(spread), 3), "s")
    yield Result(f"{name}.busiest_link", max(extra), "B", LINK_BYTES)
    yield Result(
        f"{name}.idle_link", round(max(idle.values()) / WATCHED_SECONDS), "B/s"
    )


def main():
    """Report every size."""
    finish([result for size in SIZES for result in measure(size)])


if __name__ == "__main__":
    main()

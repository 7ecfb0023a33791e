"""Hosts that lost those who tell them learn of changes in time, and ask rarely in vain.

The pattern: relays, or half of the fleet, die in the moment in which operators change
something. What the others know may be no older than the strictest bound of the
deployments.
"""

import pytest

from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings, StoreContent
from trefoilpin.gateway import store_readers
from trefoilpin.gateway.document_cache import CONFIGURATION

HOSTS = 60
ZONES = "abc"
SETTLING_SECONDS = 4.0
APPLY_SECONDS = 2.0
OUTAGE_SECONDS = 5.0


def start(seed=5, lost=0.0):
    content = StoreContent()
    content.put(CONFIGURATION, "value", {"version": 1})
    fleet = Fleet(FleetSettings(lost=lost, seed=seed), content)
    for number in range(1, HOSTS + 1):
        seconds = fleet.rng.random() * 0.3
        fleet.start_late(seconds, number, ZONES[number % len(ZONES)])
    fleet.run(SETTLING_SECONDS)
    return fleet, content


def relays_of(fleet, zones):
    some = next(iter(fleet.nodes.values()))
    return [row.address for zone in zones for row in some.members.relays(zone)]


@pytest.mark.parametrize("seed", [5, 6, 7])
@pytest.mark.parametrize("victims", ["b", "bc", "abc", "half"])
def test_a_change_is_known_in_time_where_those_died_who_would_tell(victims, seed):
    fleet, content = start(seed)
    if victims == "half":
        dead = fleet.rng.sample(sorted(fleet.nodes), HOSTS // 2)
    else:
        dead = relays_of(fleet, victims)
    for address in dead:
        fleet.kill(address)
    content.put(CONFIGURATION, "value", {"version": 2})
    fleet.run(APPLY_SECONDS)
    values = {node.document_cache.value(CONFIGURATION) for node in fleet.nodes.values()}
    assert values == {'{"version":2}'}


@pytest.mark.parametrize("lost", [0.0, 0.01])
def test_no_host_reads_by_itself_or_asks_while_the_reader_and_relays_live(lost):
    fleet, content = start(lost=lost)
    before, calls = fleet.fetch_count, content.calls
    fleet.run(10.0)
    # A host asks when a message of each of its two relays is lost in a row, of 25 in
    # ten seconds; twice as often is allowed.
    assert fleet.fetch_count - before <= 2 * HOSTS * 25 * (2 * lost) ** 2
    period = store_readers.SETTINGS_BY_KIND[CONFIGURATION].period
    # Three kinds, the third less often, with the shortest pauses.
    assert content.calls - calls <= 10.0 / period / 0.75 * 2.5


def test_in_an_outage_of_the_store_hosts_that_are_told_ask_nobody():
    fleet, content = start()
    before = fleet.fetch_count
    content.is_down = True
    fleet.run(OUTAGE_SECONDS)
    assert fleet.fetch_count == before


def test_hosts_whose_relays_died_in_an_outage_ask_ever_more_rarely():
    fleet, content = start()
    content.is_down = True
    for address in relays_of(fleet, ZONES):
        fleet.kill(address)
    before = fleet.fetch_count
    fleet.run(OUTAGE_SECONDS)
    # Two kinds at 0.2, 0.4, 0.8 and 1.6 s, the third later.
    assert fleet.fetch_count - before <= len(fleet.nodes) * 3 * 5

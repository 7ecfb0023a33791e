"""No unit is held twice or lost in crashes, pauses, store outages and shutdowns."""

import pytest

from trefoilpin.fakes.limit_fleets import (
    crash,
    create_limit_fleet,
    hand_over,
    set_absent,
    thaw,
)
from trefoilpin.limit_messages import LimitDurations, UnitsRequest

DURATIONS = LimitDurations(holding_seconds=4.0)
HOSTS = 6
UNITS = 12


@pytest.fixture
def fleet():
    fleet = create_limit_fleet(1, HOSTS, (), DURATIONS, UNITS, 4)
    run(fleet, 15.0)
    return fleet


def run(fleet, seconds):
    """Advance the clock in steps; check that hosts hold no more than all units."""
    until = fleet.loop.now + seconds
    while fleet.loop.now < until:
        fleet.tasks.run(min(fleet.loop.now + 0.1, until))
        assert sum(held(fleet).values()) <= UNITS


def held(fleet):
    """Return the units in use by each running host."""
    running = set(fleet.host_by_incarnation) - fleet.loop.dead
    return {name: unit_holdings(fleet, name).units() for name in running}


def unit_holdings(fleet, name):
    return fleet.host_by_incarnation[name].kernel.find("unit_holdings")


def ledger(fleet):
    return fleet.objects.state.row_by_path["limits/ledger"]["value"]["units"]


def any_holder(fleet):
    return sorted(ledger(fleet))[0]


def set_store(fleet, is_down):
    for host in fleet.host_by_incarnation.values():
        host.faults.down = is_down


def test_units_are_shared_equally_by_the_holders(fleet):
    assert sorted(ledger(fleet).values()) == [3, 3, 3, 3]
    assert sum(held(fleet).values()) == UNITS


def test_stable_fleet_does_not_write_the_ledger(fleet):
    writes = fleet.objects.state.calls_by_kind["write"]
    run(fleet, 60.0)
    assert fleet.objects.state.calls_by_kind["write"] == writes


def test_units_of_a_crashed_holder_are_released_after_the_delay(fleet):
    absent = any_holder(fleet)
    crash(fleet, absent, 1.0)
    run(fleet, DURATIONS.release_delay_seconds - 1.0)
    assert absent in ledger(fleet)
    run(fleet, 10.0)
    assert absent not in ledger(fleet)
    assert sum(held(fleet).values()) == UNITS


def test_paused_holder_does_not_use_released_units_on_resume(fleet):
    paused = any_holder(fleet)
    fleet.loop.frozen.add(paused)
    set_absent(fleet, paused, True)
    run(fleet, DURATIONS.release_delay_seconds + 10.0)
    assert unit_holdings(fleet, paused).units() == 0
    fleet.host_by_incarnation[paused].faults.down = True
    thaw(fleet, paused)
    run(fleet, 10.0)
    assert unit_holdings(fleet, paused).units() == 0


def test_running_holder_that_appears_absent_keeps_its_units(fleet):
    name = any_holder(fleet)
    set_absent(fleet, name, True)
    run(fleet, DURATIONS.release_delay_seconds * 3)
    assert ledger(fleet)[name] == 3


def test_holder_stops_when_only_it_cannot_reach_the_store(fleet):
    name = any_holder(fleet)
    fleet.host_by_incarnation[name].faults.down = True
    run(fleet, DURATIONS.holding_seconds + 1.0)
    assert unit_holdings(fleet, name).units() == 0


def test_units_stay_valid_in_a_store_outage_of_an_hour(fleet):
    held_before = held(fleet)
    set_store(fleet, True)
    fleet.tasks.run(fleet.loop.now + 3600.0)
    assert held(fleet) == held_before
    set_store(fleet, False)
    run(fleet, 10.0)
    assert held(fleet) == held_before


def test_units_expire_in_a_store_outage_without_a_majority(fleet):
    name = any_holder(fleet)
    set_store(fleet, True)
    fleet.host_by_incarnation[name].view.has_majority = False
    run(fleet, DURATIONS.holding_seconds + 1.0)
    assert unit_holdings(fleet, name).units() == 0


def test_no_units_are_released_during_a_store_outage(fleet):
    absent = any_holder(fleet)
    crash(fleet, absent, 0.1)
    run(fleet, 3.0)
    set_store(fleet, True)
    run(fleet, DURATIONS.release_delay_seconds * 2)
    set_store(fleet, False)
    run(fleet, DURATIONS.release_delay_seconds - 3.0)
    assert absent in ledger(fleet)


def test_units_are_handed_over_during_a_store_outage(fleet):
    leaving = any_holder(fleet)
    successor = next(name for name in held(fleet) if name not in ledger(fleet))
    set_store(fleet, True)
    hand_over(fleet, leaving, successor)
    run(fleet, DURATIONS.loan_lapse_seconds - 0.2)
    assert unit_holdings(fleet, successor).units() == 0
    run(fleet, 0.5)
    assert unit_holdings(fleet, successor).units() == 3
    set_store(fleet, False)
    run(fleet, 10.0)
    assert ledger(fleet)[successor] == 3 and leaving not in ledger(fleet)


def test_units_are_released_on_shutdown_without_a_successor(fleet):
    leaving = any_holder(fleet)
    results = []
    service = unit_holdings(fleet, leaving)
    fleet.tasks.spawn(leaving, lambda: results.append(service.hand_over(None)))
    run(fleet, DURATIONS.loan_lapse_seconds - 0.1)
    assert leaving in ledger(fleet) and service.units() == 0
    run(fleet, 0.2)
    assert leaving not in ledger(fleet) and results == [True]


@pytest.mark.parametrize("is_fetched", [False, True])
def test_units_are_transferred_to_one_successor_only(fleet, is_fetched):
    leaving = any_holder(fleet)
    first, second = [name for name in held(fleet) if name not in ledger(fleet)]
    hosts = fleet.host_by_incarnation
    hand_over_results = []

    def shut_down():
        service = unit_holdings(fleet, leaving)
        fleet.loop.cut_pairs.add((first, leaving))
        hand_over_results.append(service.hand_over(hosts[first].host))
        fleet.loop.cut_pairs.clear()
        if is_fetched:
            handlers = fleet.loop.handler_by_method_by_address[leaving]
            assert handlers["give_units"](second, UnitsRequest(1)).entries == ()
            assert handlers["give_units"](first, UnitsRequest(1)).entries != ()
        hand_over_results.append(service.hand_over(hosts[second].host))

    fleet.tasks.spawn(leaving, shut_down)
    run(fleet, 5.0)
    assert hand_over_results == [False, True]
    receiver, non_receiver = (first, second) if is_fetched else (second, first)
    assert unit_holdings(fleet, receiver).units() == 3
    assert unit_holdings(fleet, non_receiver).units() == 0


@pytest.mark.parametrize("seed", range(3))
def test_lost_replies_of_the_store_lose_no_units(seed):
    fleet = create_limit_fleet(seed, HOSTS, (), DURATIONS, UNITS, 4)
    for host in fleet.host_by_incarnation.values():
        host.faults.lose_share = 0.4
    run(fleet, 40.0)
    assert sum(ledger(fleet).values()) == UNITS


def test_expired_transferred_units_do_not_affect_the_successors_own(fleet):
    leaving, successor = sorted(ledger(fleet))[:2]
    set_store(fleet, True)
    fleet.host_by_incarnation[leaving].view.has_majority = False
    run(fleet, DURATIONS.holding_seconds + 1.0)
    assert unit_holdings(fleet, leaving).units() == 0
    hand_over(fleet, leaving, successor)
    run(fleet, DURATIONS.loan_lapse_seconds + 1.0)
    assert unit_holdings(fleet, successor).units() == 3
    set_store(fleet, False)
    run(fleet, 10.0)
    assert sum(held(fleet).values()) == UNITS

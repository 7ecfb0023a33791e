"""Units are conserved through crashes, pauses, outages and planned stops."""

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
    """Move the time in steps and check that no unit is held twice."""
    until = fleet.loop.now + seconds
    while fleet.loop.now < until:
        fleet.tasks.run(min(fleet.loop.now + 0.1, until))
        assert sum(held(fleet).values()) <= UNITS


def held(fleet):
    """Return the units that each host believes it may use."""
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


def test_units_spread_over_the_wanted_holders(fleet):
    assert sorted(ledger(fleet).values()) == [3, 3, 3, 3]
    assert sum(held(fleet).values()) == UNITS


def test_a_quiet_fleet_writes_nothing(fleet):
    writes = fleet.objects.state.calls_by_kind["write"]
    run(fleet, 60.0)
    assert fleet.objects.state.calls_by_kind["write"] == writes


def test_units_of_a_crashed_holder_return_after_the_grace(fleet):
    gone = any_holder(fleet)
    crash(fleet, gone, 1.0)
    run(fleet, DURATIONS.release_delay_seconds - 1.0)
    assert gone in ledger(fleet)
    run(fleet, 10.0)
    assert gone not in ledger(fleet)
    assert sum(held(fleet).values()) == UNITS


def test_a_paused_holder_that_wakes_up_uses_nothing_it_lost(fleet):
    paused = any_holder(fleet)
    fleet.loop.frozen.add(paused)
    set_absent(fleet, paused, True)
    run(fleet, DURATIONS.release_delay_seconds + 10.0)
    assert unit_holdings(fleet, paused).units() == 0
    fleet.host_by_incarnation[paused].faults.down = True
    thaw(fleet, paused)
    run(fleet, 10.0)
    assert unit_holdings(fleet, paused).units() == 0


def test_a_holder_that_only_seemed_gone_keeps_its_units(fleet):
    name = any_holder(fleet)
    set_absent(fleet, name, True)
    run(fleet, DURATIONS.release_delay_seconds * 3)
    assert ledger(fleet)[name] == 3


def test_a_holder_cut_off_from_the_store_stops_while_others_reach_it(fleet):
    name = any_holder(fleet)
    fleet.host_by_incarnation[name].faults.down = True
    run(fleet, DURATIONS.holding_seconds + 1.0)
    assert unit_holdings(fleet, name).units() == 0


def test_an_hour_without_the_store_changes_nothing(fleet):
    before = held(fleet)
    set_store(fleet, True)
    fleet.tasks.run(fleet.loop.now + 3600.0)
    assert held(fleet) == before
    set_store(fleet, False)
    run(fleet, 10.0)
    assert held(fleet) == before


def test_without_a_majority_the_time_runs_out_in_an_outage(fleet):
    name = any_holder(fleet)
    set_store(fleet, True)
    fleet.host_by_incarnation[name].view.has_majority = False
    run(fleet, DURATIONS.holding_seconds + 1.0)
    assert unit_holdings(fleet, name).units() == 0


def test_no_units_are_freed_during_an_outage(fleet):
    gone = any_holder(fleet)
    crash(fleet, gone, 0.1)
    run(fleet, 3.0)
    set_store(fleet, True)
    run(fleet, DURATIONS.release_delay_seconds * 2)
    set_store(fleet, False)
    run(fleet, DURATIONS.release_delay_seconds - 3.0)
    assert gone in ledger(fleet)


def test_a_leaver_hands_its_units_over_without_the_store(fleet):
    leaver = any_holder(fleet)
    successor = next(name for name in held(fleet) if name not in ledger(fleet))
    set_store(fleet, True)
    hand_over(fleet, leaver, successor)
    run(fleet, DURATIONS.loan_lapse_seconds - 0.2)
    assert unit_holdings(fleet, successor).units() == 0
    run(fleet, 0.5)
    assert unit_holdings(fleet, successor).units() == 3
    set_store(fleet, False)
    run(fleet, 10.0)
    assert ledger(fleet)[successor] == 3 and leaver not in ledger(fleet)


def test_a_leaver_without_a_successor_frees_its_units(fleet):
    leaver = any_holder(fleet)
    done = []
    service = unit_holdings(fleet, leaver)
    fleet.tasks.spawn(leaver, lambda: done.append(service.hand_over(None)))
    run(fleet, DURATIONS.loan_lapse_seconds - 0.1)
    assert leaver in ledger(fleet) and service.units() == 0
    run(fleet, 0.2)
    assert leaver not in ledger(fleet) and done == [True]


@pytest.mark.parametrize("fetched", [False, True])
def test_units_go_to_one_successor_alone(fleet, fetched):
    leaver = any_holder(fleet)
    one, other = [name for name in held(fleet) if name not in ledger(fleet)]
    hosts = fleet.host_by_incarnation
    given = []

    def stop():
        service = unit_holdings(fleet, leaver)
        fleet.loop.cut_pairs.add((one, leaver))
        given.append(service.hand_over(hosts[one].host))
        fleet.loop.cut_pairs.clear()
        if fetched:
            handlers = fleet.loop.handler_by_method_by_address[leaver]
            assert handlers["give_units"](other, UnitsRequest(1)).entries == ()
            assert handlers["give_units"](one, UnitsRequest(1)).entries != ()
        given.append(service.hand_over(hosts[other].host))

    fleet.tasks.spawn(leaver, stop)
    run(fleet, 5.0)
    assert given == [False, True]
    has, lacks = (one, other) if fetched else (other, one)
    assert unit_holdings(fleet, has).units() == 3
    assert unit_holdings(fleet, lacks).units() == 0


@pytest.mark.parametrize("seed", range(3))
def test_lost_answers_of_the_store_cost_no_unit(seed):
    fleet = create_limit_fleet(seed, HOSTS, (), DURATIONS, UNITS, 4)
    for host in fleet.host_by_incarnation.values():
        host.faults.lose_share = 0.4
    run(fleet, 40.0)
    assert sum(ledger(fleet).values()) == UNITS


def test_units_that_lapsed_leave_a_successors_own_ones_alone(fleet):
    leaver, successor = sorted(ledger(fleet))[:2]
    set_store(fleet, True)
    fleet.host_by_incarnation[leaver].view.has_majority = False
    run(fleet, DURATIONS.holding_seconds + 1.0)
    assert unit_holdings(fleet, leaver).units() == 0
    hand_over(fleet, leaver, successor)
    run(fleet, DURATIONS.loan_lapse_seconds + 1.0)
    assert unit_holdings(fleet, successor).units() == 3
    set_store(fleet, False)
    run(fleet, 10.0)
    assert sum(held(fleet).values()) == UNITS

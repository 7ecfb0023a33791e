"""Grants: never more than the level, however hosts and coordinators disagree."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin.fakes import pools
from trefoilpin.reports import Held, PoolReport


def create(host_count=3, cold=True):
    world = pools.create_world(1, host_count, (pools.make_pool("p", 2, 6, 0),))
    if not cold:
        pools.warm_up(world)
    return world


def coordinator(world):
    first = world.hosts[0].find("memberships").first("pool/p")
    return next(parts for parts in world.hosts if parts.host == first)


def ask(world, sender, wanted, held=()):
    report = PoolReport("p", 0, (), wanted, tuple(held), ())
    return coordinator(world).find("slow_starts").grant(sender, report)


def settle(world):
    pools.run_until(world, world.state.now + 1)


def test_no_grant_before_every_host_gave_up_its_own():
    world = create()
    assert ask(world, "i00", 1) == ()
    settle(world)
    assert sum(item.units for item in ask(world, "i00", 4)) == 2


def test_without_a_majority_there_is_no_grant():
    world = create()
    settle(world)
    coordinator(world).view.has_majority = False
    assert ask(world, "i00", 1) == ()


def test_an_unreachable_host_delays_grants_until_its_own_have_ended():
    world = create()
    other = next(item for item in world.hosts if item is not coordinator(world))
    world.state.dead.add(other.host.peer_address)
    wait = 2 * pools.FRESH_SECONDS + 2.0 + pools.DEADLINE_SECONDS
    pools.run_until(world, world.state.now + wait - 1)
    assert ask(world, "i00", 1) == ()
    pools.run_until(world, world.state.now + 1.5)
    assert ask(world, "i00", 1) != ()


def test_units_of_a_silent_host_stay_lent_until_its_work_must_have_ended():
    world = create()
    settle(world)
    assert len(ask(world, "i00", 2)) == 2
    pools.run_until(world, world.state.now + 11)
    assert ask(world, "i01", 2) == ()
    pools.run_until(world, world.state.now + 2)
    assert len(ask(world, "i01", 2)) == 2


def test_what_still_runs_keeps_its_unit():
    world = create()
    settle(world)
    ask(world, "i00", 2)
    grants = ask(world, "i00", 2, [Held("p0", 1)])
    assert {item.upstream: item.units for item in grants} == {"p0": 1, "p1": 1}
    ask(world, "i00", 0, [Held("p0", 1)])
    assert [item.upstream for item in ask(world, "i01", 2)] == ["p1"]


def test_a_grant_ends_by_the_hosts_clock_from_before_it_asked():
    world = create()
    service = world.hosts[0].find("slow_starts")
    report = PoolReport("p", 0, (), 1, (), ())
    settle(world)
    grants = coordinator(world).find("slow_starts").grant("i00", report)
    service.store_grants("p", grants, world.state.now - 1.5)
    assert service.units("p", grants[0].upstream) == 1
    world.state.now += 0.6
    assert service.units("p", grants[0].upstream) == 0


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("i00", "i01", "i02")),
            st.integers(0, 3),
            st.integers(0, 1),
            st.floats(0, 2),
        ),
        max_size=15,
    )
)
def test_lent_units_never_exceed_the_level(steps):
    world = create()
    settle(world)
    lent_by_host = {}
    for host, wanted, running, pause in steps:
        before = lent_by_host.get(host, (0, 0.0))[0]
        held = [Held("p0", min(running, before))] if running and before else []
        grants = ask(world, host, wanted, held)
        units = sum(item.units for item in grants if item.upstream == "p0")
        units = max(units, sum(item.in_flight for item in held))
        lent_by_host[host] = (units, world.state.now + 2.0 + pools.DEADLINE_SECONDS)
        now = world.state.now
        in_use = sum(units for units, end in lent_by_host.values() if end > now)
        assert in_use <= 1
        world.state.now += pause


@pytest.mark.parametrize("protects", [True, False])
def test_a_new_coordinator_grants_nothing_on_top_of_an_earlier_one(protects):
    world = create()
    settle(world)
    first = coordinator(world)
    host = next(parts for parts in world.hosts if parts is not first)
    third = next(item for item in world.hosts if item not in (first, host))
    health, service = third.find("health"), third.find("slow_starts")
    health.ask("p")
    assert service.units("p", "p0") + service.units("p", "p1") > 0
    for parts in (host, third):
        parts.view.absent.add(first.host.incarnation)
    if not protects:
        missing = first.find("slow_starts").pending_hosts("p")
        assert missing == ()
        host.find("slow_starts").record_surrender(third.host.incarnation, "p", ())
        host.find("slow_starts").record_surrender(first.host.incarnation, "p", ())
    else:
        pools.run_until(world, world.state.now + 1)
        assert service.units("p", "p0") + service.units("p", "p1") == 0
    report = PoolReport("p", 0, (), 2, (), ())
    granted = host.find("slow_starts").grant("i09", report)
    in_use = service.units("p", "p0") + sum(
        item.units for item in granted if item.upstream == "p0"
    )
    assert (in_use <= 1) == protects

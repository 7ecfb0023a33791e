"""Grants never exceed the level, even if hosts disagree about the coordinator."""

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
    return next(services for services in world.hosts if services.host == first)


def request_grants(world, sender, wanted, held=()):
    report = PoolReport("p", 0, (), wanted, tuple(held), ())
    return coordinator(world).find("slow_starts").grant(sender, report)


def run_one_second(world):
    pools.run_until(world, world.state.now + 1)


def test_no_grant_before_every_host_surrendered_its_own():
    world = create()
    assert request_grants(world, "i00", 1) == ()
    run_one_second(world)
    assert sum(item.units for item in request_grants(world, "i00", 4)) == 2


def test_no_grant_without_a_majority():
    world = create()
    run_one_second(world)
    coordinator(world).view.has_majority = False
    assert request_grants(world, "i00", 1) == ()


def test_unreachable_host_delays_grants_until_its_own_have_expired():
    world = create()
    unreachable = next(item for item in world.hosts if item is not coordinator(world))
    world.state.dead.add(unreachable.host.peer_address)
    wait_seconds = 2 * pools.FRESH_SECONDS + 2.0 + pools.DEADLINE_SECONDS
    pools.run_until(world, world.state.now + wait_seconds - 1)
    assert request_grants(world, "i00", 1) == ()
    pools.run_until(world, world.state.now + 1.5)
    assert request_grants(world, "i00", 1) != ()


def test_units_of_a_silent_host_are_outstanding_until_its_requests_must_have_ended():
    world = create()
    run_one_second(world)
    assert len(request_grants(world, "i00", 2)) == 2
    pools.run_until(world, world.state.now + 11)
    assert request_grants(world, "i01", 2) == ()
    pools.run_until(world, world.state.now + 2)
    assert len(request_grants(world, "i01", 2)) == 2


def test_requests_in_flight_keep_their_units():
    world = create()
    run_one_second(world)
    request_grants(world, "i00", 2)
    grants = request_grants(world, "i00", 2, [Held("p0", 1)])
    assert {item.upstream: item.units for item in grants} == {"p0": 1, "p1": 1}
    request_grants(world, "i00", 0, [Held("p0", 1)])
    assert [item.upstream for item in request_grants(world, "i01", 2)] == ["p1"]


def test_host_measures_a_grant_from_before_its_request():
    world = create()
    service = world.hosts[0].find("slow_starts")
    report = PoolReport("p", 0, (), 1, (), ())
    run_one_second(world)
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
def test_granted_units_never_exceed_the_level(steps):
    world = create()
    run_one_second(world)
    granted_by_host = {}
    for host, wanted, running_requests, pause_seconds in steps:
        units_before = granted_by_host.get(host, (0, 0.0))[0]
        held = (
            [Held("p0", min(running_requests, units_before))]
            if running_requests and units_before
            else []
        )
        grants = request_grants(world, host, wanted, held)
        units = sum(item.units for item in grants if item.upstream == "p0")
        units = max(units, sum(item.in_flight for item in held))
        granted_by_host[host] = (units, world.state.now + 2.0 + pools.DEADLINE_SECONDS)
        now = world.state.now
        in_use = sum(units for units, end in granted_by_host.values() if end > now)
        assert in_use <= 1
        world.state.now += pause_seconds


@pytest.mark.parametrize("waits", [True, False])
def test_new_coordinator_does_not_exceed_the_level_with_earlier_grants(
    waits,
):
    world = create()
    run_one_second(world)
    earlier = coordinator(world)
    new = next(services for services in world.hosts if services is not earlier)
    holder = next(item for item in world.hosts if item not in (earlier, new))
    health, service = holder.find("health"), holder.find("slow_starts")
    health.ask("p")
    assert service.units("p", "p0") + service.units("p", "p1") > 0
    for services in (new, holder):
        services.view.absent.add(earlier.host.incarnation)
    if not waits:
        pending = earlier.find("slow_starts").pending_hosts("p")
        assert pending == ()
        new.find("slow_starts").record_surrender(holder.host.incarnation, "p", ())
        new.find("slow_starts").record_surrender(earlier.host.incarnation, "p", ())
    else:
        pools.run_until(world, world.state.now + 1)
        assert service.units("p", "p0") + service.units("p", "p1") == 0
    report = PoolReport("p", 0, (), 2, (), ())
    granted = new.find("slow_starts").grant("i09", report)
    in_use = service.units("p", "p0") + sum(
        item.units for item in granted if item.upstream == "p0"
    )
    assert (in_use <= 1) == waits

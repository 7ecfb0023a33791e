"""Surrender of grants when a pool's coordinator changes."""

from trefoilpin.fakes import pools


def create():
    world = pools.create_world(1, 4, (pools.make_pool("p", 2, 6, 0),))
    first = world.hosts[0].find("memberships").first("pool/p")
    coordinator = next(item for item in world.hosts if item.host == first)
    return world, coordinator


def pending_count(services):
    return len(services.find("slow_starts").pending_hosts("p"))


def test_all_hosts_surrender_grants_while_upstreams_are_cold():
    world, coordinator = create()
    assert pending_count(coordinator) == 3
    coordinator.find("coordinator_handovers").step()
    assert pending_count(coordinator) == 0


def test_no_host_is_asked_while_all_upstreams_are_warm():
    world, coordinator = create()
    pools.warm_up(world)
    calls = world.state.calls
    coordinator.find("coordinator_handovers").step()
    assert world.state.calls == calls


def test_unresponsive_host_is_asked_again_after_the_retry_interval():
    world, coordinator = create()
    other = next(services for services in world.hosts if services is not coordinator)
    world.state.dead.add(other.host.peer_address)
    coordinator.find("coordinator_handovers").step()
    assert pending_count(coordinator) == 1
    world.state.dead.clear()
    coordinator.find("coordinator_handovers").step()
    assert pending_count(coordinator) == 1
    world.state.now += 2.1
    coordinator.find("coordinator_handovers").step()
    assert pending_count(coordinator) == 0


def test_previous_coordinator_stops_granting():
    world, coordinator = create()
    coordinator.find("coordinator_handovers").step()
    second_host = coordinator.find("memberships").ranked("pool/p")[1]
    other = next(item for item in world.hosts if item.host == second_host)
    other.view.absent.add(coordinator.host.incarnation)
    other.find("coordinator_handovers").step()
    assert pending_count(other) == 0
    assert pending_count(coordinator) == 3

"""Giving up of grants when a pool's coordinator changes."""

from trefoilpin.fakes import pools


def create():
    world = pools.create_world(1, 4, (pools.make_pool("p", 2, 6, 0),))
    first = world.hosts[0].find("memberships").first("pool/p")
    coordinator = next(parts for parts in world.hosts if parts.host == first)
    return world, coordinator


def missing(parts):
    return len(parts.find("slow_starts").pending_hosts("p"))


def test_every_host_is_asked_while_upstreams_are_cold():
    world, coordinator = create()
    assert missing(coordinator) == 3
    coordinator.find("coordinator_handovers").step()
    assert missing(coordinator) == 0


def test_no_host_is_asked_while_all_are_warm():
    world, coordinator = create()
    pools.warm_up(world)
    calls = world.state.calls
    coordinator.find("coordinator_handovers").step()
    assert world.state.calls == calls


def test_a_host_that_did_not_answer_is_asked_again_after_a_pause():
    world, coordinator = create()
    other = next(parts for parts in world.hosts if parts is not coordinator)
    world.state.dead.add(other.host.peer_address)
    coordinator.find("coordinator_handovers").step()
    assert missing(coordinator) == 1
    world.state.dead.clear()
    coordinator.find("coordinator_handovers").step()
    assert missing(coordinator) == 1
    world.state.now += 2.1
    coordinator.find("coordinator_handovers").step()
    assert missing(coordinator) == 0


def test_the_earlier_coordinator_stops_granting():
    world, coordinator = create()
    coordinator.find("coordinator_handovers").step()
    second = coordinator.find("memberships").ranked("pool/p")[1]
    other = next(parts for parts in world.hosts if parts.host == second)
    other.view.absent.add(coordinator.host.incarnation)
    other.find("coordinator_handovers").step()
    assert missing(other) == 0
    assert missing(coordinator) == 3

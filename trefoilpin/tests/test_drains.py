"""Drain signals and their distribution to all hosts."""

import pytest

from trefoilpin.fakes import pools


def create():
    world = pools.create_world(1, 8, (pools.make_pool("p", 6, 6, 2),))
    pools.warm_up(world)
    return world


def count_draining_hosts(world):
    pool = world.pools["p"]
    return sum(
        getattr(
            services.find("upstream_states").pool_view(pool).exclusion_by_id.get("p0"),
            "reason",
            None,
        )
        == "draining"
        for services in world.hosts
    )


@pytest.mark.parametrize("source", ["list", "answer"])
def test_drain_signal_reaches_every_host_within_three_seconds(source):
    world = create()
    pools.run_until(world, world.state.now + 2)
    assert count_draining_hosts(world) == 0
    if source == "list":
        path = "platform/upstreams/p/p0"
        world.objects.put(path, {"leaving": True}, 0)
    else:
        world.hosts[0].find("drains").report("p", "p0", "answer")
    pools.run_until(world, world.state.now + 3)
    assert count_draining_hosts(world) == 8


def test_three_hosts_read_the_list():
    world = create()
    assert sum(services.find("drains").read_list() for services in world.hosts) == 3


def test_drain_expires_and_the_upstream_returns_cold():
    world = create()
    world.hosts[0].find("drains").report("p", "p0", "answer")
    pools.run_until(world, world.state.now + 5)
    assert count_draining_hosts(world) == 8
    pools.run_until(world, world.state.now + 130)
    pool = world.pools["p"]
    for services in world.hosts:
        view = services.find("upstream_states").pool_view(pool)
        assert [upstream.id for upstream in view.cold] == ["p0"]


def test_listed_upstream_is_draining_while_the_store_is_down():
    world = create()
    world.objects.put("platform/upstreams/p/p0", {"leaving": True}, 0)
    pools.run_until(world, world.state.now + 4)
    world.store_faults.down = True
    pools.run_until(world, world.state.now + 100)
    assert count_draining_hosts(world) == 8

"""Signs that an upstream is leaving, and how they spread."""

import pytest

from trefoilpin.fakes import pools


def create():
    world = pools.create_world(1, 8, (pools.make_pool("p", 6, 6, 2),))
    pools.warm_up(world)
    return world


def hosts_that_know(world):
    pool = world.pools["p"]
    return sum(
        getattr(
            parts.find("upstream_states").pool_view(pool).exclusion_by_id.get("p0"),
            "reason",
            None,
        )
        == "draining"
        for parts in world.hosts
    )


@pytest.mark.parametrize("sign", ["list", "answer"])
def test_a_sign_reaches_every_host_within_three_seconds(sign):
    world = create()
    pools.run_until(world, world.state.now + 2)
    assert hosts_that_know(world) == 0
    if sign == "list":
        path = "platform/upstreams/p/p0"
        world.objects.put(path, {"leaving": True}, 0)
    else:
        world.hosts[0].find("drains").report("p", "p0", "answer")
    pools.run_until(world, world.state.now + 3)
    assert hosts_that_know(world) == 8


def test_few_hosts_read_the_list():
    world = create()
    assert sum(parts.find("drains").read_list() for parts in world.hosts) == 3


def test_a_drain_lapses_and_the_upstream_comes_back_cold():
    world = create()
    world.hosts[0].find("drains").report("p", "p0", "answer")
    pools.run_until(world, world.state.now + 5)
    assert hosts_that_know(world) == 8
    pools.run_until(world, world.state.now + 130)
    pool = world.pools["p"]
    for parts in world.hosts:
        view = parts.find("upstream_states").pool_view(pool)
        assert [upstream.id for upstream in view.cold] == ["p0"]


def test_a_listed_upstream_stays_out_while_the_store_is_down():
    world = create()
    world.objects.put("platform/upstreams/p/p0", {"leaving": True}, 0)
    pools.run_until(world, world.state.now + 4)
    world.store_faults.down = True
    pools.run_until(world, world.state.now + 100)
    assert hosts_that_know(world) == 8

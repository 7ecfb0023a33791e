"""Choice among the upstreams in service."""

import collections

from returns.result import Failure

from trefoilpin.fakes import pools
from trefoilpin.messages import Answer, Attempt
from trefoilpin.upstream_states import State
from trefoilpin.verdicts import Reason, Verdict

GOOD = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.05)


def create(hosts=3, count=6, **arguments):
    pool = pools.make_pool("p", count, 6, 2, **arguments)
    world = pools.create_world(1, hosts, (pool,))
    pools.warm_up(world)
    return world, world.hosts[0].find("balancers"), pool


def test_the_own_zone_comes_first_and_others_get_a_share():
    world, service, pool = create()
    zones = collections.Counter()
    for _ in range(2000):
        choice = service.choose(pool, frozenset(), "A").unwrap()
        zones[choice.upstream.zone] += 1
        service.release(choice, GOOD, "A", "")
    assert 1800 < zones["a"] < 1960


def test_work_spills_over_when_the_own_zone_is_busy():
    world, service, pool = create()
    zones = collections.Counter()
    for _ in range(8):
        zones[service.choose(pool, frozenset()).unwrap().upstream.zone] += 1
    assert zones["b"] + zones["c"] >= 3


def test_full_and_empty_pools_are_told_apart():
    world, service, pool = create(hosts=44)
    for _ in range(6):
        service.choose(pool, frozenset()).unwrap()
    refusal = service.choose(pool, frozenset())
    assert isinstance(refusal, Failure)
    assert refusal.failure().reason is Reason.OVERLOADED
    tried = frozenset(upstream.id for upstream in pool.upstreams)
    assert service.choose(pool, tried).failure().reason is Reason.NO_UPSTREAM


def test_a_tried_upstream_is_not_chosen_again():
    world, service, pool = create()
    tried = frozenset(f"p{number}" for number in range(5))
    assert service.choose(pool, tried).unwrap().upstream.id == "p5"


def test_cold_upstreams_get_granted_work_alone():
    world, service, pool = create(hosts=1, count=2)
    parts = world.hosts[0]
    for upstream in pool.upstreams:
        parts.find("upstream_states").set_state("p", upstream.id, State.COLD)
    chosen = []
    for _ in range(3):
        chosen.append(service.choose(pool, frozenset()))
        world.state.now += 0.1
    assert [isinstance(item, Failure) for item in chosen] == [False, False, True]
    assert len({item.unwrap().upstream.id for item in chosen[:2]}) == 2


def test_a_subset_of_a_large_fleet_uses_each_upstream():
    pool = pools.make_pool("p", 6, 6, 2, connections=4)
    world = pools.create_world(1, 12, (pool,))
    pools.warm_up(world)
    users = collections.Counter()
    for parts in world.hosts:
        used = set()
        for _ in range(6):
            choice = parts.find("balancers").choose(pool, frozenset(used))
            if isinstance(choice, Failure):
                continue
            used.add(choice.unwrap().upstream.id)
        users.update(used)
    assert set(users.values()) == {4}

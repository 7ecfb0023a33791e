"""Load balancing over a pool: zones, limits, cold upstreams and subsets."""

import collections

from returns.result import Failure

from trefoilpin.fakes import pools
from trefoilpin.messages import Answer, Attempt
from trefoilpin.upstream_states import State
from trefoilpin.verdicts import Reason, Verdict

SUCCESS = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.05)


def create(hosts=3, count=6, **arguments):
    pool = pools.make_pool("p", count, 6, 2, **arguments)
    world = pools.create_world(1, hosts, (pool,))
    pools.warm_up(world)
    return world, world.hosts[0].find("balancers"), pool


def test_own_zone_is_preferred_and_others_get_a_share():
    world, service, pool = create()
    zones = collections.Counter()
    for _ in range(2000):
        choice = service.choose(pool, frozenset(), "A").unwrap()
        zones[choice.upstream.zone] += 1
        service.release(choice, SUCCESS, "A", "")
    assert 1800 < zones["a"] < 1960


def test_requests_spill_over_when_the_own_zone_is_busy():
    world, service, pool = create()
    zones = collections.Counter()
    for _ in range(8):
        zones[service.choose(pool, frozenset()).unwrap().upstream.zone] += 1
    assert zones["b"] + zones["c"] >= 3


def test_saturated_and_empty_pools_have_different_refusals():
    world, service, pool = create(hosts=44)
    for _ in range(6):
        service.choose(pool, frozenset()).unwrap()
    refusal = service.choose(pool, frozenset())
    assert isinstance(refusal, Failure)
    assert refusal.failure().reason is Reason.OVERLOADED
    tried = frozenset(upstream.id for upstream in pool.upstreams)
    assert service.choose(pool, tried).failure().reason is Reason.NO_UPSTREAM


def test_excluded_upstream_is_not_chosen():
    world, service, pool = create()
    tried = frozenset(f"p{number}" for number in range(5))
    assert service.choose(pool, tried).unwrap().upstream.id == "p5"


def test_cold_upstreams_get_only_granted_requests():
    world, service, pool = create(hosts=1, count=2)
    host = world.hosts[0]
    for upstream in pool.upstreams:
        host.find("upstream_states").set_state("p", upstream.id, State.COLD)
    choices = []
    for _ in range(3):
        choices.append(service.choose(pool, frozenset()))
        world.state.now += 0.1
    assert [isinstance(choice, Failure) for choice in choices] == [False, False, True]
    assert len({choice.unwrap().upstream.id for choice in choices[:2]}) == 2


def test_each_upstream_is_used_by_a_subset_of_a_large_fleet():
    pool = pools.make_pool("p", 6, 6, 2, connections=4)
    world = pools.create_world(1, 12, (pool,))
    pools.warm_up(world)
    host_count_by_upstream = collections.Counter()
    for host in world.hosts:
        chosen_ids = set()
        for _ in range(6):
            choice = host.find("balancers").choose(pool, frozenset(chosen_ids))
            if isinstance(choice, Failure):
                continue
            chosen_ids.add(choice.unwrap().upstream.id)
        host_count_by_upstream.update(chosen_ids)
    assert set(host_count_by_upstream.values()) == {4}


def test_limit_of_one_request_grows_while_it_is_fully_used():
    world, service, pool = create(hosts=44)
    for _ in range(300):
        choices = []
        while not isinstance(outcome := service.choose(pool, frozenset()), Failure):
            choices.append(outcome.unwrap())
        for choice in choices:
            service.release(choice, SUCCESS, "A", "")
        world.state.now += 0.5
    assert len(choices) > len(pool.upstreams)

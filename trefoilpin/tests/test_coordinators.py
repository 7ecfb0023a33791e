"""Ejection, re-admission and change of coordinator, through real reports."""

from trefoilpin.fakes import pools
from trefoilpin.reports import HealthReport, PoolReport, Sample


def create(seed=1, count=6, floor=3, hosts=6):
    world = pools.create_world(seed, hosts, (pools.make_pool("p", count, 6, floor),))
    pools.warm_up(world)
    pools.drive(world, "p", 40.0, world.state.now + 300, "ABCD")
    pools.run_until(world, world.state.now + 10)
    return world


def events_of(world, name):
    return [(at, fields) for at, _, event, fields in world.lines if event == name]


def out_on(world, upstream):
    pool = world.pools["p"]
    return sum(
        upstream in parts.find("upstream_states").pool_view(pool).exclusion_by_id
        for parts in world.hosts
    )


def break_upstreams(world, *identifiers):
    for identifier in identifiers:
        world.model_by_id[("p", identifier)].fault = lambda rng: "error"


def test_a_gray_upstream_is_out_everywhere_and_comes_back_when_it_is_well():
    world = create()
    break_upstreams(world, "p0")
    pools.run_until(world, world.state.now + 5)
    assert out_on(world, "p0") == 6
    world.model_by_id[("p", "p0")].fault = None
    pools.run_until(world, world.state.now + 40)
    assert out_on(world, "p0") == 0
    assert events_of(world, "upstream_readmitted")


def test_ejections_stop_at_the_floor():
    world = create(floor=5)
    break_upstreams(world, "p0", "p1")
    pools.run_until(world, world.state.now + 9)
    assert out_on(world, "p0") + out_on(world, "p1") == 6


def test_many_that_degrade_together_stay_in():
    world = create(floor=0)
    break_upstreams(world, "p0", "p1", "p2", "p3")
    pools.run_until(world, world.state.now + 20)
    ejected = [fields["upstream"] for _, fields in events_of(world, "upstream_ejected")]
    assert len(ejected) <= 2


def test_each_ejection_in_a_row_is_longer():
    world = create()
    break_upstreams(world, "p0")
    pools.run_until(world, world.state.now + 60)
    seconds = [
        fields["seconds"] for _, fields in events_of(world, "upstream_readmitted")
    ]
    assert len(seconds) >= 2
    assert all(later > 1.8 * sooner for sooner, later in zip(seconds, seconds[1:]))


def test_the_next_coordinator_goes_on():
    world = create()
    first = world.hosts[0].find("memberships").first("pool/p")
    world.state.dead.add(first.peer_address)
    for parts in world.hosts:
        if parts.host != first:
            parts.view.absent.add(first.incarnation)
    break_upstreams(world, "p0")
    pools.run_until(world, world.state.now + 8)
    assert out_on(world, "p0") >= 5


def test_a_report_that_comes_late_changes_nothing():
    world = create()
    service = world.hosts[0].find("coordinators")
    row = PoolReport("p", 0, (Sample("p0", "A", 1, 1, 1, 0, (), ()),), 0, (), ())
    assert service.receive("x", HealthReport(2, "a", (row,)))
    assert service.receive("x", HealthReport(1, "a", (row,))) == ()
    unknown = row._replace(pool="unknown")
    assert service.receive("x", HealthReport(3, "a", (unknown,))) == ()

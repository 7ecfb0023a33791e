"""Ejection, re-admission and change of coordinator, driven by health reports."""

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


def count_hosts_excluding(world, upstream):
    pool = world.pools["p"]
    return sum(
        upstream in host.find("upstream_states").pool_view(pool).exclusion_by_id
        for host in world.hosts
    )


def break_upstreams(world, *upstream_ids):
    for upstream_id in upstream_ids:
        world.model_by_id[("p", upstream_id)].fault = lambda rng: "error"


def test_failing_upstream_is_ejected_everywhere_and_readmitted_on_recovery():
    world = create()
    break_upstreams(world, "p0")
    pools.run_until(world, world.state.now + 5)
    assert count_hosts_excluding(world, "p0") == 6
    world.model_by_id[("p", "p0")].fault = None
    pools.run_until(world, world.state.now + 40)
    assert count_hosts_excluding(world, "p0") == 0
    assert events_of(world, "upstream_readmitted")


def test_ejections_stop_at_the_floor():
    world = create(floor=5)
    break_upstreams(world, "p0", "p1")
    pools.run_until(world, world.state.now + 9)
    assert count_hosts_excluding(world, "p0") + count_hosts_excluding(world, "p1") == 6


def test_upstreams_that_degrade_together_are_not_ejected():
    world = create(floor=0)
    break_upstreams(world, "p0", "p1", "p2", "p3")
    pools.run_until(world, world.state.now + 20)
    ejected = [fields["upstream"] for _, fields in events_of(world, "upstream_ejected")]
    assert len(ejected) <= 2


def test_consecutive_ejections_get_longer():
    world = create()
    break_upstreams(world, "p0")
    pools.run_until(world, world.state.now + 60)
    seconds = [
        fields["seconds"] for _, fields in events_of(world, "upstream_readmitted")
    ]
    assert len(seconds) >= 2
    assert all(later > 1.8 * sooner for sooner, later in zip(seconds, seconds[1:]))


def test_next_coordinator_ejects_after_a_crash():
    world = create()
    coordinator = world.hosts[0].find("memberships").first("pool/p")
    world.state.dead.add(coordinator.peer_address)
    for item in world.hosts:
        if item.host != coordinator:
            item.view.absent.add(coordinator.incarnation)
    break_upstreams(world, "p0")
    pools.run_until(world, world.state.now + 8)
    assert count_hosts_excluding(world, "p0") >= 5


def test_late_report_is_ignored():
    world = create()
    service = world.hosts[0].find("coordinators")
    row = PoolReport("p", 0, (Sample("p0", "A", 1, 1, 1, 0, (), ()),), 0, (), ())
    assert service.receive("x", HealthReport(2, "a", (row,)))
    assert service.receive("x", HealthReport(1, "a", (row,))) == ()
    unknown = row._replace(pool="unknown")
    assert service.receive("x", HealthReport(3, "a", (unknown,))) == ()

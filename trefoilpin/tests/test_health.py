"""Health reports to coordinators, and the effect of their replies."""

from trefoilpin import health
from trefoilpin.fakes import pools
from trefoilpin.messages import Answer, Attempt
from trefoilpin.reports import Grant, HealthReply, PoolReply
from trefoilpin.upstream_states import State
from trefoilpin.verdicts import Verdict

SUCCESS = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.05)


def create(names, hosts=2):
    world = pools.create_world(
        1, hosts, tuple(pools.make_pool(name, 3, 6, 0) for name in names)
    )
    pools.warm_up(world)
    return world


def find_reporter_and_coordinator(world, name):
    """Return a host that is not the pool's coordinator, and the coordinator."""
    coordinator = world.hosts[0].find("memberships").first(f"pool/{name}")
    others = [item for item in world.hosts if item.host != coordinator]
    return others[0], coordinator


def complete_request(reporter, name):
    service = reporter.find("attempts")
    service.end(service.begin(name, f"{name}0", "A"), SUCCESS, "A", "")


def test_one_message_per_coordinator_reports_only_pools_with_traffic():
    names = tuple(f"p{number}" for number in range(8))
    world = create(names)
    reporter = world.hosts[0]
    own = reporter.host
    first = reporter.find("memberships").first
    remote_names = [name for name in names if first(f"pool/{name}") != own]
    assert len(remote_names) > 1
    for name in remote_names[:2]:
        complete_request(reporter, name)
    calls_before = world.state.calls
    reporter.find("health").report()
    assert world.state.calls == calls_before + 1
    reporter.find("health").report()
    assert world.state.calls == calls_before + 1


def test_reply_contains_upstream_states_and_drains():
    world = create(("p",))
    reporter, coordinator_host = find_reporter_and_coordinator(world, "p")
    coordinator = next(item for item in world.hosts if item.host == coordinator_host)
    coordinator.find("upstream_states").set_state("p", "p1", State.EJECTED, 1.0, 1)
    coordinator.find("drains").report("p", "p2", "answer")
    complete_request(reporter, "p")
    reporter.find("health").report()
    exclusions = (
        reporter.find("upstream_states").pool_view(world.pools["p"]).exclusion_by_id
    )
    assert exclusions["p1"].reason == "ejected"
    assert exclusions["p2"].reason == "draining"


def test_grants_of_a_replaced_coordinator_are_dropped():
    world = create(("p",))
    reporter, coordinator_host = find_reporter_and_coordinator(world, "p")
    reporter.find("upstream_states").set_state("p", "p0", State.COLD)

    def reply_late(sender, message):
        reporter.find("health").surrender("p", "another")
        return HealthReply((PoolReply("p", (), (Grant("p0", 1),), ()),))

    world.state.handler_by_method_by_address[coordinator_host.peer_address][
        health.METHOD
    ] = reply_late
    reporter.find("health").ask("p")
    assert reporter.find("slow_starts").units("p", "p0") == 0


def test_grants_are_surrendered_even_if_the_reply_is_lost():
    world = create(("p",))
    reporter, coordinator_host = find_reporter_and_coordinator(world, "p")
    reporter.find("upstream_states").set_state("p", "p0", State.COLD)
    reporter.find("slow_starts").store_grants("p", (Grant("p0", 1),), world.state.now)
    assert reporter.find("slow_starts").units("p", "p0") == 1
    world.state.dead.add(coordinator_host.peer_address)
    reporter.find("health").ask("p")
    assert reporter.find("slow_starts").units("p", "p0") == 0

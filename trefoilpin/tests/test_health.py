"""Reports to coordinators and what their replies bring."""

from trefoilpin import health
from trefoilpin.fakes import pools
from trefoilpin.messages import Answer, Attempt
from trefoilpin.reports import Grant, HealthReply, PoolReply
from trefoilpin.upstream_states import State
from trefoilpin.verdicts import Verdict

GOOD = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.05)


def create(names, hosts=2):
    world = pools.create_world(
        1, hosts, tuple(pools.make_pool(name, 3, 6, 0) for name in names)
    )
    pools.warm_up(world)
    return world


def reporter(world, name):
    """Return a host that does not coordinate a pool, and the one that does."""
    first = world.hosts[0].find("memberships").first(f"pool/{name}")
    others = [parts for parts in world.hosts if parts.host != first]
    return others[0], first


def use(parts, name):
    service = parts.find("attempts")
    service.end(service.begin(name, f"{name}0", "A"), GOOD, "A", "")


def test_one_message_goes_to_each_coordinator_and_only_pools_with_traffic():
    names = tuple(f"p{number}" for number in range(8))
    world = create(names)
    parts = world.hosts[0]
    own = parts.host
    first = parts.find("memberships").first
    distant = [name for name in names if first(f"pool/{name}") != own]
    assert len(distant) > 1
    for name in distant[:2]:
        use(parts, name)
    before = world.state.calls
    parts.find("health").report()
    assert world.state.calls == before + 1
    parts.find("health").report()
    assert world.state.calls == before + 1


def test_a_reply_brings_standings_and_drains():
    world = create(("p",))
    parts, first = reporter(world, "p")
    coordinator = next(item for item in world.hosts if item.host == first)
    coordinator.find("upstream_states").set_state("p", "p1", State.EJECTED, 1.0, 1)
    coordinator.find("drains").report("p", "p2", "answer")
    use(parts, "p")
    parts.find("health").report()
    absent = parts.find("upstream_states").pool_view(world.pools["p"]).exclusion_by_id
    assert absent["p1"].reason == "ejected"
    assert absent["p2"].reason == "draining"


def test_grants_of_a_coordinator_that_was_replaced_are_dropped():
    world = create(("p",))
    parts, first = reporter(world, "p")
    parts.find("upstream_states").set_state("p", "p0", State.COLD)

    def answer(sender, message):
        parts.find("health").surrender("p", "another")
        return HealthReply((PoolReply("p", (), (Grant("p0", 1),), ()),))

    world.state.handler_by_method_by_address[first.peer_address][health.METHOD] = answer
    parts.find("health").ask("p")
    assert parts.find("slow_starts").units("p", "p0") == 0


def test_a_lost_reply_leaves_no_grant():
    world = create(("p",))
    parts, first = reporter(world, "p")
    parts.find("upstream_states").set_state("p", "p0", State.COLD)
    parts.find("slow_starts").store_grants("p", (Grant("p0", 1),), world.state.now)
    assert parts.find("slow_starts").units("p", "p0") == 1
    world.state.dead.add(first.peer_address)
    parts.find("health").ask("p")
    assert parts.find("slow_starts").units("p", "p0") == 0

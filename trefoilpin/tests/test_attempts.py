"""Counting of attempts and stalls, and avoidance after consecutive failures."""

from trefoilpin.fakes import pools
from trefoilpin.messages import Answer, Attempt
from trefoilpin.verdicts import Reason, Verdict

SUCCESS = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", 0.05)
BROKEN = pools.failed(Reason.UPSTREAM_BROKEN, 0.05)


def create():
    world = pools.create_world(1, 1, (pools.make_pool("p", 6, 6, 2),))
    pools.warm_up(world)
    return world, world.hosts[0].find("attempts")


def test_attempt_is_counted_once_when_it_ends():
    world, service = create()
    number = service.begin("p", "p0", "A")
    assert service.in_flight_by_upstream == {("p", "p0"): 1}
    service.end(number, BROKEN, "A", "00ff")
    service.end(number, BROKEN, "A", "00ff")
    assert service.in_flight_by_upstream == {}
    (sample,) = service.take_samples("p")
    assert (sample.requests, sample.failures, sample.hard) == (1, 1, 1)
    assert service.take_samples("p") == ()


def test_stalled_attempt_is_counted_once_while_in_flight():
    world, service = create()
    number = service.begin("p", "p0", "A")
    service.count_stalls()
    assert service.take_samples("p") == ()
    world.state.now += 1.1
    service.count_stalls()
    service.count_stalls()
    (sample,) = service.take_samples("p")
    assert (sample.requests, sample.failures) == (1, 1)
    service.end(number, SUCCESS, "A", "")
    assert service.take_samples("p") == ()


def test_shed_attempt_is_not_a_failure():
    world, service = create()
    shed = SUCCESS._replace(verdict=Verdict.NOT_RUN, shed=True)
    service.end(service.begin("p", "p0", "A"), shed, "A", "")
    (sample,) = service.take_samples("p")
    assert (sample.requests, sample.failures, sample.sheds) == (0, 0, 1)


def is_avoided(world):
    view = world.hosts[0].find("upstream_states").pool_view(world.pools["p"])
    return "p0" in view.exclusion_by_id


def test_consecutive_failures_lead_to_longer_avoidances():
    world, service = create()
    for _ in range(3):
        assert not is_avoided(world)
        service.end(service.begin("p", "p0", "A"), BROKEN, "A", "")
    assert is_avoided(world)
    world.state.now += 2.1
    assert not is_avoided(world)
    service.end(service.begin("p", "p0", "A"), BROKEN, "A", "")
    world.state.now += 2.1
    assert is_avoided(world)
    world.state.now += 2.1
    service.end(service.begin("p", "p0", "A"), SUCCESS, "A", "")
    service.end(service.begin("p", "p0", "A"), BROKEN, "A", "")
    assert not is_avoided(world)

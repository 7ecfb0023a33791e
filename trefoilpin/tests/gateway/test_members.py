"""Roles that follow from the view, with hosts of unequal size."""

from types import SimpleNamespace

from trefoilpin.fakes.gateways import create_host
from trefoilpin.gateway import failure_detection, members
from trefoilpin.gateway.messages import MemberRecord


def create(own_zone="a", age=0.1):
    kernel, clock, _ = create_host()
    own = members.OwnHost("10.0.0.100", own_zone, "r", 1, 10.0)
    return members.create(kernel, own, lambda: age), clock


def told(number, zone="a", capacity=100.0, **fields):
    """Return a row as it is taken, 20 ms after it was made."""
    address = f"10.0.0.{number}"
    row = MemberRecord(address, zone, 5, 0.02, capacity, 0.0, False, False, 0.1)
    return row._replace(**fields)


def addresses(hosts):
    return [host.address for host in hosts]


def test_callers_go_to_the_hosts_that_bear_most_and_relays_are_the_others():
    service, _ = create()
    for number, capacity in ((1, 50.0), (2, 500.0), (3, 300.0), (4, 20.0)):
        service.merge_record(told(number, capacity=capacity))
    assert addresses(service.caller_hosts("a")) == ["10.0.0.2", "10.0.0.3"]
    assert addresses(service.relays("a")) == ["10.0.0.4", "10.0.0.100"]


def test_more_hosts_get_callers_as_the_load_of_the_zone_grows():
    service, _ = create()
    for number in range(1, 7):
        service.merge_record(told(number, load=60.0))
    assert len(service.caller_hosts("a")) == 7


def test_hosts_that_stop_fall_silent_or_know_little_get_no_callers():
    service, clock = create()
    service.merge_record(told(1))
    service.merge_record(told(2, is_stopping=True))
    service.merge_record(told(3, configuration_age=members.FRESH_SECONDS + 1))
    service.merge_record(told(4))
    assert set(addresses(service.caller_hosts("a"))) == {"10.0.0.1", "10.0.0.4"}
    clock.time += members.NAMED_SECONDS
    service.merge_record(told(4))
    assert addresses(service.caller_hosts("a")) == ["10.0.0.4", "10.0.0.100"]


def test_with_the_store_away_for_all_the_hosts_that_run_are_still_named():
    service, clock = create(age=9.0)
    for number in (1, 2, 3):
        service.merge_record(told(number, configuration_age=5.0))
    assert len(service.caller_hosts("a")) == 2
    clock.time += members.NAMED_SECONDS
    assert service.caller_hosts("a") == []


def test_what_others_say_is_as_old_as_they_say():
    service, clock = create()
    service.merge_record(told(1, age=failure_detection.LIVE_SECONDS - 0.5))
    assert "10.0.0.1" in addresses(service.live())
    clock.time += 0.6
    assert "10.0.0.1" not in addresses(service.live())


def record_message(service, number, sends_regularly):
    """Have a host say that it runs, and whether it goes on saying so."""
    message = SimpleNamespace(
        zone="a",
        incarnation=5,
        capacity=100.0,
        load=0.0,
        is_stopping=False,
        is_serving=False,
        configuration_age=0.1,
        sends_regularly=sends_regularly,
    )
    service.record_message(f"10.0.0.{number}", message, 0.0)


def test_a_host_that_lost_its_role_takes_nobody_for_dead_whose_last_word_was_lost():
    service, clock = create()
    record_message(service, 1, sends_regularly=True)
    service.expect_heartbeats({"10.0.0.1"})
    clock.time += 1.0
    service.expect_heartbeats(set())
    clock.time += failure_detection.SUSPECT_SECONDS
    assert not service.tick(0.2)
    assert "10.0.0.1" in addresses(service.live())


def test_a_host_that_is_missed_stays_so_until_it_is_heard_of_again():
    service, clock = create()
    record_message(service, 1, sends_regularly=True)
    service.expect_heartbeats({"10.0.0.1"})
    clock.time += failure_detection.SUSPECT_SECONDS + 0.1
    assert service.tick(0.2)
    service.expect_heartbeats(set())
    assert "10.0.0.1" not in addresses(service.live())
    service.merge_record(told(1, age=2.5))
    assert "10.0.0.1" not in addresses(service.live())
    service.merge_record(told(1, age=0.3))
    clock.time += 2 * members.VIEW_SECONDS
    assert "10.0.0.1" in addresses(service.live())


def test_a_message_of_an_earlier_start_changes_nothing():
    service, _ = create()
    service.merge_record(told(1, incarnation=9))
    service.merge_record(told(1, incarnation=8, is_stopping=True))
    assert "10.0.0.1" in addresses(service.caller_hosts("a"))


def test_silent_hosts_are_remembered_for_a_while_and_then_forgotten():
    service, clock = create()
    service.merge_record(told(1))
    clock.time += members.FORGET_SECONDS - 1
    assert len(service.records()) == 2
    clock.time += 2
    assert len(service.records()) == 1

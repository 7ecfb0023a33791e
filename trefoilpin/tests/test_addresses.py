"""Hosts that callers are told to use, and the issuer of their keys."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from trefoilpin import addresses
from trefoilpin.fakes import fleets, loops
from trefoilpin.records import AvailabilityZone, ClientAccount, Host
from trefoilpin.services import Configurations, Issuers, Keys, Shutdowns
from trefoilpin.shutdowns import LEAVING_TOPIC
from trefoilpin.verdicts import Reason, Refusal, Verdict

ZONES = ("a", "b", "c")
MISSING = Refusal(Reason.KEY_MISSING, Verdict.NOT_RUN, "")
UNKNOWN = Refusal(Reason.KEY_UNKNOWN, Verdict.NOT_RUN, "")


def create_hosts(count):
    return [
        Host(f"i{n}", f"h{n}", ZONES[n % 3], "r", f"10.0.0.{n}:1", "")
        for n in range(count)
    ]


class AddressHarness:
    """The service of one host, with stand-ins for the services that it uses."""

    def __init__(self, hosts):
        self.loop = loops.LoopState(1)
        self.view = fleets.FleetView(hosts[0], hosts)
        self.zones = {}
        self.checked = Success(ClientAccount("hielo", 1, 1))
        self.stopping = False
        kernel = loops.create_host_kernel(self.loop)
        self.memberships = fleets.create_memberships(self.view)
        notice_store = fleets.NoticeStore(hosts[0].incarnation)
        self.notices = fleets.create_notices(notice_store, kernel.clock.now)
        empty = [None] * len(Configurations._fields)
        configurations = Configurations(*empty)._replace(zones_by_id=self.zones)
        stopping = Shutdowns(None, lambda: self.stopping, None, None)
        kernel.register("memberships", self.memberships)
        kernel.register("notices", self.notices)
        kernel.register("configurations", configurations)
        kernel.register("shutdowns", stopping)
        self.takes_keys = True
        issuers = Issuers(None, None, lambda: self.takes_keys, None)
        kernel.register("issuers", issuers)
        kernel.register("keys", Keys(lambda route, request: self.checked, None))
        self.answer = addresses.create(kernel, 10.0).answer

    def zones_given(self):
        return [zone for _, zone in self.answer(None).unwrap().hosts]


def test_callers_of_an_account_get_the_same_hosts_with_its_quota_owner_first():
    harness = AddressHarness(create_hosts(40))
    answer = harness.answer(None).unwrap()
    owner = harness.memberships.first("limits/hielo")
    assert answer.hosts[0] == (owner.caller_address, owner.zone)
    assert len(answer.hosts) == addresses.MAX_HOSTS
    assert harness.answer(None).unwrap() == answer
    assert answer.issuer == "i0"


def test_callers_without_a_key_get_random_hosts():
    harness = AddressHarness(create_hosts(40))
    harness.checked = Failure(MISSING)
    assert len({harness.answer(None).unwrap().hosts for _ in range(20)}) > 10


def test_invalid_key_is_refused():
    harness = AddressHarness(create_hosts(2))
    harness.checked = Failure(UNKNOWN)
    assert harness.answer(None) == Failure(UNKNOWN)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.integers(1, 12),
    st.sets(st.integers(0, 11)),
    st.sets(st.sampled_from(ZONES)),
    st.booleans(),
)
def test_leaving_hosts_and_zones_out_of_service_are_left_out(
    count, leaving, out, stopping
):
    hosts = create_hosts(count)
    harness = AddressHarness(hosts)
    harness.stopping = stopping
    for zone in out:
        harness.zones[zone] = AvailabilityZone(zone, "r", True)
    for number in leaving:
        harness.notices.publish(LEAVING_TOPIC, f"i{number}", "", 60.0)
    usable = [
        host
        for number, host in enumerate(hosts)
        if host.zone not in out
        and number not in leaving
        and not (stopping and number == 0)
    ]
    outcome = harness.answer(None)
    if not usable:
        assert outcome.failure().verdict is Verdict.NOT_RUN
        return
    answer = outcome.unwrap()
    given_hosts = [address for address, _ in answer.hosts]
    assert set(given_hosts) <= {host.caller_address for host in usable}
    assert len(given_hosts) == min(len(usable), addresses.MAX_HOSTS)
    zones = {zone for _, zone in answer.hosts}
    assert len(zones) >= min(2, len({host.zone for host in usable}))
    issuing = {host.incarnation for host in hosts} - {f"i{n}" for n in leaving}
    assert answer.issuer in issuing - ({"i0"} if stopping else set())


@pytest.mark.parametrize("count", [1, 2, 3])
def test_two_zones_are_chosen_if_possible(count):
    hosts = create_hosts(6)
    same = [hosts[0], hosts[3]]
    chosen = addresses.select([*same, hosts[1]], count)
    assert len(chosen) == count
    assert len({host.zone for host in chosen}) == min(count, 2)


def test_host_with_a_full_key_table_names_another_issuer():
    harness = AddressHarness(create_hosts(4))
    harness.takes_keys = False
    answer = harness.answer(None).unwrap()
    assert answer.issuer != "i0"

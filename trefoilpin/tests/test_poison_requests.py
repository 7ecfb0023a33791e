"""Requests that break upstreams are quarantined on all hosts, and no other requests."""

import pytest

from trefoilpin import poison_requests
from trefoilpin.fakes import fleets, loops
from trefoilpin.verdicts import Reason, Verdict

QUARANTINE_SECONDS = 300.0
HOSTS = ("h1", "h2", "h3")


class Fleet:
    """Hosts that exchange notices by gossip."""

    def __init__(self):
        self.state = loops.LoopState(1)
        self.notice_stores = [fleets.NoticeStore(name) for name in HOSTS]
        self.services = []
        for notice_store in self.notice_stores:
            kernel = loops.create_host_kernel(self.state)
            notices = fleets.create_notices(notice_store, lambda: self.state.now)
            kernel.register("notices", notices)
            self.services.append(poison_requests.create(kernel, QUARANTINE_SECONDS))

    def gossip(self):
        for _ in range(20):
            fleets.run_gossip_round(
                self.notice_stores, self.state.rng, lambda *pair: True
            )

    def wait_for_decision(self, seconds=poison_requests.PROPAGATION_SECONDS):
        self.gossip()
        self.state.now += seconds

    def refused(self, fingerprint):
        return [service.check(fingerprint) is not None for service in self.services]


@pytest.fixture
def fleet():
    return Fleet()


def test_breaks_seen_by_two_hosts_quarantine_on_all_hosts(fleet):
    fleet.services[0].record_break("poison", "u1", "hielo")
    fleet.services[0].record_break("poison", "u1", "hielo")
    fleet.wait_for_decision()
    assert not any(fleet.refused("poison"))
    fleet.services[1].record_break("poison", "u2", "hielo")
    fleet.wait_for_decision()
    assert all(fleet.refused("poison")) and not any(fleet.refused("other"))
    refusal = fleet.services[2].check("poison")
    assert refusal.reason is Reason.QUARANTINED
    assert (
        refusal.verdict is Verdict.NOT_RUN and refusal.retry_after <= QUARANTINE_SECONDS
    )
    fleet.state.now += QUARANTINE_SECONDS
    assert not any(fleet.refused("poison"))


def test_request_in_flight_beside_a_poison_request_is_not_quarantined(fleet):
    for upstream in ("u1", "u2"):
        fleet.services[1].record_break("innocent", upstream, "cupula")
        fleet.services[0].record_break("poison", upstream, "hielo")
    fleet.wait_for_decision()
    assert not any(fleet.refused("innocent"))
    fleet.services[0].record_break("poison", "u3", "hielo")
    fleet.wait_for_decision()
    assert all(fleet.refused("poison")) and not any(fleet.refused("innocent"))


@pytest.mark.parametrize("accounts", [("hielo", "cupula"), ("", "")])
def test_two_poison_requests_that_break_the_same_upstreams_are_both_quarantined(
    fleet, accounts
):
    for number in range(poison_requests.UPSTREAMS_TO_BE_CERTAIN):
        assert not any(fleet.refused("one") + fleet.refused("two"))
        for fingerprint, account in zip(("one", "two"), accounts):
            fleet.services[0].record_break(fingerprint, f"u{number}", account)
        fleet.wait_for_decision()
    assert all(fleet.refused("one") + fleet.refused("two"))


def test_complete_answer_clears_a_request(fleet):
    fleet.services[0].record_break("popular", "u1", "")
    fleet.wait_for_decision()
    fleet.state.now += 1.0
    fleet.services[1].record_answer("popular")
    fleet.services[2].record_break("popular", "u2", "")
    fleet.wait_for_decision()
    assert not any(fleet.refused("popular"))


def test_breaks_expire_and_published_notices_are_bounded(fleet):
    fleet.services[0].record_break("rare", "u1", "hielo")
    fleet.wait_for_decision(poison_requests.SUSPICION_LIFETIME_SECONDS + 1)
    fleet.services[0].record_break("rare", "u2", "hielo")
    fleet.wait_for_decision()
    assert not any(fleet.refused("rare"))
    for number in range(1000):
        fleet.services[0].record_break(f"f{number}", "u1", "hielo")
    published = len(fleet.notice_stores[0].notice_by_key)
    assert published <= poison_requests.MAX_PUBLISHED_NOTICES + 2

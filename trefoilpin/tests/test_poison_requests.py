"""Requests that break upstreams are refused everywhere, and no others."""

import pytest

from trefoilpin import poison_requests
from trefoilpin.fakes import fleets, loops
from trefoilpin.verdicts import Reason, Verdict

SECONDS = 300.0
HOSTS = ("h1", "h2", "h3")


class Scene:
    """Hosts that share notices by gossip."""

    def __init__(self):
        self.state = loops.LoopState(1)
        self.boards = [fleets.NoticeStore(name) for name in HOSTS]
        self.services = []
        for board in self.boards:
            kernel = loops.create_host_kernel(self.state)
            notices = fleets.create_notices(board, lambda: self.state.now)
            kernel.register("notices", notices)
            self.services.append(poison_requests.create(kernel, SECONDS))

    def spread(self):
        for _ in range(20):
            fleets.run_gossip_round(self.boards, self.state.rng, lambda *pair: True)

    def settle(self, seconds=poison_requests.SETTLE_SECONDS):
        self.spread()
        self.state.now += seconds

    def refused(self, fingerprint):
        return [service.check(fingerprint) is not None for service in self.services]


@pytest.fixture
def scene():
    return Scene()


def test_two_upstreams_through_two_hosts_quarantine_everywhere(scene):
    scene.services[0].record_break("poison", "u1", "hielo")
    scene.services[0].record_break("poison", "u1", "hielo")
    scene.settle()
    assert not any(scene.refused("poison"))
    scene.services[1].record_break("poison", "u2", "hielo")
    scene.settle()
    assert all(scene.refused("poison")) and not any(scene.refused("other"))
    refusal = scene.services[2].check("poison")
    assert refusal.reason is Reason.QUARANTINED
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after <= SECONDS
    scene.state.now += SECONDS
    assert not any(scene.refused("poison"))


def test_a_request_that_only_was_in_flight_is_not_quarantined(scene):
    for upstream in ("u1", "u2"):
        scene.services[1].record_break("innocent", upstream, "cupula")
        scene.services[0].record_break("poison", upstream, "hielo")
    scene.settle()
    assert not any(scene.refused("innocent"))
    scene.services[0].record_break("poison", "u3", "hielo")
    scene.settle()
    assert all(scene.refused("poison")) and not any(scene.refused("innocent"))


@pytest.mark.parametrize("accounts", [("hielo", "cupula"), ("", "")])
def test_two_that_break_the_same_upstreams_do_not_shield_each_other(scene, accounts):
    for number in range(poison_requests.UPSTREAMS_TO_BE_CERTAIN):
        assert not any(scene.refused("one") + scene.refused("two"))
        for fingerprint, account in zip(("one", "two"), accounts):
            scene.services[0].record_break(fingerprint, f"u{number}", account)
        scene.settle()
    assert all(scene.refused("one") + scene.refused("two"))


def test_a_whole_answer_clears_a_request(scene):
    scene.services[0].record_break("popular", "u1", "")
    scene.settle()
    scene.state.now += 1.0
    scene.services[1].record_answer("popular")
    scene.services[2].record_break("popular", "u2", "")
    scene.settle()
    assert not any(scene.refused("popular"))


def test_breaks_are_forgotten_and_bounded(scene):
    scene.services[0].record_break("rare", "u1", "hielo")
    scene.settle(poison_requests.SUSPECT_SECONDS + 1)
    scene.services[0].record_break("rare", "u2", "hielo")
    scene.settle()
    assert not any(scene.refused("rare"))
    for number in range(1000):
        scene.services[0].record_break(f"f{number}", "u1", "hielo")
    published = len(scene.boards[0].notice_by_key)
    assert published <= poison_requests.MAX_PUBLISHED + 2

"""Asking the host that decides: losses, successors and hosts that are gone."""

import pytest

from trefoilpin import claims, departed_hosts, issuers, table_transfers
from trefoilpin.answers import AnswerBounds
from trefoilpin.fakes import fleets, loops, writers
from trefoilpin.operation_messages import DIGEST_BYTES
from trefoilpin.records import Host

BOUNDS = issuers.IssuerBounds(100, 100, AnswerBounds(9000, 1_000_000, 900.0))
HOSTS = [Host(name, name, "a", "default", name, name) for name in ("h1", "h2", "h3")]


class Scene:
    """Three hosts on one lossy network."""

    def __init__(self):
        self.state = loops.LoopState(1)
        network = loops.create_network(self.state)
        self.views, self.kernels = [], []
        for host in HOSTS:
            kernel = loops.create_host_kernel(self.state)
            view = fleets.FleetView(host, HOSTS)
            kernel.register("memberships", fleets.create_memberships(view))
            peers = network.connect(host.peer_address, host.incarnation)
            kernel.register("peers", peers)
            departed_hosts.create(kernel, 10.0)
            kernel.register("metrics", writers.SILENT_METRICS)
            issuers.create(kernel, BOUNDS)
            table_transfers.create(kernel, BOUNDS, 2.0)
            claims.create(kernel)
            self.views.append(view)
            self.kernels.append(kernel)

    def claim(self, number, issuer="h1", key=b"k", count=1, seconds=1.0):
        service = self.kernels[number].find("claims")
        deadline = self.state.now + seconds
        attempt_id = f"h{number + 1}/{count}"
        digests = key.ljust(DIGEST_BYTES), b"f" * DIGEST_BYTES
        return service.claim(issuer, *digests, attempt_id, deadline).decision

    def waiting(self, number):
        return self.kernels[number].find("claims").outbox


@pytest.fixture
def scene():
    return Scene()


def test_a_lost_reply_is_asked_again(scene):
    scene.state.loss_share = 0.5
    assert scene.claim(1) == "granted"
    assert scene.waiting(1).size() == 0


def test_a_claim_given_up_is_reported_until_the_issuer_has_it(scene):
    scene.state.cut_pairs.add(("h1", "h2"))
    assert scene.claim(1) == "unreachable"
    assert scene.claim(2) == "running"
    assert not scene.waiting(1).deliver_once("h1")
    scene.state.cut_pairs.clear()
    assert scene.waiting(1).deliver_once("h1")
    assert scene.claim(2, count=2) == "granted"


def test_an_issuer_counts_as_gone_only_for_a_host_with_a_majority(scene):
    scene.state.dead.add("h1")
    assert scene.claim(1) == "unreachable"
    scene.views[1].absent.add("h1")
    scene.views[1].has_majority = False
    assert scene.claim(1, count=2) == "unreachable"
    scene.views[1].has_majority = True
    assert scene.claim(1, count=3) == "uncertain"
    assert scene.claim(1, issuer="ffffffffffffffff") == "uncertain"


def test_the_successor_is_found_and_remembered(scene):
    assert scene.claim(0, key=b"old") == "granted"
    transfers = scene.kernels[0].find("table_transfers")
    assert transfers.hand_over(HOSTS[1])
    assert scene.claim(2) == "granted"
    before = scene.state.calls
    assert scene.claim(2, key=b"new") == "granted"
    assert scene.state.calls == before + 1
    scene.state.dead.add("h1")
    for view in scene.views:
        view.successor_by_incarnation["h1"] = "h2"
    assert scene.claim(2, key=b"old", seconds=0.1) == "running"
    assert scene.claim(1, key=b"newer") == "granted"

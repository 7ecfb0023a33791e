"""Claims when messages are lost, tables move to a successor or the issuer is gone."""

import pytest

from trefoilpin import claims, departed_hosts, issuers, table_transfers
from trefoilpin.answers import AnswerBounds
from trefoilpin.fakes import fleets, loops, writers
from trefoilpin.operation_messages import DIGEST_BYTES
from trefoilpin.records import Host

BOUNDS = issuers.IssuerBounds(100, 100, AnswerBounds(9000, 1_000_000, 900.0))
HOSTS = [Host(name, name, "a", "default", name, name) for name in ("h1", "h2", "h3")]


class Cluster:
    """Three hosts on a simulated network that can lose messages."""

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

    def pending_reports(self, number):
        return self.kernels[number].find("claims").outbox


@pytest.fixture
def cluster():
    return Cluster()


def test_claim_is_retried_after_a_lost_reply(cluster):
    cluster.state.loss_share = 0.5
    assert cluster.claim(1) == "granted"
    assert cluster.pending_reports(1).size() == 0


def test_abandoned_claim_is_reported_until_delivered(cluster):
    cluster.state.cut_pairs.add(("h1", "h2"))
    assert cluster.claim(1) == "unreachable"
    assert cluster.claim(2) == "running"
    assert not cluster.pending_reports(1).deliver_once("h1")
    cluster.state.cut_pairs.clear()
    assert cluster.pending_reports(1).deliver_once("h1")
    assert cluster.claim(2, count=2) == "granted"


def test_issuer_counts_as_gone_only_on_a_host_with_a_majority(cluster):
    cluster.state.dead.add("h1")
    assert cluster.claim(1) == "unreachable"
    cluster.views[1].absent.add("h1")
    cluster.views[1].has_majority = False
    assert cluster.claim(1, count=2) == "unreachable"
    cluster.views[1].has_majority = True
    assert cluster.claim(1, count=3) == "uncertain"
    assert cluster.claim(1, issuer="ffffffffffffffff") == "uncertain"


def test_successor_of_an_issuer_is_found_and_remembered(cluster):
    assert cluster.claim(0, key=b"old") == "granted"
    transfers = cluster.kernels[0].find("table_transfers")
    assert transfers.hand_over(HOSTS[1])
    assert cluster.claim(2) == "granted"
    before = cluster.state.calls
    assert cluster.claim(2, key=b"new") == "granted"
    assert cluster.state.calls == before + 1
    cluster.state.dead.add("h1")
    for view in cluster.views:
        view.successor_by_incarnation["h1"] = "h2"
    assert cluster.claim(2, key=b"old", seconds=0.1) == "running"
    assert cluster.claim(1, key=b"newer") == "granted"

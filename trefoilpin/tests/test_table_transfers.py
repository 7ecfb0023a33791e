"""Transfers of key tables: complete or not at all, to one host, and bounded."""

import pytest

from trefoilpin import issuers, key_tables, table_transfers
from trefoilpin.answers import AnswerBounds
from trefoilpin.fakes import fleets, loops, writers
from trefoilpin.operation_messages import DIGEST_BYTES, Claim, Report, SavedAnswer
from trefoilpin.records import Host
from trefoilpin.services import DepartedHosts
from trefoilpin.verdicts import Verdict

BOUNDS = issuers.IssuerBounds(10_000, 5_000, AnswerBounds(9000, 1_000_000, 900.0))
HOSTS = [Host(name, name, "a", "default", name, name) for name in ("h1", "h2", "h3")]
FINGERPRINT = b"f" * DIGEST_BYTES
ANSWER = SavedAnswer(200, (), b"x" * 5000)


def pad_key(key):
    return key.ljust(DIGEST_BYTES)


def contents(table):
    return sorted(key_tables.rows(table)), table.cancelled_attempts


class Cluster:
    """Three hosts on a simulated network that can lose messages."""

    def __init__(self):
        self.state = loops.LoopState(1)
        network = loops.create_network(self.state)
        self.kernels = []
        for host in HOSTS:
            kernel = loops.create_host_kernel(self.state)
            memberships = fleets.create_memberships(fleets.FleetView(host, HOSTS))
            kernel.register("memberships", memberships)
            peers = network.connect(host.peer_address, host.incarnation)
            kernel.register("peers", peers)
            departed_hosts = DepartedHosts(memberships.find, lambda incarnation: True)
            kernel.register("departed_hosts", departed_hosts)
            kernel.register("metrics", writers.SILENT_METRICS)
            issuers.create(kernel, BOUNDS)
            table_transfers.create(kernel, BOUNDS, timeout_seconds=2.0)
            self.kernels.append(kernel)

    def claim(self, number, key, attempt_id, issuer="h1"):
        service = self.kernels[number].find("issuers")
        return service.claim(Claim(issuer, pad_key(key), FINGERPRINT, attempt_id))

    def fill(self, count):
        service = self.kernels[0].find("issuers")
        for number in range(count):
            key, attempt_id = pad_key(b"%d" % number), f"h9/{number}"
            service.claim(Claim("h1", key, FINGERPRINT, attempt_id))
            verdict = list(Verdict)[number % 3].value
            saved = ANSWER if number < 120 else None
            if number % 4:
                service.report(Report("h1", key, attempt_id, verdict, saved))

    def hand_over(self, number, to):
        service = self.kernels[number].find("table_transfers")
        return service.hand_over(HOSTS[to])

    def table(self, number):
        return self.kernels[number].find("issuers").state.table_by_issuer.get("h1")


@pytest.fixture
def cluster():
    return Cluster()


def test_all_rows_and_answers_arrive_despite_losses(cluster):
    cluster.fill(3500)
    before = contents(cluster.table(0))
    cluster.state.loss_share = 0.2
    assert cluster.hand_over(0, 1)
    assert contents(cluster.table(1)) == before
    assert cluster.claim(1, b"2", "h3/1").answer == ANSWER
    assert cluster.claim(0, b"new", "h3/1") == ("moved", "h2", None)


def test_aborted_transfer_does_not_mix_with_the_next_one(cluster):
    cluster.fill(600)
    peers = cluster.kernels[1].find("peers")
    serve_part = cluster.state.handler_by_method_by_address["h2"][table_transfers.PART]

    def take_first(sender, part):
        if part.number:
            return table_transfers.TableReply(False)
        return serve_part(sender, part)

    peers.serve(table_transfers.PART, take_first)
    assert not cluster.hand_over(0, 1)
    assert cluster.hand_over(0, 2)
    peers.serve(table_transfers.PART, serve_part)
    before = contents(cluster.table(2))
    assert cluster.hand_over(2, 1)
    assert contents(cluster.table(1)) == before


def test_table_can_be_transferred_on_but_not_back(cluster):
    cluster.fill(10)
    assert cluster.hand_over(0, 1) and cluster.hand_over(1, 2)
    assert cluster.claim(1, b"new", "h9/77").decision == "moved"
    assert cluster.claim(2, b"new", "h9/77").decision == "granted"
    assert cluster.hand_over(0, 1)
    assert cluster.claim(1, b"new", "h9/78").decision == "moved"
    assert cluster.claim(2, b"new", "h9/78").decision == "running"


def test_no_host_decides_when_a_part_is_missing(cluster):
    cluster.fill(2500)
    peers = cluster.kernels[1].find("peers")
    parts = []
    peers.serve(table_transfers.PART, lambda sender, part: take(part))

    def take(part):
        parts.append(part)
        return table_transfers.TableReply(True)

    assert not cluster.hand_over(0, 1)
    assert len(parts) > 1 and cluster.table(1) is None
    assert cluster.claim(0, b"new", "h9/1").decision == "moved"
    assert cluster.claim(1, b"new", "h9/1").decision == "absent"


def test_table_that_may_have_arrived_is_offered_to_no_other_host(cluster):
    cluster.fill(10)
    cluster.state.cut_pairs.add(("h2", "h1"))
    assert not cluster.hand_over(0, 1)
    assert cluster.hand_over(0, 2)
    cluster = Cluster()
    cluster.fill(10)
    service = cluster.kernels[0].find("table_transfers")
    assert service.hand_over(HOSTS[1]) and not service.hand_over(HOSTS[2])
    assert cluster.table(2) is None


def test_successor_that_is_stopping_is_replaced(cluster):
    cluster.fill(10)
    assert cluster.kernels[1].find("table_transfers").hand_over(None)
    assert not cluster.hand_over(0, 1)
    assert cluster.hand_over(0, 2)
    assert cluster.claim(2, b"new", "h9/1").decision == "granted"


def test_oldest_table_is_dropped_and_not_adopted_again(cluster):
    cluster.fill(5100)
    assert cluster.hand_over(0, 1)
    assert cluster.table(1) is None
    assert cluster.hand_over(0, 1) and cluster.table(1) is None
    assert cluster.claim(1, b"new", "h3/1").decision == "absent"


def test_decisions_end_without_a_successor_too(cluster):
    cluster.fill(1)
    service = cluster.kernels[0].find("table_transfers")
    assert not service.hand_over(None)
    assert cluster.claim(0, b"new", "h3/1").decision == "moved"

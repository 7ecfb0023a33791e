"""Hand-over: whole or not at all, once, and bounded."""

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
SHAPE = b"f" * DIGEST_BYTES
ANSWER = SavedAnswer(200, (), b"x" * 5000)


def widen(key):
    return key.ljust(DIGEST_BYTES)


def contents(table):
    return sorted(key_tables.rows(table)), table.cancelled_attempts


class Scene:
    """Three hosts on one lossy network."""

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
            table_transfers.create(kernel, BOUNDS, patience=2.0)
            self.kernels.append(kernel)

    def claim(self, number, key, attempt_id, issuer="h1"):
        service = self.kernels[number].find("issuers")
        return service.claim(Claim(issuer, widen(key), SHAPE, attempt_id))

    def fill(self, count):
        service = self.kernels[0].find("issuers")
        for number in range(count):
            key, attempt_id = widen(b"%d" % number), f"h9/{number}"
            service.claim(Claim("h1", key, SHAPE, attempt_id))
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
def scene():
    return Scene()


def test_every_row_and_answer_arrives_through_losses(scene):
    scene.fill(3500)
    before = contents(scene.table(0))
    scene.state.loss_share = 0.2
    assert scene.hand_over(0, 1)
    assert contents(scene.table(1)) == before
    assert scene.claim(1, b"2", "h3/1").answer == ANSWER
    assert scene.claim(0, b"new", "h3/1") == ("moved", "h2", None)


def test_an_attempt_broken_off_does_not_mix_with_the_next(scene):
    scene.fill(600)
    peers = scene.kernels[1].find("peers")
    serve_part = scene.state.handler_by_method_by_address["h2"][table_transfers.PART]

    def take_first(sender, part):
        if part.number:
            return table_transfers.TableReply(False)
        return serve_part(sender, part)

    peers.serve(table_transfers.PART, take_first)
    assert not scene.hand_over(0, 1)
    assert scene.hand_over(0, 2)
    peers.serve(table_transfers.PART, serve_part)
    before = contents(scene.table(2))
    assert scene.hand_over(2, 1)
    assert contents(scene.table(1)) == before


def test_chains_go_on_and_nothing_comes_back(scene):
    scene.fill(10)
    assert scene.hand_over(0, 1) and scene.hand_over(1, 2)
    assert scene.claim(1, b"new", "h9/77").decision == "moved"
    assert scene.claim(2, b"new", "h9/77").decision == "granted"
    assert scene.hand_over(0, 1)
    assert scene.claim(1, b"new", "h9/78").decision == "moved"
    assert scene.claim(2, b"new", "h9/78").decision == "running"


def test_nobody_decides_when_a_part_is_missing(scene):
    scene.fill(2500)
    peers = scene.kernels[1].find("peers")
    parts = []
    peers.serve(table_transfers.PART, lambda sender, part: take(part))

    def take(part):
        parts.append(part)
        return table_transfers.TableReply(True)

    assert not scene.hand_over(0, 1)
    assert len(parts) > 1 and scene.table(1) is None
    assert scene.claim(0, b"new", "h9/1").decision == "moved"
    assert scene.claim(1, b"new", "h9/1").decision == "absent"


def test_a_table_that_may_have_arrived_goes_nowhere_else(scene):
    scene.fill(10)
    scene.state.cut_pairs.add(("h2", "h1"))
    assert not scene.hand_over(0, 1)
    assert scene.hand_over(0, 2)
    scene = Scene()
    scene.fill(10)
    service = scene.kernels[0].find("table_transfers")
    assert service.hand_over(HOSTS[1]) and not service.hand_over(HOSTS[2])
    assert scene.table(2) is None


def test_a_successor_that_stops_itself_is_replaced(scene):
    scene.fill(10)
    assert scene.kernels[1].find("table_transfers").hand_over(None)
    assert not scene.hand_over(0, 1)
    assert scene.hand_over(0, 2)
    assert scene.claim(2, b"new", "h9/1").decision == "granted"


def test_the_oldest_table_is_dropped_and_not_taken_again(scene):
    scene.fill(5100)
    assert scene.hand_over(0, 1)
    assert scene.table(1) is None
    assert scene.hand_over(0, 1) and scene.table(1) is None
    assert scene.claim(1, b"new", "h3/1").decision == "absent"


def test_without_a_successor_decisions_end_too(scene):
    scene.fill(1)
    service = scene.kernels[0].find("table_transfers")
    assert not service.hand_over(None)
    assert scene.claim(0, b"new", "h3/1").decision == "moved"

"""Keys that the store decides on: lost replies, late writes, call budget and sweep."""

import pytest
from returns.result import Failure

from trefoilpin import claim_codecs, opaque_keys
from trefoilpin.fakes import fleets, loops
from trefoilpin.operation_messages import Report, SavedAnswer
from trefoilpin.records import Host
from trefoilpin.services import DepartedHosts, StoreFailure, StoreOutcome
from trefoilpin.verdicts import Verdict

HOSTS = [Host(name, name, "a", "default", name, name) for name in ("h1", "h2")]
DAYS = 7.0
DAY_SECONDS = 86_400.0
ANSWER = SavedAnswer(201, (("a", "b"),), b"\xff\x00")


class Cluster:
    """Two hosts with one store."""

    def __init__(self):
        self.state = loops.LoopState(1)
        self.store, self.faults, self.objects = loops.create_store(self.state)
        self.lossy_create = False
        self.running = {"h1", "h2"}
        self.services = []
        for host in HOSTS:
            kernel = loops.create_host_kernel(self.state)
            view = fleets.FleetView(host, HOSTS)
            kernel.register("memberships", fleets.create_memberships(view))
            kernel.register("store", self.store._replace(create=self.create))
            departed = DepartedHosts(lambda name: None, self.running.__contains__)
            kernel.register("departed_hosts", departed)
            bounds = opaque_keys.OpaqueBounds(20.0, DAYS)
            service = opaque_keys.create(
                kernel, bounds, claim_codecs.encode, claim_codecs.decode
            )
            self.services.append(service)

    def create(self, path, value):
        created = self.store.create(path, value)
        if self.lossy_create:
            return Failure(StoreFailure(StoreOutcome.UNKNOWN, "timeout"))
        return created

    def claim(self, number, count=1, key=b"k", fingerprint=b"f"):
        attempt_id = f"h{number + 1}/{count}"
        deadline = self.state.now + 1.0
        reply = self.services[number].claim(key, fingerprint, attempt_id, deadline)
        return reply.decision

    def report(self, number, verdict, count=1, answer=None, key=b"k"):
        message = Report("", key, f"h{number + 1}/{count}", verdict.value, answer)
        self.services[number].report(message)
        return self.deliver(number)

    def deliver(self, number):
        outbox = self.services[number].outbox
        for destination in outbox.destinations():
            while outbox.deliver_once(destination):
                pass
        return outbox.size() == 0


@pytest.fixture
def cluster():
    return Cluster()


def test_one_claim_is_granted_and_the_other_gets_the_answer(cluster):
    assert cluster.claim(0) == "granted"
    assert cluster.claim(1) == "running"
    assert cluster.report(0, Verdict.RAN, answer=ANSWER)
    deadline = cluster.state.now + 1
    reply = cluster.services[1].claim(b"k", b"f", "h2/2", deadline)
    assert (reply.decision, reply.answer) == ("ran", ANSWER)
    assert cluster.claim(1, 3, fingerprint=b"g") == "reused"


def test_key_is_granted_again_only_after_not_run(cluster):
    assert cluster.claim(0) == "granted"
    cluster.running.discard("h1")
    assert cluster.claim(1) == "uncertain"
    assert cluster.report(0, Verdict.NOT_RUN)
    assert cluster.claim(1, 2) == "granted"
    assert cluster.report(1, Verdict.MAY_HAVE_RUN, 2)
    assert cluster.claim(0, 3) == "uncertain"


def test_claim_with_a_lost_reply_is_read_back(cluster):
    cluster.lossy_create = True
    assert cluster.claim(0) == "granted"
    assert cluster.claim(1) == "running"


def test_create_that_takes_effect_late_holds_nothing(cluster):
    cluster.faults.down = True
    assert cluster.claim(0) == "unreachable"
    cluster.faults.down = False
    assert cluster.deliver(0)
    late = claim_codecs.encode(opaque_keys.StoredClaim("h1/1", "66", "g", 0.0))
    created = cluster.store.create("operations/" + b"k".hex(), late)
    assert created.failure().conflict
    assert cluster.claim(1) == "granted"


def test_calls_to_the_store_stay_within_the_budget(cluster):
    for number in range(100):
        cluster.claim(0, number, key=b"%d" % number)
    calls = sum(cluster.objects.state.calls_by_kind.values())
    assert calls <= opaque_keys.BURST_CALLS
    cluster.state.now += 10.0
    assert cluster.claim(0, 200, key=b"later") == "granted"


def test_claims_are_swept_only_after_their_days(cluster):
    for number in range(5):
        cluster.claim(0, number, key=b"%d" % number)
    sweep = [service.sweep_once for service in cluster.services]
    cluster.state.now += DAYS * DAY_SECONDS
    assert sweep[0]() + sweep[1]() == 0
    cluster.state.now += DAY_SECONDS
    swept = [sweep[0]() + sweep[1]() for _ in range(2)]
    assert sum(swept) == 5
    assert cluster.claim(1, 9, key=b"0") == "granted"


def test_claims_are_equal_after_encoding_and_decoding():
    for answer in (None, ANSWER):
        claim = opaque_keys.StoredClaim("h1/1", "66", "r", 1.5, answer)
        assert claim_codecs.decode(claim_codecs.encode(claim)) == claim

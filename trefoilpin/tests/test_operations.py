"""Keys from the header to the verdict, on several hosts over a loop of tasks."""

import pytest
from returns.result import Success

from bench.at_most_once import check_history, claim_nothing, count_all
from trefoilpin import operations
from trefoilpin.fakes import writers
from trefoilpin.messages import OperationKey
from trefoilpin.records import ClientAccount
from trefoilpin.verdicts import Reason, Verdict

ACCOUNT = ClientAccount("hielo", 1.0, 1.0)


class Scene:
    """A fleet, the outcome of each send, and what ran."""

    def __init__(self, size=3):
        self.fleet = writers.create_fleet(1, size)
        self.names = list(self.fleet.host_by_incarnation)
        self.outcomes = []

    def host(self, number):
        return self.fleet.host_by_incarnation[self.names[number]]

    def send(self, number, key, text="order", account="hielo", delay=0.0):
        position = len(self.outcomes)
        self.outcomes.append(None)
        now = self.fleet.state.now
        sent = writers.request(f"r{position}", account, key, text, now + delay)

        def handle():
            handled = self.host(number).kernel.find("proxies").handle(sent)
            self.outcomes[position] = handled

        return self.fleet.tasks.spawn(self.names[number], delay, handle)

    def run(self, seconds=20.0):
        self.fleet.tasks.run(self.fleet.state.now + seconds)

    def reason(self, position):
        return self.outcomes[position].failure().reason

    def runs(self):
        return sum(map(len, self.fleet.upstream_state.bodies_by_operation.values()))


@pytest.mark.parametrize("kind", ["issued", "opaque"])
def test_sends_at_the_same_time_through_all_hosts_run_once(kind):
    scene = Scene()
    key = f"{scene.names[0]}.1" if kind == "issued" else "order-1"
    for number in range(3):
        scene.send(number, key)
    scene.run()
    assert scene.runs() == 1
    assert len({outcome.unwrap().body for outcome in scene.outcomes}) == 1


def test_a_key_is_scoped_to_its_account():
    scene = Scene()
    key = f"{scene.names[0]}.1"
    scene.send(0, key)
    scene.run()
    scene.send(1, key, account="cupula")
    scene.send(2, key, text="another")
    scene.run()
    assert isinstance(scene.outcomes[1], Success)
    assert scene.outcomes[1].unwrap().body != scene.outcomes[0].unwrap().body
    assert scene.reason(2) is Reason.OPERATION_KEY_REUSED


def test_issuer_out_of_reach_is_refused_as_not_run():
    scene = Scene()
    scene.fleet.state.frozen.add(scene.names[0])
    scene.send(1, f"{scene.names[0]}.1")
    scene.run()
    refusal = scene.outcomes[0].failure()
    assert refusal.reason is Reason.ISSUER_UNREACHABLE
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after
    scene.fleet.state.frozen.clear()
    scene.run()
    scene.send(2, f"{scene.names[0]}.1")
    scene.run()
    assert isinstance(scene.outcomes[1], Success)


def test_a_crashed_issuer_leaves_its_keys_uncertain_for_ever():
    scene = Scene()
    scene.fleet.state.dead.add(scene.names[0])
    for number in (1, 2):
        scene.host(number).view.absent.add(scene.names[0])
        scene.send(number, f"{scene.names[0]}.1")
    scene.run()
    assert scene.reason(0) is scene.reason(1) is Reason.OPERATION_UNCERTAIN
    assert scene.runs() == 0


def test_an_entry_host_that_wakes_with_an_old_grant_does_not_double():
    scene = Scene()
    key = f"{scene.names[0]}.1"
    scene.send(1, key)
    scene.run(0.012)
    scene.fleet.state.frozen.add(scene.names[1])
    scene.host(0).view.absent.add(scene.names[1])
    scene.send(2, key, delay=5.0)
    scene.run()
    assert scene.reason(1) is Reason.OPERATION_UNCERTAIN
    scene.fleet.state.frozen.clear()
    scene.run()
    scene.send(2, key)
    scene.run()
    assert scene.runs() == 1 and isinstance(scene.outcomes[2], Success)


def test_a_planned_stop_gives_the_table_to_the_successor():
    scene = Scene()
    key = f"{scene.names[0]}.1"
    scene.send(0, key)
    scene.run()
    stopping, successor = scene.host(0), scene.host(1)
    handed = []

    def hand_over():
        operations_service = stopping.kernel.find("operations")
        handed.append(operations_service.hand_over(successor.host))

    scene.fleet.tasks.spawn(scene.names[0], 0.0, hand_over)
    scene.send(2, key, delay=1.0)
    scene.send(2, f"{scene.names[0]}.2", delay=1.0)
    scene.run()
    assert handed == [True]
    assert scene.outcomes[1].unwrap() == scene.outcomes[0].unwrap()
    assert isinstance(scene.outcomes[2], Success) and scene.runs() == 2


def test_a_cancelled_send_leaves_its_key_uncertain_once_it_was_sent():
    scene = Scene()
    key = f"{scene.names[0]}.1"
    task = scene.send(1, key)
    scene.run(0.1)
    scene.fleet.tasks.cancel(task)
    scene.run()
    scene.send(2, key)
    scene.run()
    assert scene.reason(1) is Reason.OPERATION_UNCERTAIN
    assert scene.runs() <= 1


def test_store_down_refuses_opaque_keys_as_not_run():
    scene = Scene()
    scene.fleet.store_faults.down = True
    scene.send(0, "order-1")
    scene.run()
    refusal = scene.outcomes[0].failure()
    assert refusal.reason is Reason.STORE_UNAVAILABLE
    assert refusal.verdict is Verdict.NOT_RUN
    scene.fleet.store_faults.down = False
    scene.run()
    scene.send(1, "order-1")
    scene.run()
    assert isinstance(scene.outcomes[1], Success) and scene.runs() == 1


def test_the_form_of_a_key_alone_tells_who_decides():
    service = Scene().host(0).kernel.find("operations")

    def parse(text):
        sent = writers.request("r", "hielo", text, "order", 0.0)
        return service.parse(ACCOUNT, sent)

    assert parse("0123456789abcdef.7").unwrap().issuer == "0123456789abcdef"
    assert parse('"5f2c7a10-0a3d"').unwrap().issuer == ""
    assert parse("order.0123456789abcdef").unwrap().issuer == ""
    assert parse(None) == Success(None)
    for text in ("", "x" * 256, "ключ", "a\x01b"):
        assert parse(text).failure().reason is Reason.BAD_REQUEST


def test_a_route_can_require_a_key():
    service = Scene().host(0).kernel.find("operations")
    route = writers.ROUTE._replace(key_required=True)
    refused = service.begin(None, route, ACCOUNT, 1e9)
    assert refused.failure() == operations.REQUIRED
    sent = writers.request("r", "hielo", None, "order", 0.0)
    shape = operations.fingerprint(ACCOUNT, sent)
    assert shape != operations.fingerprint(None, sent)
    assert isinstance(OperationKey("", "k", shape), tuple)


def test_drawn_histories():
    counts = count_all(range(3000, 3120))
    assert counts["histories"] == 120 and counts["runs"] > 300
    for violation in ("doubled", "untrue", "differing", "refused"):
        assert counts[violation] == 0, violation


def test_histories_show_a_double_when_nobody_decides():
    assert check_history(3, writers.Variant(claim_nothing))["doubled"] > 0

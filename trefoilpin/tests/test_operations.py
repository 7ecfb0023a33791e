"""Idempotency keys from the request header to the verdict, on simulated hosts."""

import pytest
from returns.result import Success

from bench.at_most_once import check_history, count_all, grant_every_claim
from trefoilpin import operations
from trefoilpin.fakes import writers
from trefoilpin.messages import OperationKey
from trefoilpin.records import ClientAccount
from trefoilpin.verdicts import Reason, Verdict

ACCOUNT = ClientAccount("hielo", 1.0, 1.0)


class WriteScenario:
    """A simulated fleet, and the outcome of each send in order."""

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
        write = writers.request(f"r{position}", account, key, text, now + delay)

        def handle():
            handled = self.host(number).kernel.find("proxies").handle(write)
            self.outcomes[position] = handled

        return self.fleet.tasks.spawn(self.names[number], delay, handle)

    def run(self, seconds=20.0):
        self.fleet.tasks.run(self.fleet.state.now + seconds)

    def reason(self, position):
        return self.outcomes[position].failure().reason

    def runs(self):
        return sum(map(len, self.fleet.upstream_state.bodies_by_operation.values()))


@pytest.mark.parametrize("kind", ["issued", "opaque"])
def test_concurrent_sends_through_all_hosts_run_once(kind):
    scenario = WriteScenario()
    key = f"{scenario.names[0]}.1" if kind == "issued" else "order-1"
    for number in range(3):
        scenario.send(number, key)
    scenario.run()
    assert scenario.runs() == 1
    assert len({outcome.unwrap().body for outcome in scenario.outcomes}) == 1


def test_key_is_scoped_to_its_account():
    scenario = WriteScenario()
    key = f"{scenario.names[0]}.1"
    scenario.send(0, key)
    scenario.run()
    scenario.send(1, key, account="cupula")
    scenario.send(2, key, text="another")
    scenario.run()
    assert isinstance(scenario.outcomes[1], Success)
    assert scenario.outcomes[1].unwrap().body != scenario.outcomes[0].unwrap().body
    assert scenario.reason(2) is Reason.OPERATION_KEY_REUSED


def test_unreachable_issuer_is_refused_as_not_run():
    scenario = WriteScenario()
    scenario.fleet.state.frozen.add(scenario.names[0])
    scenario.send(1, f"{scenario.names[0]}.1")
    scenario.run()
    refusal = scenario.outcomes[0].failure()
    assert refusal.reason is Reason.ISSUER_UNREACHABLE
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after
    scenario.fleet.state.frozen.clear()
    scenario.run()
    scenario.send(2, f"{scenario.names[0]}.1")
    scenario.run()
    assert isinstance(scenario.outcomes[1], Success)


def test_keys_of_a_crashed_issuer_stay_uncertain():
    scenario = WriteScenario()
    scenario.fleet.state.dead.add(scenario.names[0])
    for number in (1, 2):
        scenario.host(number).view.absent.add(scenario.names[0])
        scenario.send(number, f"{scenario.names[0]}.1")
    scenario.run()
    assert scenario.reason(0) is scenario.reason(1) is Reason.OPERATION_UNCERTAIN
    assert scenario.runs() == 0


def test_entry_host_that_resumes_with_an_old_grant_causes_no_second_run():
    scenario = WriteScenario()
    key = f"{scenario.names[0]}.1"
    scenario.send(1, key)
    scenario.run(0.012)
    scenario.fleet.state.frozen.add(scenario.names[1])
    scenario.host(0).view.absent.add(scenario.names[1])
    scenario.send(2, key, delay=5.0)
    scenario.run()
    assert scenario.reason(1) is Reason.OPERATION_UNCERTAIN
    scenario.fleet.state.frozen.clear()
    scenario.run()
    scenario.send(2, key)
    scenario.run()
    assert scenario.runs() == 1 and isinstance(scenario.outcomes[2], Success)


def test_planned_stop_transfers_the_table_to_the_successor():
    scenario = WriteScenario()
    key = f"{scenario.names[0]}.1"
    scenario.send(0, key)
    scenario.run()
    stopping, successor = scenario.host(0), scenario.host(1)
    results = []

    def hand_over():
        operations_service = stopping.kernel.find("operations")
        results.append(operations_service.hand_over(successor.host))

    scenario.fleet.tasks.spawn(scenario.names[0], 0.0, hand_over)
    scenario.send(2, key, delay=1.0)
    scenario.send(2, f"{scenario.names[0]}.2", delay=1.0)
    scenario.run()
    assert results == [True]
    assert scenario.outcomes[1].unwrap() == scenario.outcomes[0].unwrap()
    assert isinstance(scenario.outcomes[2], Success) and scenario.runs() == 2


def test_key_of_a_send_cancelled_after_the_write_is_uncertain():
    scenario = WriteScenario()
    key = f"{scenario.names[0]}.1"
    task = scenario.send(1, key)
    scenario.run(0.1)
    scenario.fleet.tasks.cancel(task)
    scenario.run()
    scenario.send(2, key)
    scenario.run()
    assert scenario.reason(1) is Reason.OPERATION_UNCERTAIN
    assert scenario.runs() <= 1


def test_opaque_keys_are_refused_as_not_run_while_the_store_is_down():
    scenario = WriteScenario()
    scenario.fleet.store_faults.down = True
    scenario.send(0, "order-1")
    scenario.run()
    refusal = scenario.outcomes[0].failure()
    assert refusal.reason is Reason.STORE_UNAVAILABLE
    assert refusal.verdict is Verdict.NOT_RUN
    scenario.fleet.store_faults.down = False
    scenario.run()
    scenario.send(1, "order-1")
    scenario.run()
    assert isinstance(scenario.outcomes[1], Success) and scenario.runs() == 1


def test_form_of_a_key_determines_its_issuer():
    service = WriteScenario().host(0).kernel.find("operations")

    def parse(text):
        write = writers.request("r", "hielo", text, "order", 0.0)
        return service.parse(ACCOUNT, write)

    assert parse("0123456789abcdef.7").unwrap().issuer == "0123456789abcdef"
    assert parse('"5f2c7a10-0a3d"').unwrap().issuer == ""
    assert parse("order.0123456789abcdef").unwrap().issuer == ""
    assert parse(None) == Success(None)
    for text in ("", "x" * 256, "ключ", "a\x01b"):
        assert parse(text).failure().reason is Reason.BAD_REQUEST


def test_route_can_require_a_key():
    service = WriteScenario().host(0).kernel.find("operations")
    route = writers.ROUTE._replace(key_required=True)
    refused = service.begin(None, route, ACCOUNT, 1e9)
    assert refused.failure() == operations.KEY_REQUIRED
    write = writers.request("r", "hielo", None, "order", 0.0)
    digest = operations.fingerprint(ACCOUNT, write)
    assert digest != operations.fingerprint(None, write)
    assert isinstance(OperationKey("", "k", digest), tuple)


def test_random_histories_have_no_violations():
    counts = count_all(range(3000, 3120))
    assert counts["histories"] == 120 and counts["runs"] > 300
    for violation in ("doubled", "untrue", "differing", "refused"):
        assert counts[violation] == 0, violation


def test_random_histories_detect_double_runs_without_claims():
    assert check_history(3, writers.Variant(grant_every_claim))["doubled"] > 0

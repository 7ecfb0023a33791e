"""Admission: reasons of refusals, bounded waits, tokens dropped on a change."""

import pytest
from returns.result import Failure, Success

from trefoilpin.fakes.limit_fleets import apply_ticket, create_limit_fleet
from trefoilpin.limit_messages import Terms
from trefoilpin.records import ClientAccount
from trefoilpin.verdicts import Reason, Verdict

TERMS = Terms(hold=4.0)
ACCOUNT = ClientAccount("a", 20.0, 20.0)


class Setup:
    """Three hosts, and requests to any of them."""

    def __init__(self, max_wait=0.25):
        accounts = (ACCOUNT,)
        self.fleet = create_limit_fleet(1, 3, accounts, TERMS, 6, 3, max_wait)
        self.run(15.0)
        hosts = self.host("h00").kernel.find("memberships").ranked("limits/a")
        self.order = [host.incarnation for host in hosts]

    def host(self, name):
        return self.fleet.host_by_incarnation[name]

    def run(self, seconds):
        self.fleet.tasks.run(self.fleet.loop.now + seconds)

    def admit(self, name, count=1, deadline=10.0):
        """Send requests at once; return what became of them, with the delay."""
        outcomes = []
        limits = self.host(name).kernel.find("limits")

        def request():
            started = self.fleet.loop.now
            outcome = limits.admit(ACCOUNT, started + deadline)
            outcomes.append((outcome, self.fleet.loop.now - started))

        for _ in range(count):
            self.fleet.tasks.spawn(name, request)
        self.run(1.0)
        return outcomes


@pytest.fixture
def setup():
    return Setup()


def test_a_host_that_is_not_current_spends_nothing(setup):
    assert isinstance(setup.admit(setup.order[1])[0][0], Success)
    setup.host(setup.order[1]).view.is_current = False
    refusal = setup.admit(setup.order[1])[0][0].failure()
    assert (refusal.reason, refusal.verdict) == (Reason.NOT_CURRENT, Verdict.NOT_RUN)


def test_over_the_rate_the_refusal_says_when_to_come_back(setup):
    outcomes = setup.admit(setup.order[0], 100)
    refused = [item for item, _ in outcomes if isinstance(item, Failure)]
    assert 60 < len(refused) < 80
    assert {item.failure().reason for item in refused} == {Reason.RATE_EXCEEDED}
    assert all(0 < item.failure().retry_after <= 1 for item in refused)
    assert max(delay for _, delay in outcomes) <= 0.5


def test_an_account_whose_owners_hold_nothing_is_told_so(setup):
    for name in setup.order:
        setup.host(name).faults.down = True
        setup.host(name).view.has_majority = False
    setup.run(10.0)
    setup.admit(setup.order[2])
    refusal = setup.admit(setup.order[2])[0][0].failure()
    assert refusal.reason is Reason.NOT_CURRENT


def test_an_owner_that_does_not_answer_is_skipped(setup):
    setup.admit(setup.order[2])
    setup.fleet.loop.dead.add(setup.order[0])
    setup.run(3.0)
    setup.admit(setup.order[2])
    setup.run(2.0)
    assert isinstance(setup.admit(setup.order[2])[0][0], Success)


def test_most_requests_need_no_message(setup):
    for _ in range(20):
        setup.admit(setup.order[1])
    calls = setup.fleet.loop.calls
    setup.admit(setup.order[0], 10)
    renewals = 1.0 / TERMS.loan * 3 * 3 + 3
    assert setup.fleet.loop.calls - calls <= renewals


def test_reserved_tokens_are_dropped_when_the_rate_changes(setup):
    name = setup.order[1]
    limits = setup.host(name).kernel.find("limits")
    granted = []

    def spend_all():
        for _ in range(15):
            limits.admit(ACCOUNT, setup.fleet.loop.now + 1.0)
            setup.fleet.tasks.sleep(0.03)
        limits.admit(ACCOUNT, setup.fleet.loop.now + 1.0)
        apply_ticket(setup.fleet, ACCOUNT._replace(rate=0.01, burst=1.0), 0.0)
        setup.fleet.tasks.sleep(0.001)
        for _ in range(10):
            outcome = limits.admit(ACCOUNT, setup.fleet.loop.now + 0.001)
            granted.append(isinstance(outcome, Success))

    setup.fleet.tasks.spawn(name, spend_all)
    setup.run(5.0)
    assert len(granted) == 10 and sum(granted) <= 1


def test_waits_end_at_the_deadline():
    setup = Setup(max_wait=5.0)
    setup.admit(setup.order[0], 20, deadline=0.01)
    outcomes = setup.admit(setup.order[0], 60, deadline=0.3)
    assert max(delay for _, delay in outcomes) <= 0.3 + 1e-6

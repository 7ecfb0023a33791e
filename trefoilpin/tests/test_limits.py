"""Rate limit admission: refusal reasons, bounded waits, drops on a rate change."""

import pytest
from returns.result import Failure, Success

from trefoilpin.fakes.limit_fleets import apply_ticket, create_limit_fleet
from trefoilpin.limit_messages import LimitDurations
from trefoilpin.records import ClientAccount
from trefoilpin.verdicts import Reason, Verdict

DURATIONS = LimitDurations(holding_seconds=4.0)
ACCOUNT = ClientAccount("a", 20.0, 20.0)


class LimitSetup:
    """A fleet of three hosts that all admit requests."""

    def __init__(self, max_wait=0.25):
        accounts = (ACCOUNT,)
        self.fleet = create_limit_fleet(1, 3, accounts, DURATIONS, 6, 3, max_wait)
        self.run(15.0)
        hosts = self.host("h00").kernel.find("memberships").ranked("limits/a")
        self.ranked_hosts = [host.incarnation for host in hosts]

    def host(self, name):
        return self.fleet.host_by_incarnation[name]

    def run(self, seconds):
        self.fleet.tasks.run(self.fleet.loop.now + seconds)

    def admit(self, name, count=1, deadline=10.0):
        """Send requests concurrently; return the outcome and the delay of each."""
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
    return LimitSetup()


def test_host_that_is_not_current_refuses(setup):
    assert isinstance(setup.admit(setup.ranked_hosts[1])[0][0], Success)
    setup.host(setup.ranked_hosts[1]).view.is_current = False
    refusal = setup.admit(setup.ranked_hosts[1])[0][0].failure()
    assert (refusal.reason, refusal.verdict) == (Reason.NOT_CURRENT, Verdict.NOT_RUN)


def test_refusal_over_the_rate_has_retry_after(setup):
    outcomes = setup.admit(setup.ranked_hosts[0], 100)
    refused = [outcome for outcome, _ in outcomes if isinstance(outcome, Failure)]
    assert 60 < len(refused) < 80
    assert {outcome.failure().reason for outcome in refused} == {Reason.RATE_EXCEEDED}
    assert all(0 < outcome.failure().retry_after <= 1 for outcome in refused)
    assert max(delay for _, delay in outcomes) <= 0.5


def test_account_is_refused_while_its_owners_have_no_units(setup):
    for name in setup.ranked_hosts:
        setup.host(name).faults.down = True
        setup.host(name).view.has_majority = False
    setup.run(10.0)
    setup.admit(setup.ranked_hosts[2])
    refusal = setup.admit(setup.ranked_hosts[2])[0][0].failure()
    assert refusal.reason is Reason.NOT_CURRENT


def test_unresponsive_owner_is_skipped(setup):
    setup.admit(setup.ranked_hosts[2])
    setup.fleet.loop.dead.add(setup.ranked_hosts[0])
    setup.run(3.0)
    setup.admit(setup.ranked_hosts[2])
    setup.run(2.0)
    assert isinstance(setup.admit(setup.ranked_hosts[2])[0][0], Success)


def test_most_requests_are_admitted_without_a_message(setup):
    for _ in range(20):
        setup.admit(setup.ranked_hosts[1])
    calls = setup.fleet.loop.calls
    setup.admit(setup.ranked_hosts[0], 10)
    renewals = 1.0 / DURATIONS.loan_seconds * 3 * 3 + 3
    assert setup.fleet.loop.calls - calls <= renewals


def test_reserved_tokens_are_dropped_on_a_rate_change(setup):
    name = setup.ranked_hosts[1]
    limits = setup.host(name).kernel.find("limits")
    admitted_flags = []

    def spend_and_change_rate():
        for _ in range(15):
            limits.admit(ACCOUNT, setup.fleet.loop.now + 1.0)
            setup.fleet.tasks.sleep(0.03)
        limits.admit(ACCOUNT, setup.fleet.loop.now + 1.0)
        apply_ticket(setup.fleet, ACCOUNT._replace(rate=0.01, burst=1.0), 0.0)
        setup.fleet.tasks.sleep(0.001)
        for _ in range(10):
            outcome = limits.admit(ACCOUNT, setup.fleet.loop.now + 0.001)
            admitted_flags.append(isinstance(outcome, Success))

    setup.fleet.tasks.spawn(name, spend_and_change_rate)
    setup.run(5.0)
    assert len(admitted_flags) == 10 and sum(admitted_flags) <= 1


def test_waiting_ends_at_the_deadline():
    setup = LimitSetup(max_wait=5.0)
    setup.admit(setup.ranked_hosts[0], 20, deadline=0.01)
    outcomes = setup.admit(setup.ranked_hosts[0], 60, deadline=0.3)
    assert max(delay for _, delay in outcomes) <= 0.3 + 1e-6

"""Units have one borrower at a time, and are lent again only after its loan expired."""

import pytest

from trefoilpin import configurations, unit_lenders
from trefoilpin.fakes.fleets import FleetView, create_memberships
from trefoilpin.fakes.loops import LoopState, create_host_kernel, create_network
from trefoilpin.hashes import rank
from trefoilpin.limit_messages import LimitDurations, LoanRequest, ReturnedAccount
from trefoilpin.records import ChangeTicket, ClientAccount, Host, ObjectChange
from trefoilpin.services import UnitHoldings

DURATIONS = LimitDurations()
HIGHER_RANKED, LOWER_RANKED = rank("limits/a", ("b1", "b2"))
HOSTS = [Host(name, name, "a", "r", name, name) for name in ("own", "b1", "b2")]


class LenderSetup:
    """A lender that holds half of all units."""

    def __init__(self):
        self.loop = LoopState(1)
        self.units = 2
        self.since = self.loop.now
        self.view = FleetView(HOSTS[0], HOSTS)
        kernel = create_host_kernel(self.loop)
        kernel.register("memberships", create_memberships(self.view))
        kernel.register("peers", create_network(self.loop).connect("own", "own"))
        service = UnitHoldings(
            lambda: self.units, lambda: 4, lambda: self.since, None, None
        )
        kernel.register("unit_holdings", service)
        self.configurations = configurations.create(kernel)
        self.service = unit_lenders.create(kernel, DURATIONS)
        self.sequence = 0
        self.tickets = 0
        self.put_account(ClientAccount("a", 10.0, 40.0))

    def put_account(self, account):
        self.tickets += 1
        change = ObjectChange("account", "a", account)
        self.configurations.apply(ChangeTicket(self.tickets, "", (change,)))

    def request_loan(self, sender, wanted=("a",), returned=(), sequence=None):
        self.sequence += 1
        request = LoanRequest(
            sequence or self.sequence, DURATIONS.loan_use_seconds, wanted, returned
        )
        return self.service.handle(sender, request)

    def wait(self, seconds):
        self.loop.now += seconds


@pytest.fixture
def setup():
    return LenderSetup()


def test_loan_includes_the_accrued_tokens(setup):
    setup.wait(1.0)
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 5.0),)
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 0.0),)


def test_units_are_lent_again_only_after_expiry(setup):
    setup.wait(100.0)
    assert setup.request_loan(LOWER_RANKED).lent == (("a", 20.0),)
    assert setup.request_loan(HIGHER_RANKED).lent == ()
    setup.wait(DURATIONS.loan_lapse_seconds - 0.01)
    assert setup.request_loan(HIGHER_RANKED).lent == ()
    setup.wait(0.02)
    level = setup.request_loan(HIGHER_RANKED).lent[0].level
    assert level == pytest.approx(0.01 * 5)


def test_lower_ranked_host_waits_while_the_loan_is_renewed(setup):
    setup.request_loan(HIGHER_RANKED)
    for _ in range(10):
        setup.wait(DURATIONS.loan_seconds)
        assert setup.request_loan(LOWER_RANKED).lent == ()
        assert setup.request_loan(HIGHER_RANKED, wanted=()).recalled == ()


def test_request_of_a_higher_ranked_host_recalls_the_loan(setup):
    setup.request_loan(LOWER_RANKED)
    setup.request_loan(HIGHER_RANKED)
    assert setup.request_loan(LOWER_RANKED, wanted=()).recalled == ("a",)
    setup.wait(DURATIONS.loan_lapse_seconds + 0.01)
    assert setup.request_loan(LOWER_RANKED).lent == ()
    assert setup.request_loan(HIGHER_RANKED).lent != ()


def test_absent_borrower_ranks_lowest(setup):
    setup.request_loan(HIGHER_RANKED)
    setup.view.absent.add(HIGHER_RANKED)
    setup.request_loan(LOWER_RANKED)
    assert setup.request_loan(HIGHER_RANKED, wanted=()).recalled == ("a",)


def test_late_request_is_ignored(setup):
    setup.request_loan(HIGHER_RANKED, sequence=7)
    assert not setup.request_loan(HIGHER_RANKED, sequence=6).accepted


def test_returned_units_keep_their_level_unless_reservations_are_outstanding(setup):
    for settled, delay in ((True, 0.0), (False, DURATIONS.loan_lapse_seconds)):
        setup.request_loan(HIGHER_RANKED)
        setup.request_loan(HIGHER_RANKED, (), (ReturnedAccount("a", 7.0, settled),))
        if delay:
            assert setup.request_loan(LOWER_RANKED).lent == ()
        setup.wait(delay)
        lent = setup.request_loan(LOWER_RANKED).lent
        assert lent[0].level == pytest.approx(0.0 if delay else 7.0)
        setup.request_loan(LOWER_RANKED, (), (ReturnedAccount("a", 0.0, True),))


def test_rate_change_does_not_fill_the_units(setup):
    setup.wait(1.0)
    setup.put_account(ClientAccount("a", 1000.0, 4000.0))
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 5.0),)


def test_recreated_account_does_not_start_full(setup):
    setup.wait(1000.0)
    setup.request_loan(HIGHER_RANKED)
    setup.put_account(None)
    setup.request_loan(HIGHER_RANKED, (), (ReturnedAccount("a", 0.0, True),))
    setup.put_account(ClientAccount("a", 10.0, 40.0))
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 0.0),)


def test_new_units_start_empty(setup):
    setup.wait(100.0)
    setup.units, setup.since = 4, setup.loop.now
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 0.0),)


def test_nothing_is_lent_without_units_or_while_not_current(setup):
    setup.view.is_current = False
    assert not setup.request_loan(HIGHER_RANKED).accepted
    setup.view.is_current, setup.units = True, 0
    assert not setup.request_loan(HIGHER_RANKED).accepted


def test_borrower_with_a_longer_use_time_is_refused(setup):
    request = LoanRequest(1, DURATIONS.loan_use_seconds + 0.1, ("a",), ())
    assert not setup.service.handle(HIGHER_RANKED, request).accepted


def test_state_is_dropped_once_the_bucket_is_full(setup):
    setup.put_account(ClientAccount("a", 10.0, 30.0))
    setup.wait(2.0)
    setup.service.step()
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 10.0),)
    setup.request_loan(HIGHER_RANKED, (), (ReturnedAccount("a", 1.0, True),))
    setup.wait(4.0)
    setup.service.step()
    assert setup.request_loan(HIGHER_RANKED).lent == (("a", 15.0),)

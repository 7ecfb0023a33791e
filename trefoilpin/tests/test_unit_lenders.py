"""A unit is lent once at a time, and comes back only when its use is over."""

import pytest

from trefoilpin import configurations, unit_lenders
from trefoilpin.fakes.fleets import FleetView, create_memberships
from trefoilpin.fakes.loops import LoopState, create_host_kernel, create_network
from trefoilpin.hashes import rank
from trefoilpin.limit_messages import LimitDurations, LoanRequest, ReturnedAccount
from trefoilpin.records import ChangeTicket, ClientAccount, Host, ObjectChange
from trefoilpin.services import UnitHoldings

DURATIONS = LimitDurations()
FIRST, SECOND = rank("limits/a", ("b1", "b2"))
HOSTS = [Host(name, name, "a", "r", name, name) for name in ("own", "b1", "b2")]


class Setup:
    """A lender of half of all units."""

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
        self.put(ClientAccount("a", 10.0, 40.0))

    def put(self, account):
        self.tickets += 1
        change = ObjectChange("account", "a", account)
        self.configurations.apply(ChangeTicket(self.tickets, "", (change,)))

    def ask(self, sender, wanted=("a",), returned=(), sequence=None):
        self.sequence += 1
        request = LoanRequest(
            sequence or self.sequence, DURATIONS.loan_use_seconds, wanted, returned
        )
        return self.service.handle(sender, request)

    def wait(self, seconds):
        self.loop.now += seconds


@pytest.fixture
def setup():
    return Setup()


def test_a_loan_carries_what_accrued(setup):
    setup.wait(1.0)
    assert setup.ask(FIRST).lent == (("a", 5.0),)
    assert setup.ask(FIRST).lent == (("a", 0.0),)


def test_nobody_else_gets_it_until_it_lapsed(setup):
    setup.wait(100.0)
    assert setup.ask(SECOND).lent == (("a", 20.0),)
    assert setup.ask(FIRST).lent == ()
    setup.wait(DURATIONS.loan_lapse_seconds - 0.01)
    assert setup.ask(FIRST).lent == ()
    setup.wait(0.02)
    level = setup.ask(FIRST).lent[0].level
    assert level == pytest.approx(0.01 * 5)


def test_a_host_that_ranks_lower_waits_while_the_loan_is_renewed(setup):
    setup.ask(FIRST)
    for _ in range(10):
        setup.wait(DURATIONS.loan_seconds)
        assert setup.ask(SECOND).lent == ()
        assert setup.ask(FIRST, wanted=()).recalled == ()


def test_a_host_that_ranks_higher_has_the_loan_recalled(setup):
    setup.ask(SECOND)
    setup.ask(FIRST)
    assert setup.ask(SECOND, wanted=()).recalled == ("a",)
    setup.wait(DURATIONS.loan_lapse_seconds + 0.01)
    assert setup.ask(SECOND).lent == ()
    assert setup.ask(FIRST).lent != ()


def test_a_holder_that_left_ranks_lowest(setup):
    setup.ask(FIRST)
    setup.view.absent.add(FIRST)
    setup.ask(SECOND)
    assert setup.ask(FIRST, wanted=()).recalled == ("a",)


def test_a_late_request_is_ignored(setup):
    setup.ask(FIRST, sequence=7)
    assert not setup.ask(FIRST, sequence=6).accepted


def test_returned_units_keep_their_level_unless_reservations_are_out(setup):
    for settled, delay in ((True, 0.0), (False, DURATIONS.loan_lapse_seconds)):
        setup.ask(FIRST)
        setup.ask(FIRST, (), (ReturnedAccount("a", 7.0, settled),))
        if delay:
            assert setup.ask(SECOND).lent == ()
        setup.wait(delay)
        lent = setup.ask(SECOND).lent
        assert lent[0].level == pytest.approx(0.0 if delay else 7.0)
        setup.ask(SECOND, (), (ReturnedAccount("a", 0.0, True),))


def test_a_changed_rate_does_not_fill_the_units(setup):
    setup.wait(1.0)
    setup.put(ClientAccount("a", 1000.0, 4000.0))
    assert setup.ask(FIRST).lent == (("a", 5.0),)


def test_an_account_made_anew_does_not_start_full(setup):
    setup.wait(1000.0)
    setup.ask(FIRST)
    setup.put(None)
    setup.ask(FIRST, (), (ReturnedAccount("a", 0.0, True),))
    setup.put(ClientAccount("a", 10.0, 40.0))
    assert setup.ask(FIRST).lent == (("a", 0.0),)


def test_new_units_start_empty(setup):
    setup.wait(100.0)
    setup.units, setup.since = 4, setup.loop.now
    assert setup.ask(FIRST).lent == (("a", 0.0),)


def test_without_units_or_touch_nothing_is_lent(setup):
    setup.view.is_current = False
    assert not setup.ask(FIRST).accepted
    setup.view.is_current, setup.units = True, 0
    assert not setup.ask(FIRST).accepted


def test_a_borrower_with_longer_terms_gets_nothing(setup):
    request = LoanRequest(1, DURATIONS.loan_use_seconds + 0.1, ("a",), ())
    assert not setup.service.handle(FIRST, request).accepted


def test_levels_are_forgotten_once_full(setup):
    setup.put(ClientAccount("a", 10.0, 30.0))
    setup.wait(2.0)
    setup.service.step()
    assert setup.ask(FIRST).lent == (("a", 10.0),)
    setup.ask(FIRST, (), (ReturnedAccount("a", 1.0, True),))
    setup.wait(4.0)
    setup.service.step()
    assert setup.ask(FIRST).lent == (("a", 15.0),)

"""Weighted shares, bounds, and requests that end while they wait."""

import random

import greenlet
from returns.result import Failure, Success

from trefoilpin import queues
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.records import ClientAccount, Pool
from trefoilpin.services import Events
from trefoilpin.verdicts import Reason, Refusal, Verdict

BUSY = Failure(Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, "busy"))
POOL = Pool("p", (), 0)


class Setup:
    """A queue over one pool whose free slots a test sets."""

    def __init__(self, max_waiting=100):
        self.loop = LoopState(1)
        self.tasks = create_tasks(self.loop)
        clock = Clock(lambda: self.loop.now, lambda: 0.0, self.tasks.sleep)
        kernel = create_kernel(clock, None, random.Random(1))
        kernel.register("events", Events(lambda event, **fields: None, lambda: None))
        self.service = queues.create(kernel, self.tasks.create_event, max_waiting)
        self.free = 0
        self.choices = 0
        self.outcomes = []

    def choose(self):
        self.choices += 1
        if not self.free:
            return BUSY
        self.free -= 1
        return Success("slot")

    def enter(self, account, seconds=100.0):
        def request():
            deadline = self.loop.now + seconds
            taken = self.service.enter(POOL, account, deadline, self.choose)
            self.outcomes.append((account and account.id, isinstance(taken, Success)))

        return self.tasks.spawn(None, request)

    def run(self, seconds=0.01):
        self.tasks.run(self.loop.now + seconds)

    def release(self, count=1):
        for _ in range(count):
            self.free += 1
            self.service.notify_release("p")
            self.run()


def test_shares_follow_the_weights():
    setup = Setup()
    heavy, light = ClientAccount("heavy", 1, 1, 3.0), ClientAccount("light", 1, 1, 1.0)
    for _ in range(40):
        setup.enter(heavy)
        setup.enter(light)
    setup.run()
    setup.release(40)
    served = [name for name, _ in setup.outcomes]
    assert (served.count("heavy"), served.count("light")) == (30, 10)


def test_a_free_pool_is_entered_at_once_and_other_failures_pass():
    setup = Setup()
    setup.free = 1
    setup.enter(None)
    setup.run()
    assert setup.outcomes == [(None, True)]
    gone = Failure(Refusal(Reason.NO_UPSTREAM, Verdict.NOT_RUN, "none"))
    assert setup.service.enter(POOL, None, 1e9, lambda: gone) is gone


def test_the_account_furthest_over_its_share_is_shed_first():
    setup = Setup(max_waiting=4)
    greedy, modest = ClientAccount("greedy", 1, 1), ClientAccount("modest", 1, 1)
    for _ in range(4):
        setup.enter(greedy)
    setup.enter(modest)
    setup.run()
    assert setup.outcomes == [("greedy", False)]
    setup.release(2)
    assert ("modest", True) in setup.outcomes


def test_a_request_that_times_out_or_is_killed_leaves_no_trace():
    setup = Setup()
    account = ClientAccount("a", 1, 1)
    setup.enter(account, 1.0)
    killed = setup.enter(account)
    setup.run()
    setup.run(2.0)
    assert setup.outcomes == [("a", False)]
    killed.throw(greenlet.GreenletExit)
    setup.enter(account)
    setup.run()
    setup.release()
    assert setup.outcomes[-1] == ("a", True)
    assert setup.free == 0


def test_a_turn_whose_request_is_killed_goes_to_the_next():
    setup = Setup()
    account = ClientAccount("a", 1, 1)
    first, _ = setup.enter(account), setup.enter(account)
    setup.run()
    setup.free = 1
    setup.service.notify_release("p")
    first.throw(greenlet.GreenletExit)
    setup.run()
    assert setup.outcomes == [("a", True)]


def test_waiting_does_not_spin():
    setup = Setup()
    for _ in range(10):
        setup.enter(ClientAccount("a", 1, 1))
    setup.run()
    before = setup.choices
    setup.run(10.0)
    assert setup.choices - before <= 10 * 10.0 / queues.RETRY_SECONDS


def test_a_cap_that_rises_by_itself_is_used():
    setup = Setup()
    setup.enter(ClientAccount("a", 1, 1))
    setup.run()
    setup.free = 1
    setup.run(2 * queues.RETRY_SECONDS)
    assert setup.outcomes == [("a", True)]

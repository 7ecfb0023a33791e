"""Fair queuing: weighted shares, queue bounds, and requests that end while queued."""

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

OVERLOADED_FAILURE = Failure(Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, "busy"))
POOL = Pool("p", (), 0)


class QueueSetup:
    """The queue of one pool whose free slots are set by the test."""

    def __init__(self, max_waiting=100):
        self.loop = LoopState(1)
        self.tasks = create_tasks(self.loop)
        clock = Clock(lambda: self.loop.now, lambda: 0.0, self.tasks.sleep)
        kernel = create_kernel(clock, None, random.Random(1))
        kernel.register("events", Events(lambda event, **fields: None, lambda: None))
        self.service = queues.create(kernel, self.tasks.create_event, max_waiting)
        self.free_slots = 0
        self.choice_count = 0
        self.outcomes = []

    def choose(self):
        self.choice_count += 1
        if not self.free_slots:
            return OVERLOADED_FAILURE
        self.free_slots -= 1
        return Success("slot")

    def enter(self, account, seconds=100.0):
        def request():
            deadline = self.loop.now + seconds
            outcome = self.service.enter(POOL, account, deadline, self.choose)
            self.outcomes.append((account and account.id, isinstance(outcome, Success)))

        return self.tasks.spawn(None, request)

    def run(self, seconds=0.01):
        self.tasks.run(self.loop.now + seconds)

    def release(self, count=1):
        for _ in range(count):
            self.free_slots += 1
            self.service.notify_release("p")
            self.run()


def test_shares_follow_the_weights():
    setup = QueueSetup()
    heavy, light = ClientAccount("heavy", 1, 1, 3.0), ClientAccount("light", 1, 1, 1.0)
    for _ in range(40):
        setup.enter(heavy)
        setup.enter(light)
    setup.run()
    setup.release(40)
    served = [name for name, _ in setup.outcomes]
    assert (served.count("heavy"), served.count("light")) == (30, 10)


def test_free_pool_is_entered_at_once_and_other_failures_are_returned():
    setup = QueueSetup()
    setup.free_slots = 1
    setup.enter(None)
    setup.run()
    assert setup.outcomes == [(None, True)]
    no_upstream = Failure(Refusal(Reason.NO_UPSTREAM, Verdict.NOT_RUN, "none"))
    assert setup.service.enter(POOL, None, 1e9, lambda: no_upstream) is no_upstream


def test_account_most_over_its_share_is_shed_first():
    setup = QueueSetup(max_waiting=4)
    greedy, modest = ClientAccount("greedy", 1, 1), ClientAccount("modest", 1, 1)
    for _ in range(4):
        setup.enter(greedy)
    setup.enter(modest)
    setup.run()
    assert setup.outcomes == [("greedy", False)]
    setup.release(2)
    assert ("modest", True) in setup.outcomes


def test_request_that_times_out_or_is_killed_holds_no_slot():
    setup = QueueSetup()
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
    assert setup.free_slots == 0


def test_next_request_is_scheduled_when_one_is_killed():
    setup = QueueSetup()
    account = ClientAccount("a", 1, 1)
    first, _ = setup.enter(account), setup.enter(account)
    setup.run()
    setup.free_slots = 1
    setup.service.notify_release("p")
    first.throw(greenlet.GreenletExit)
    setup.run()
    assert setup.outcomes == [("a", True)]


def test_waiting_requests_do_not_spin():
    setup = QueueSetup()
    for _ in range(10):
        setup.enter(ClientAccount("a", 1, 1))
    setup.run()
    choices_before = setup.choice_count
    setup.run(10.0)
    assert (
        setup.choice_count - choices_before <= 10 * 10.0 / queues.RETRY_INTERVAL_SECONDS
    )


def test_slot_freed_without_a_release_is_used():
    setup = QueueSetup()
    setup.enter(ClientAccount("a", 1, 1))
    setup.run()
    setup.free_slots = 1
    setup.run(2 * queues.RETRY_INTERVAL_SECONDS)
    assert setup.outcomes == [("a", True)]

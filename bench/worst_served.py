"""In-rate requests served for the worst-served account of a pool at capacity.

One of eight accounts sends five times its rate to a pool whose capacity just covers the
rates of all accounts. Each request occupies a slot for its service time. In the
baseline, waiting requests are served in order of arrival. Rate limits are not applied,
so that the figure depends on the scheduling alone.
"""

import random
import time
from collections import deque

from returns.result import Failure, Success

from bench.results import Result, finish
from trefoilpin import queues
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.naive_buckets import Segment, admissible
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.kernel import Clock, create_kernel
from trefoilpin.records import ClientAccount, Pool
from trefoilpin.services import Events, Queues
from trefoilpin.verdicts import Reason, Refusal, Verdict

SEEDS = (1, 2, 3)
RUN_SECONDS = 60.0
SLOTS = 18
SERVICE_SECONDS = 0.1
DEADLINE_SECONDS = 2.0
MAX_WAITING = 256
OVERLOAD_FACTOR = 5.0
BOUND_PERCENT = 99.0
BUSY_FAILURE = Failure(
    Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, "every slot is taken")
)
OVERLOADING_ACCOUNT = ClientAccount("greedy", 60.0, 60.0, 60.0)
COMPLIANT_ACCOUNTS = tuple(ClientAccount(f"a{n}", 15.0, 30.0, 15.0) for n in range(7))
POOL = Pool("ledger", (), 0)


def create_fifo(kernel, create_event, max_waiting):
    """Create a service ``queues`` with a single bounded FIFO queue."""
    waiting_events = deque()

    def enter(pool, account, deadline, choose):
        outcome = choose() if not waiting_events else BUSY_FAILURE
        if isinstance(outcome, Success) or len(waiting_events) >= max_waiting:
            return outcome
        event = create_event()
        waiting_events.append(event)
        event.wait(deadline - kernel.clock.now())
        if event in waiting_events:
            waiting_events.remove(event)
            return BUSY_FAILURE
        return choose()

    def notify_release(pool):
        if waiting_events:
            waiting_events.popleft().send()

    return Queues(enter, notify_release)


class PoolState:
    """Slots in use, and arrival and outcome of each request by account."""

    def __init__(self):
        self.in_use = 0
        self.served: dict[str, list] = {}


def run(seed, create_queues):
    """Run the load with one implementation of ``queues``; return the ``PoolState``."""
    loop = LoopState(seed)
    tasks = create_tasks(loop)
    clock = Clock(lambda: loop.now, lambda: loop.now, tasks.sleep)
    kernel = create_kernel(clock, None, random.Random(seed))
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    service = create_queues(kernel, tasks.create_event, MAX_WAITING)
    pool_state = PoolState()
    rng = random.Random(seed)

    def choose():
        if pool_state.in_use >= SLOTS:
            return BUSY_FAILURE
        pool_state.in_use += 1
        return Success(None)

    def request(account):
        arrived_at = loop.now
        outcome = service.enter(POOL, account, arrived_at + DEADLINE_SECONDS, choose)
        is_served = isinstance(outcome, Success)
        if is_served:
            tasks.sleep(SERVICE_SECONDS)
            pool_state.in_use -= 1
            service.notify_release(POOL.id)
        pool_state.served.setdefault(account.id, []).append((arrived_at, is_served))

    def send_all(account, rate):
        while True:
            tasks.sleep(rng.expovariate(rate))
            tasks.spawn(None, request, account)

    tasks.spawn(
        None, send_all, OVERLOADING_ACCOUNT, OVERLOADING_ACCOUNT.rate * OVERLOAD_FACTOR
    )
    for account in COMPLIANT_ACCOUNTS:
        tasks.spawn(None, send_all, account, account.rate)
    tasks.run(loop.now + RUN_SECONDS)
    return pool_state


def percent_served(pool_state, account):
    """Return the percentage served of an account's requests within its rate."""
    rows = sorted(pool_state.served.get(account.id, ()))
    segment = Segment(0.0, account.rate, account.burst)
    within_rate_flags = admissible([arrived_at for arrived_at, _ in rows], [segment])
    served_flags = [
        is_served
        for (_, is_served), is_counted in zip(rows, within_rate_flags)
        if is_counted
    ]
    return 100 * sum(served_flags) / max(len(served_flags), 1)


def lowest_percent_served(seed, create_queues):
    """Return the lowest percentage among the accounts that keep to their rate."""
    pool_state = run(seed, create_queues)
    return min(percent_served(pool_state, account) for account in COMPLIANT_ACCOUNTS)


def main():
    """Compare fair queuing with a FIFO queue."""
    started_at = time.monotonic()
    results = []
    for seed in SEEDS:
        fair_percent = round(lowest_percent_served(seed, queues.create), 2)
        fifo_percent = round(lowest_percent_served(seed, create_fifo), 2)
        results.append(
            Result(
                "worst_served",
                fair_percent,
                "%",
                BOUND_PERCENT,
                seed,
                fifo_percent,
                at_least=True,
            )
        )
    seconds = round(time.monotonic() - started_at, 1)
    finish([*results, Result("worst_served_seconds", seconds, "s")])


if __name__ == "__main__":
    main()

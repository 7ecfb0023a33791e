"""In-rate requests served to the worst-served account of a pool at capacity.

One account of eight sends five times its rate to a pool whose capacity is just what
the others and its own rate need. Each request holds a slot for its service time. The
baseline serves the waiting requests first come, first served. Limits are left out,
so that the order of service alone is measured.
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
SECONDS = 60.0
SLOTS = 18
SERVICE_SECONDS = 0.1
DEADLINE_SECONDS = 2.0
MAX_WAITING = 256
OVER_RATE = 5.0
BOUND_PERCENT = 99.0
BUSY = Failure(Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, "every slot is taken"))
GREEDY = ClientAccount("greedy", 60.0, 60.0, 60.0)
OTHERS = tuple(ClientAccount(f"a{n}", 15.0, 30.0, 15.0) for n in range(7))
POOL = Pool("ledger", (), 0)


def create_fifo(kernel, create_event, max_waiting):
    """Create the naive rule: first come, first served, with a bounded queue."""
    waiting = deque()

    def enter(pool, account, deadline, choose):
        outcome = choose() if not waiting else BUSY
        if isinstance(outcome, Success) or len(waiting) >= max_waiting:
            return outcome
        event = create_event()
        waiting.append(event)
        event.wait(deadline - kernel.clock.now())
        if event in waiting:
            waiting.remove(event)
            return BUSY
        return choose()

    def released(pool):
        if waiting:
            waiting.popleft().send()

    return Queues(enter, released)


class PoolState:
    """Slots in use and what became of each request, by account."""

    def __init__(self):
        self.in_use = 0
        self.served: dict[str, list] = {}


def run(seed, create):
    """Return the state after a run with one rule of service."""
    loop = LoopState(seed)
    tasks = create_tasks(loop)
    clock = Clock(lambda: loop.now, lambda: loop.now, tasks.sleep)
    kernel = create_kernel(clock, None, random.Random(seed))
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    service = create(kernel, tasks.create_event, MAX_WAITING)
    state = PoolState()
    rng = random.Random(seed)

    def choose():
        if state.in_use >= SLOTS:
            return BUSY
        state.in_use += 1
        return Success(None)

    def request(account):
        arrived = loop.now
        taken = service.enter(POOL, account, arrived + DEADLINE_SECONDS, choose)
        is_served = isinstance(taken, Success)
        if is_served:
            tasks.sleep(SERVICE_SECONDS)
            state.in_use -= 1
            service.notify_release(POOL.id)
        state.served.setdefault(account.id, []).append((arrived, is_served))

    def send_all(account, rate):
        while True:
            tasks.sleep(rng.expovariate(rate))
            tasks.spawn(None, request, account)

    tasks.spawn(None, send_all, GREEDY, GREEDY.rate * OVER_RATE)
    for account in OTHERS:
        tasks.spawn(None, send_all, account, account.rate)
    tasks.run(loop.now + SECONDS)
    return state


def percent_served(state, account):
    """Return the percentage served of an account's requests within its rate."""
    rows = sorted(state.served.get(account.id, ()))
    segment = Segment(0.0, account.rate, account.burst)
    within = admissible([arrived for arrived, _ in rows], [segment])
    counted = [served for (_, served), kept in zip(rows, within) if kept]
    return 100 * sum(counted) / max(len(counted), 1)


def worst_served(seed, create):
    """Return the lowest percentage among the accounts that keep to their rate."""
    state = run(seed, create)
    return min(percent_served(state, account) for account in OTHERS)


def main():
    """Compare the fair queue with first come, first served."""
    started = time.monotonic()
    results = []
    for seed in SEEDS:
        fair = round(worst_served(seed, queues.create), 2)
        naive = round(worst_served(seed, create_fifo), 2)
        results.append(
            Result("worst_served", fair, "%", BOUND_PERCENT, seed, naive, at_least=True)
        )
    seconds = round(time.monotonic() - started, 1)
    finish([*results, Result("worst_served_seconds", seconds, "s")])


if __name__ == "__main__":
    main()

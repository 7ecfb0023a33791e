"""Order and refusals at a saturated pool, replayed with real tasks."""

import random

import eventlet
import eventlet.event
import pytest
from returns.result import Failure, Success

from trefoilpin import clocks
from trefoilpin.gateway import queues
from trefoilpin.kernel import create_kernel
from trefoilpin.services import Events
from trefoilpin.verdicts import Reason, Refusal, Verdict

SATURATED = Failure(Refusal(Reason.OVERLOADED, Verdict.NOT_RUN, "full", 0.1))


class Pool:
    """Slots that requests take and give back."""

    def __init__(self, slots):
        self.free = slots

    def take(self):
        if self.free == 0:
            return SATURATED
        self.free -= 1
        return Success("taken")


@pytest.fixture
def waiting():
    """Return the service and its clock."""
    kernel = create_kernel(
        clocks.system_clock(eventlet.sleep), eventlet.spawn, random.Random(1)
    )
    kernel.register("events", Events(lambda event, **fields: None, lambda: None))
    return queues.create(kernel, eventlet.event.Event), kernel.clock.now


def spawn_request(service, now, pool, served, name, priority, seconds=2.0, work=0.02):
    def run():
        wait = queues.QueueRequest(priority, now() + seconds, now() + seconds / 2, work)
        outcome = service.enter("p", wait, pool.take, lambda: False)
        served.append((name, isinstance(outcome, Success)))
        if isinstance(outcome, Success):
            eventlet.sleep(work)
            pool.free += 1
            service.notify_release("p")

    return eventlet.spawn(run)


def test_the_most_urgent_go_first_whenever_they_come(waiting):
    service, now = waiting
    pool, served = Pool(1), []
    tasks = [spawn_request(service, now, pool, served, "first", 2)]
    eventlet.sleep(0)
    for number in range(3):
        tasks.append(spawn_request(service, now, pool, served, f"low{number}", 2))
    eventlet.sleep(0)
    for number in range(3):
        tasks.append(spawn_request(service, now, pool, served, f"high{number}", 0))
    for task in tasks:
        task.wait()
    names = [name for name, _ in served]
    assert names[0] == "first"
    assert all(name.startswith("high") for name in names[1:4])
    assert all(succeeded for _, succeeded in served)


def test_what_cannot_be_served_in_time_is_refused_at_once(waiting):
    service, now = waiting
    pool, served = Pool(0), []
    started = now()
    tasks = []
    for number in range(60):
        tasks.append(
            spawn_request(service, now, pool, served, number, 1, seconds=0.5, work=0.1)
        )
    eventlet.sleep(0.05)
    refused_early = len(served)
    for task in tasks:
        task.wait()
    assert refused_early >= 40
    assert now() - started < 0.6
    assert not any(succeeded for _, succeeded in served)


def test_a_burst_over_capacity_keeps_the_pool_busy_and_serves_the_urgent(waiting):
    service, now = waiting
    pool, served, tasks = Pool(4), [], []
    for number in range(120):
        priority = number % 3
        tasks.append(
            spawn_request(
                service, now, pool, served, priority, priority, seconds=0.8, work=0.04
            )
        )
        eventlet.sleep(0.002)
    for task in tasks:
        task.wait()
    served_by_priority = {}
    for priority, succeeded in served:
        served_by_priority.setdefault(priority, []).append(succeeded)
    shares = [sum(rows) / len(rows) for _, rows in sorted(served_by_priority.items())]
    assert shares[0] >= 0.95
    assert shares[0] >= shares[1] >= shares[2]
    assert service.waiting() == 0


def test_a_caller_that_left_holds_no_place(waiting):
    service, now = waiting
    wait = queues.QueueRequest(1, now() + 2.0, now() + 1.0, 0.01)
    outcome = service.enter("p", wait, lambda: SATURATED, lambda: True)
    assert isinstance(outcome, Failure)
    assert service.waiting() == 0


def test_twice_the_load_keeps_the_pool_on_time_and_refuses_the_rest_early(waiting):
    """A pool of 100 requests a second gets 200 for a while, all of one rank."""
    service, now = waiting
    pool, rows, tasks = Pool(4), [], []
    work, target, limit = 0.04, 0.25, 0.8

    def run():
        arrived = now()
        wait = queues.QueueRequest(1, arrived + limit, arrived + target, work)
        outcome = service.enter("p", wait, pool.take, lambda: False)
        held = now() - arrived
        if isinstance(outcome, Failure):
            rows.append(("refused", held))
            return
        eventlet.sleep(work)
        pool.free += 1
        service.notify_release("p")
        is_on_time = now() - arrived <= target
        rows.append(("on time" if is_on_time else "late", held))

    for _ in range(400):
        tasks.append(eventlet.spawn(run))
        eventlet.sleep(0.005)
    seconds = 400 * 0.005
    for task in tasks:
        task.wait()
    on_time = [held for name, held in rows if name == "on time"]
    held = sorted(held for name, held in rows if name == "refused")
    assert len(on_time) >= 0.75 * seconds / work * 4
    assert held[len(held) // 2] <= limit / 2


def test_a_pool_that_stopped_serving_turns_its_queue_away_early(waiting):
    service, now = waiting
    pool, served, tasks = Pool(2), [], []
    for number in range(8):
        tasks.append(spawn_request(service, now, pool, served, number, 1, 2.0, 0.02))
    for task in tasks:
        task.wait()
    pool.free = 0
    started = now()
    waits = []

    def run():
        wait = queues.QueueRequest(1, now() + 2.0, now() + 1.0, 0.02)
        service.enter("p", wait, pool.take, lambda: False)
        waits.append(now() - started)

    for task in [eventlet.spawn(run) for _ in range(30)]:
        task.wait()
    assert sorted(waits)[15] <= 0.5

"""What is told to many at once goes out no faster than the link carries it."""

import pytest

from trefoilpin.fakes.gateways import create_host
from trefoilpin.fakes.loops import LoopState
from trefoilpin.fakes.tasks import create_tasks
from trefoilpin.gateway import send_queues
from trefoilpin.kernel import Clock

RATE = 1_000_000.0
SIZE = 4_000


@pytest.fixture
def started():
    """Return a sender, what it sent with the times, and its tasks."""
    kernel, _, _ = create_host()
    loop = LoopState(1)
    tasks = create_tasks(loop)
    sent = []

    def send(address, message):
        sent.append((loop.now, address, message))
        return SIZE

    kernel = kernel._replace(
        clock=Clock(lambda: loop.now, lambda: loop.now, tasks.sleep),
        spawn=lambda *task: tasks.spawn(None, *task),
    )
    service = send_queues.create(kernel, RATE, tasks.create_event, send)
    kernel.start()
    return service, sent, tasks, loop


def test_a_burst_to_a_whole_zone_stays_within_the_link(started):
    service, sent, tasks, loop = started
    began = loop.now
    for number in range(43):
        service.enqueue(f"h{number}", "news", lambda: "bulletin")
    tasks.run(began + 5.0)
    assert [address for _, address, _ in sent] == [f"h{n}" for n in range(43)]
    for count, (at, _, _) in enumerate(sent):
        queued = (count + 1) * SIZE - (at - began) * RATE
        assert queued <= send_queues.BURST_BYTES + 2 * SIZE
    assert sent[-1][0] - began <= 43 * SIZE / (RATE * send_queues.LINK_SHARE)


def test_a_bulletin_is_made_when_its_turn_comes_and_waits_once_for_each_host(started):
    service, sent, tasks, loop = started
    news = ["old"]
    for _ in range(3):
        service.enqueue("a", "news", lambda: news[0])
    news[0] = "new"
    tasks.run(loop.now + 1.0)
    service.enqueue("a", "news", lambda: "later")
    tasks.run(loop.now + 1.0)
    assert [message for _, _, message in sent] == ["new", "later"]


def test_a_bulletin_that_can_not_be_made_holds_up_no_other(started):
    service, sent, tasks, loop = started

    def fail():
        raise ValueError("no bulletin")

    service.enqueue("a", "news", fail)
    service.enqueue("b", "news", lambda: "bulletin")
    tasks.run(loop.now + 1.0)
    assert [address for _, address, _ in sent] == ["b"]

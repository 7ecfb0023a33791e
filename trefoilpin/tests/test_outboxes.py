"""Messages are delivered in order, resent until taken, and expire."""

from trefoilpin.fakes.loops import LoopState, create_host_kernel
from trefoilpin.outboxes import MAX_MESSAGE_AGE_SECONDS, create_outbox


def test_messages_are_delivered_in_order():
    taken, is_ready = [], [False]

    def send(destination, message):
        if is_ready[0]:
            taken.append((destination, message))
        return is_ready[0]

    outbox = create_outbox(create_host_kernel(LoopState(1)), send)
    outbox.put("h1", 1)
    outbox.put("h1", 2)
    assert not outbox.deliver_once("h1") and outbox.size() == 2
    is_ready[0] = True
    assert outbox.deliver_once("h1") and outbox.deliver_once("h1")
    assert taken == [("h1", 1), ("h1", 2)]
    assert outbox.size() == 0 and outbox.destinations() == ()


def test_messages_expire():
    state = LoopState(1)
    outbox = create_outbox(create_host_kernel(state), lambda *message: False)
    outbox.put("h1", 1)
    state.now += MAX_MESSAGE_AGE_SECONDS
    assert outbox.deliver_once("h1") and outbox.size() == 0


def test_one_task_for_each_destination_delivers_with_pauses():
    state, calls, tasks = LoopState(1), [], []

    def send(destination, message):
        calls.append(state.now)
        return len(calls) == 5

    def spawn(function, *arguments):
        tasks.append((function, arguments))

    outbox = create_outbox(create_host_kernel(state, spawn=spawn), send)
    outbox.put("h1", 1)
    outbox.put("h1", 2)
    assert len(tasks) == 1
    function, arguments = tasks[0]
    pending_before_delivery = outbox.size()
    assert pending_before_delivery == 2
    state.now += MAX_MESSAGE_AGE_SECONDS / 2
    function(*arguments)
    pauses = [after - before for before, after in zip(calls, calls[1:])]
    assert all(pause > 0 for pause in pauses[:4]) and outbox.size() == 0

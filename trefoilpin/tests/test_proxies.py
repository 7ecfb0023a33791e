"""Verdicts, retries and release on every way through the proxy."""

import greenlet
import pytest
from returns.result import Success

from trefoilpin import poison_requests, proxies, retries
from trefoilpin.fakes import fleets, loops, writers
from trefoilpin.fakes.calls import create_tasks
from trefoilpin.kernel import create_kernel
from trefoilpin.messages import Answer, Attempt, Permit
from trefoilpin.records import Host
from trefoilpin.services import Balancers, Events, Forwarders, Operations, Queues
from trefoilpin.verdicts import Reason, Verdict

REFUSED = Attempt(Verdict.NOT_RUN, None, Reason.UPSTREAM_UNREACHABLE, "", 0.0)
SHED = Attempt(
    Verdict.NOT_RUN, Answer(503, (("retry-after", "7"),), b""), None, "", 0.0, True
)
BROKEN = Attempt(
    Verdict.MAY_HAVE_RUN, None, Reason.UPSTREAM_BROKEN, "", 0.0, broke_connection=True
)
TIMEOUT = Attempt(Verdict.MAY_HAVE_RUN, None, Reason.UPSTREAM_TIMEOUT, "", 0.0)
WHOLE = Attempt(Verdict.RAN, Answer(200, (), b"whole"), None, "", 0.0)
LEAST_RETRIES = 50.0


class Scene:
    """A proxy before scripted attempts; what was released and finished."""

    def __init__(self, attempts, share=0.2, least=LEAST_RETRIES):
        self.state = loops.LoopState(1)
        tasks = create_tasks(self.state)
        self.attempts = list(attempts)
        self.sent, self.released, self.freed, self.finished = [], [], [], []
        kernel = create_kernel(tasks.clock, lambda *task: None, self.state.rng)
        kernel.register("events", Events(lambda event, **fields: None, None))
        kernel.register("metrics", writers.SILENT_METRICS)
        own = Host("h1", "h1", "a", "r", "", "")
        self.view = fleets.FleetView(own, [own])
        kernel.register("memberships", fleets.create_memberships(self.view))
        board = fleets.NoticeStore("h1")
        kernel.register("notices", fleets.create_notices(board, tasks.clock.now))
        truth = writers.UpstreamState()
        stand_ins = writers.create_stand_ins(kernel, tasks, truth, "h1")
        self.replace(stand_ins)
        for name, service in stand_ins.items():
            kernel.register(name, service)
        poison_requests.create(kernel, 300.0)
        retries.create(kernel, share, least)
        self.proxies = proxies.create(kernel)

    def replace(self, stand_ins):
        stand_ins["forwarders"] = Forwarders(self.exchange)
        stand_ins["operations"] = Operations(
            lambda account, request: Success(None),
            lambda key, route, account, deadline: Success(
                Permit(key, "h1/1", route, account)
            ),
            lambda permit, attempt: self.finished.append(attempt),
            None,
        )
        choose = stand_ins["balancers"].choose
        stand_ins["balancers"] = Balancers(choose, self.release)
        enter = stand_ins["queues"].enter
        stand_ins["queues"] = Queues(enter, self.freed.append)

    def exchange(self, upstream, request, deadline, idempotent):
        self.sent.append((upstream.id, deadline - self.state.now))
        attempt = self.attempts.pop(0)
        if isinstance(attempt, BaseException):
            raise attempt
        return attempt

    def release(self, choice, attempt, account, fingerprint):
        self.released.append((choice.upstream.id, attempt.verdict))

    def handle(self, method, text="order"):
        request = writers.request("r", "hielo", None, text, self.state.now)
        return self.proxies.handle(request._replace(method=method))

    def refusal(self, method, text="order"):
        return self.handle(method, text).failure()


def check_release(scene):
    """Every upstream taken was released once, and the operation finished once."""
    assert [name for name, _ in scene.released] == [name for name, _ in scene.sent]
    assert len(scene.freed) == len(scene.sent) and len(scene.finished) == 1


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_not_run_goes_to_another_upstream(method):
    scene = Scene([REFUSED, SHED, WHOLE])
    assert scene.handle(method).unwrap().body == b"whole"
    assert len({name for name, _ in scene.sent}) == 3
    check_release(scene)


def test_a_write_is_not_sent_again_once_it_may_have_run():
    for attempt in (BROKEN, TIMEOUT):
        scene = Scene([attempt, WHOLE])
        assert scene.refusal("POST").verdict is Verdict.MAY_HAVE_RUN
        assert len(scene.sent) == 1 and scene.finished == [attempt]
        check_release(scene)


def test_a_read_is_retried_and_leaves_time_for_it():
    scene = Scene([TIMEOUT, WHOLE])
    assert scene.handle("GET").unwrap().body == b"whole"
    deadline = writers.ROUTE.deadline
    assert scene.sent[0][1] == pytest.approx(deadline / 2)


def test_a_read_that_breaks_two_upstreams_is_not_sent_to_a_third():
    scene = Scene([BROKEN, BROKEN, WHOLE])
    assert scene.refusal("GET").verdict is Verdict.MAY_HAVE_RUN
    assert len(scene.sent) == 2
    refusal = scene.refusal("GET")
    assert refusal.reason is Reason.QUARANTINED and len(scene.sent) == 2
    assert scene.handle("GET", "another").unwrap().body == b"whole"


def test_shed_everywhere_is_not_run_with_a_time_to_try_again():
    scene = Scene([SHED, SHED, SHED])
    refusal = scene.refusal("POST")
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after == 7.0
    check_release(scene)


def test_not_run_is_not_said_after_an_attempt_that_may_have_run():
    scene = Scene([BROKEN, REFUSED, REFUSED])
    assert scene.refusal("GET").verdict is Verdict.MAY_HAVE_RUN


def test_no_retry_without_budget():
    scene = Scene([REFUSED, WHOLE], share=0.0, least=0.0)
    refusal = scene.refusal("POST")
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after
    assert len(scene.sent) == 1


def test_exhausted_upstreams_are_a_refusal_and_nothing_is_held():
    count = len(writers.UPSTREAMS)
    scene = Scene([REFUSED] * count)
    for _ in range(2):
        scene.attempts = [REFUSED] * count
        assert scene.refusal("POST").verdict is Verdict.NOT_RUN
    assert len(scene.released) == len(scene.sent) == 2 * proxies.MAX_ATTEMPTS


@pytest.mark.parametrize("error", [ValueError("a fault"), greenlet.GreenletExit()])
def test_an_interrupted_attempt_is_released_and_may_have_run(error):
    scene = Scene([error])
    with pytest.raises(type(error)):
        scene.handle("POST")
    assert scene.released[0][1] is Verdict.MAY_HAVE_RUN
    assert scene.finished[0].verdict is Verdict.MAY_HAVE_RUN
    check_release(scene)


@pytest.mark.parametrize("read_parts", [0, 1, 2])
def test_a_streamed_answer_holds_its_upstream_until_it_ends(read_parts):
    def stream():
        yield b"one"
        yield b"two"

    answer = Answer(200, (), b"", stream())
    scene = Scene([WHOLE._replace(answer=answer)])
    rest = scene.handle("POST").unwrap().rest
    assert scene.finished and not scene.released
    for _ in range(read_parts):
        next(rest)
    rest.close()
    check_release(scene)


def test_a_request_past_its_deadline_is_not_sent():
    scene = Scene([WHOLE])
    request = writers.request("r", "hielo", None, "order", scene.state.now - 60.0)
    refusal = scene.proxies.handle(request).failure()
    assert refusal.verdict is Verdict.NOT_RUN and scene.finished == [None]


def test_a_host_that_is_not_current_runs_nothing():
    scene = Scene([WHOLE])
    scene.view.is_current = False
    refusal = scene.handle("GET").failure()
    assert refusal.reason is Reason.NOT_CURRENT
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after
    assert not scene.sent

"""Verdicts, retries and the release of upstreams, for each outcome of the attempts."""

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
ANSWERED = Attempt(Verdict.RAN, Answer(200, (), b"whole"), None, "", 0.0)
MIN_RETRIES_PER_SECOND = 50.0


class ProxyHarness:
    """A proxy whose forwarder returns scripted attempts.

    Records the upstreams released and the attempts reported to ``operations``.
    """

    def __init__(self, attempts, share=0.2, min_per_second=MIN_RETRIES_PER_SECOND):
        self.state = loops.LoopState(1)
        tasks = create_tasks(self.state)
        self.attempts = list(attempts)
        self.sent, self.released, self.notified_pools, self.finished = [], [], [], []
        kernel = create_kernel(tasks.clock, lambda *task: None, self.state.rng)
        kernel.register("events", Events(lambda event, **fields: None, None))
        kernel.register("metrics", writers.SILENT_METRICS)
        own = Host("h1", "h1", "a", "r", "", "")
        self.view = fleets.FleetView(own, [own])
        kernel.register("memberships", fleets.create_memberships(self.view))
        notice_store = fleets.NoticeStore("h1")
        kernel.register("notices", fleets.create_notices(notice_store, tasks.clock.now))
        truth = writers.UpstreamState()
        stand_ins = writers.create_stand_ins(kernel, tasks, truth, "h1")
        self.replace(stand_ins)
        for name, service in stand_ins.items():
            kernel.register(name, service)
        poison_requests.create(kernel, 300.0)
        retries.create(kernel, share, min_per_second)
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
        stand_ins["queues"] = Queues(enter, self.notified_pools.append)

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


def check_released_once(harness):
    """Check that each upstream was released once, and the operation finished once."""
    assert [name for name, _ in harness.released] == [name for name, _ in harness.sent]
    assert (
        len(harness.notified_pools) == len(harness.sent) and len(harness.finished) == 1
    )


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_is_retried_elsewhere_after_not_run(method):
    harness = ProxyHarness([REFUSED, SHED, ANSWERED])
    assert harness.handle(method).unwrap().body == b"whole"
    assert len({name for name, _ in harness.sent}) == 3
    check_released_once(harness)


def test_write_is_not_retried_after_it_may_have_run():
    for attempt in (BROKEN, TIMEOUT):
        harness = ProxyHarness([attempt, ANSWERED])
        assert harness.refusal("POST").verdict is Verdict.MAY_HAVE_RUN
        assert len(harness.sent) == 1 and harness.finished == [attempt]
        check_released_once(harness)


def test_first_attempt_of_a_read_leaves_time_for_a_retry():
    harness = ProxyHarness([TIMEOUT, ANSWERED])
    assert harness.handle("GET").unwrap().body == b"whole"
    deadline = writers.ROUTE.deadline
    assert harness.sent[0][1] == pytest.approx(deadline / 2)


def test_read_that_breaks_two_upstreams_is_quarantined():
    harness = ProxyHarness([BROKEN, BROKEN, ANSWERED])
    assert harness.refusal("GET").verdict is Verdict.MAY_HAVE_RUN
    assert len(harness.sent) == 2
    refusal = harness.refusal("GET")
    assert refusal.reason is Reason.QUARANTINED and len(harness.sent) == 2
    assert harness.handle("GET", "another").unwrap().body == b"whole"


def test_request_shed_by_all_upstreams_is_refused_with_retry_after():
    harness = ProxyHarness([SHED, SHED, SHED])
    refusal = harness.refusal("POST")
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after == 7.0
    check_released_once(harness)


def test_verdict_covers_all_attempts_of_a_request():
    harness = ProxyHarness([BROKEN, REFUSED, REFUSED])
    assert harness.refusal("GET").verdict is Verdict.MAY_HAVE_RUN


def test_no_retry_without_retry_budget():
    harness = ProxyHarness([REFUSED, ANSWERED], share=0.0, min_per_second=0.0)
    refusal = harness.refusal("POST")
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after
    assert len(harness.sent) == 1


def test_all_upstreams_are_released_when_every_attempt_fails():
    count = len(writers.UPSTREAMS)
    harness = ProxyHarness([REFUSED] * count)
    for _ in range(2):
        harness.attempts = [REFUSED] * count
        assert harness.refusal("POST").verdict is Verdict.NOT_RUN
    assert len(harness.released) == len(harness.sent) == 2 * proxies.MAX_ATTEMPTS


@pytest.mark.parametrize("error", [ValueError("a fault"), greenlet.GreenletExit()])
def test_interrupted_attempt_may_have_run_and_is_released(error):
    harness = ProxyHarness([error])
    with pytest.raises(type(error)):
        harness.handle("POST")
    assert harness.released[0][1] is Verdict.MAY_HAVE_RUN
    assert harness.finished[0].verdict is Verdict.MAY_HAVE_RUN
    check_released_once(harness)


@pytest.mark.parametrize("read_parts", [0, 1, 2])
def test_streamed_answer_releases_its_upstream_when_closed(read_parts):
    def stream():
        yield b"one"
        yield b"two"

    answer = Answer(200, (), b"", stream())
    harness = ProxyHarness([ANSWERED._replace(answer=answer)])
    rest = harness.handle("POST").unwrap().rest
    assert harness.finished and not harness.released
    for _ in range(read_parts):
        next(rest)
    rest.close()
    check_released_once(harness)


def test_request_past_its_deadline_is_not_sent():
    harness = ProxyHarness([ANSWERED])
    request = writers.request("r", "hielo", None, "order", harness.state.now - 60.0)
    refusal = harness.proxies.handle(request).failure()
    assert refusal.verdict is Verdict.NOT_RUN and harness.finished == [None]


def test_host_that_is_not_current_refuses_all_requests():
    harness = ProxyHarness([ANSWERED])
    harness.view.is_current = False
    refusal = harness.handle("GET").failure()
    assert refusal.reason is Reason.NOT_CURRENT
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after
    assert not harness.sent

"""Handling of requests from route to answer, with scripted attempts."""

import random

import pytest
from returns.result import Failure, Success

from trefoilpin.fakes import local_retries
from trefoilpin.fakes.gateways import (
    ACCOUNT,
    ROUTE,
    configuration,
    create_document_cache,
    create_host,
    table,
    upstream,
)
from trefoilpin.fakes.virtual_clocks import VirtualClock
from trefoilpin.gateway.admission import (
    poison_requests,
    pool_pressure,
    rate_limits,
    send_pacing,
)
from trefoilpin.gateway.admission.queues import Queues, Release
from trefoilpin.gateway.balancing import upstreams
from trefoilpin.gateway.fleet import members
from trefoilpin.gateway.requests import dispatchers, first_documents, proxies, routing
from trefoilpin.gateway.requests.dispatchers import DispatchSettings
from trefoilpin.gateway.requests.proxies import IncomingRequest
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.gateway.store.store_restores import OPERATOR_REWRITE_SECONDS
from trefoilpin.messages import Answer, Attempt, CallerRequest
from trefoilpin.services import Forwarders
from trefoilpin.verdicts import Reason, Verdict

MAX_KEY_AGE_SECONDS = 4.25
PRIORITY_ROUTES = tuple(
    ROUTE._replace(
        id=f"rank{priority}", prefix=f"/{priority}/", priority=priority, is_open=True
    )
    for priority in range(3)
)
IDEMPOTENT = ROUTE._replace(id="r2", prefix="/s/", idempotent=True)
OPEN = ROUTE._replace(id="r3", prefix="/o/", is_open=True)
GOOD = Attempt(Verdict.RAN, Answer(200, (), b"ok"), None, "", 0.1)
BAD = Attempt(Verdict.RAN, Answer(500, (), b"no"), None, "", 0.1)
SHED = Attempt(Verdict.NOT_RUN, Answer(503, (), b""), None, "", 0.0, shed=True)
MISDIRECTED = Attempt(Verdict.NOT_RUN, Answer(421, (), b""), None, "", 0.0, shed=True)
UNREACHED = Attempt(Verdict.NOT_RUN, None, Reason.UPSTREAM_UNREACHABLE, "", 0.3)
BROKEN = Attempt(
    Verdict.MAY_HAVE_RUN,
    None,
    Reason.UPSTREAM_BROKEN,
    "reset",
    0.1,
    broke_connection=True,
)


class Host:
    """The services of one host; ``attempts`` scripts the results of its sends."""

    def __init__(self, upstream_count=4, era=0, retry_seconds=float("inf")):
        kernel, _, self.lines = create_host()
        self.clock = VirtualClock()
        kernel = kernel._replace(spawn=self.clock.spawn, clock=self.clock.clock)
        self.now = kernel.clock.now
        self.attempts = []
        self.sends = []
        self.used_new = []
        self.limits = []
        self.is_caller_gone = False
        self.enter = lambda choose: choose()
        self.document_cache, self.put = create_document_cache(kernel)
        own = members.OwnHost("10.1.0.1", "a", "r", 1, 100.0)
        self.members = members.create(kernel, own, lambda: 0.0)
        routing.create(kernel)
        self.rate_limits = rate_limits.create(
            kernel, rate_limits.RateLimitSettings(True, 1, 5.0, 1), lambda: (1, 1)
        )
        self.poison_requests = poison_requests.create(kernel)
        pool_pressure.create(kernel)
        send_pacing.create(kernel, False)
        local_retries.create(kernel, 0.2, 6.0, 6.0, retry_seconds)
        self.queue_requests, self.releases = [], []
        queues = Queues(
            self.enter_queue,
            lambda pool, release=None: self.releases.append(release),
            None,
            None,
        )
        kernel.register("queues", queues)
        self.upstreams = upstreams.create(kernel, "a", lambda: 1)
        kernel.register("forwarders", Forwarders(self.exchange))
        settings = DispatchSettings(MAX_KEY_AGE_SECONDS, "x-account", "x-expected")
        self.dispatchers = dispatchers.create(kernel, settings, self.clock.create_event)
        first_documents.create(kernel, self.clock.create_event)
        self.proxies = proxies.create(kernel)
        routes = (ROUTE, IDEMPOTENT, OPEN, *PRIORITY_ROUTES)
        self.put(CONFIGURATION, 1, configuration(routes), era=era)
        numbers = range(1, upstream_count + 1)
        entries = table(*(upstream(number, slots=9) for number in numbers))
        self.put(UPSTREAMS, 1, entries)

    def enter_queue(self, pool, request, choose, is_gone):
        self.queue_requests.append(request)
        return self.enter(choose)

    def exchange(
        self, chosen, request, deadline, idempotent, headers, is_new, send_by, decoys
    ):
        self.sends.append((chosen.id, deadline, dict(headers)))
        self.used_new.append(is_new)
        self.limits.append(send_by)
        attempt = self.attempts.pop(0)
        return attempt(self) if callable(attempt) else attempt

    def saturate(self):
        for health in self.upstream_health():
            health.other_in_flight = 99

    def upstream_health(self):
        return self.upstreams.pool_health("p")

    def send_request(self, path="/a/1", key="k1", caller_timeout=None, body=b""):
        request = self.create_request(path, body)
        incoming = IncomingRequest(request, key, caller_timeout)
        return self.clock.call(self.proxies.handle, incoming)

    def create_request(self, path, body=b""):
        return CallerRequest(
            "id1",
            "POST",
            "h",
            path,
            "",
            (),
            body,
            "10.9.0.1",
            self.now(),
            lambda: self.is_caller_gone,
        )


@pytest.fixture
def host():
    return Host()


def get_refusal(outcome):
    assert isinstance(outcome, Failure)
    return outcome.failure()


def test_answer_is_returned_and_headers_name_upstream_and_account(host):
    host.attempts = [GOOD]
    assert host.send_request().unwrap().body == b"ok"
    chosen, deadline, headers = host.sends[0]
    assert headers == {"x-expected": chosen, "x-account": ACCOUNT.id}
    assert deadline == host.clock.time + ROUTE.timeout


def test_queues_are_told_the_account_and_the_time_that_it_uses(host):
    """Guards against service that is counted for nobody, or counted twice."""

    def answer_later(host):
        host.clock.time += 0.5
        return GOOD

    host.attempts = [answer_later, GOOD]
    host.send_request()
    host.send_request("/o/1", key=None)
    keyed, opened = host.queue_requests
    assert (keyed.account, keyed.route) == (ACCOUNT.id, ROUTE.id)
    assert (opened.account, opened.route) == ("", OPEN.id)
    assert host.releases == [
        Release(ACCOUNT.id, 0.5, keyed.typical_seconds),
        Release("", 0.0, opened.typical_seconds),
    ]


def test_deadline_is_the_shorter_of_route_and_caller_timeout(host):
    host.attempts = [GOOD]
    host.send_request(caller_timeout=0.7)
    assert host.sends[0][1] == pytest.approx(host.clock.time + 0.7)


@pytest.mark.parametrize("attempt", [BAD, BROKEN])
def test_non_idempotent_request_that_may_have_run_is_not_retried(host, attempt):
    host.attempts = [attempt]
    host.send_request()
    assert len(host.sends) == 1


def test_request_that_may_have_run_is_not_reported_as_not_run(host):
    host.attempts = [BROKEN]
    refusal = get_refusal(host.send_request())
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason.value.status == 502
    assert refusal.retry_after is None


def test_request_that_did_not_run_is_retried_at_another_upstream(host):
    host.attempts = [UNREACHED, SHED, GOOD]
    assert isinstance(host.send_request(), Success)
    assert len({chosen for chosen, _, _ in host.sends}) == 3


def test_misdirected_requests_do_not_count_as_attempts(host):
    host.attempts = [GOOD] * 4 + [MISDIRECTED, MISDIRECTED, GOOD]
    for number in range(4):
        host.clock.time += 1.0
        host.send_request(f"/o/{number}", key=None)
    assert isinstance(host.send_request(), Success)


def test_request_returns_to_an_address_over_a_new_connection(host):
    """Guards against a copy of the first attempt's refusal, which bears the same id."""
    host.put(UPSTREAMS, 2, table(upstream(1)))
    replaced = table(upstream(2)._replace(address=upstream(1).address))

    def misdirect(host):
        host.put(UPSTREAMS, 3, replaced)
        return MISDIRECTED

    host.attempts = [misdirect, GOOD]
    assert isinstance(host.send_request(), Success)
    assert [name for name, *_ in host.sends] == ["u1", "u2"]
    assert host.used_new == [False, True]


def test_misdirected_requests_are_charged_to_the_retry_budget(host):
    host.attempts = [MISDIRECTED] * 8
    outcomes = [host.send_request(f"/a/{number}") for number in range(4)]
    assert all(get_refusal(outcome).verdict is Verdict.NOT_RUN for outcome in outcomes)
    assert len(host.sends) < 8


def test_attempt_that_would_be_cut_by_the_end_of_a_stop_is_refused_as_not_run(host):
    """Guards against requests that are passed on late in the grace and then cut."""
    host.attempts = [GOOD]
    typical_seconds = host.dispatchers.typical_seconds(ROUTE)
    host.dispatchers.end_by(host.clock.time + typical_seconds + 0.1)
    assert isinstance(host.send_request(), Success)
    host.attempts = [lambda host: host.clock.sleep(0.2) or SHED]
    for _ in range(2):
        refusal = get_refusal(host.send_request())
        assert refusal.reason is Reason.STOPPING
        assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after
    assert len(host.sends) == 2


def test_route_limits_the_number_of_attempts(host):
    host.attempts = [SHED, SHED]
    refusal = get_refusal(host.send_request())
    assert len(host.sends) == ROUTE.max_attempts
    assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after


def test_exhausted_requests_are_asked_to_return_when_the_pool_has_room(host):
    """Guards against a time to return that says nothing of the pool."""
    host.attempts = [SHED] * 4 + [GOOD] * 4 + [SHED] * 2
    typical_seconds = host.dispatchers.typical_seconds(ROUTE)
    first, second = [
        get_refusal(host.send_request(f"/a/{number}")).retry_after
        for number in range(2)
    ]
    assert typical_seconds <= first < 2 * typical_seconds <= second
    host.clock.time += 9.0
    for number in range(4):
        host.send_request(f"/a/{number}")
    host.clock.time += 0.2
    assert get_refusal(host.send_request("/a/9")).retry_after < first


def test_failed_idempotent_request_is_retried(host):
    host.attempts = [BAD, GOOD]
    assert host.send_request("/s/1").unwrap().status == 200
    host.clock.time += 1.0
    host.attempts = [BROKEN, GOOD]
    assert host.send_request("/s/2").unwrap().status == 200


def delayed(seconds, attempt):
    """Return a scripted attempt that takes a number of seconds."""

    def run(host):
        host.clock.sleep(seconds)
        return attempt

    return run


def send_timed(host):
    """Send an idempotent request; return its answer and the seconds that it took."""
    started = host.now()
    answer = host.send_request("/s/1", caller_timeout=1.5).unwrap()
    assert all(health.own_in_flight == 0 for health in host.upstream_health())
    return answer, host.now() - started


def hedge_seconds(host):
    return host.dispatchers.typical_seconds(IDEMPOTENT) * dispatchers.HEDGE_FACTOR


def test_long_request_is_not_cancelled_by_its_hedge():
    """The request takes 0.7 s at every upstream and has a timeout of 1.5 s."""
    host = Host()
    host.attempts = [delayed(0.7, GOOD), delayed(0.7, GOOD)]
    answer, seconds = send_timed(host)
    assert answer.status == 200 and seconds == pytest.approx(0.7)
    assert len(host.sends) == 2


def test_hanging_request_is_answered_by_another_upstream():
    host = Host()
    host.attempts = [delayed(1.5, BROKEN), delayed(0.05, GOOD)]
    expected = hedge_seconds(host) + 0.05
    answer, seconds = send_timed(host)
    assert answer.status == 200 and seconds == pytest.approx(expected)
    assert seconds < 0.7
    assert len({chosen for chosen, _, _ in host.sends}) == 2


def test_failed_hedge_does_not_cancel_the_first_attempt():
    host = Host()
    host.attempts = [delayed(0.7, GOOD), delayed(0.05, BAD)]
    answer, seconds = send_timed(host)
    assert answer.status == 200 and seconds == pytest.approx(0.7)
    assert len(host.sends) == 2


@pytest.mark.parametrize("hedge", [SHED, UNREACHED])
def test_hedge_that_did_not_run_leaves_the_first_attempt_at_work(hedge):
    """Guards against a request that starts anew, and runs once more than allowed."""
    host = Host()
    host.attempts = [delayed(0.7, GOOD), delayed(0.05, hedge), GOOD]
    answer, seconds = send_timed(host)
    assert answer.status == 200 and seconds == pytest.approx(0.7)
    assert len(host.sends) == 2


def test_first_attempt_that_was_refused_leaves_the_hedge_at_work():
    host = Host()
    host.attempts = [delayed(0.6, SHED), delayed(0.6, GOOD), GOOD]
    expected = hedge_seconds(host) + 0.6
    answer, seconds = send_timed(host)
    assert answer.status == 200 and seconds == pytest.approx(expected)
    assert len(host.sends) == 2


def test_non_idempotent_request_is_not_hedged():
    host = Host()
    host.attempts = [delayed(0.7, GOOD)]
    assert host.send_request("/a/1", caller_timeout=1.5).unwrap().status == 200
    assert len(host.sends) == 1


def test_request_that_broke_an_idle_connection_is_sent_over_new_ones():
    """Guards against a request that crashes upstreams unseen (review, case 9)."""
    host = Host(upstream_count=6)
    idle = BROKEN._replace(broke_connection=False, broke_idle_connection=True)
    host.attempts = [idle, BROKEN]
    host.send_request("/s/1")
    host.attempts = [BROKEN, BROKEN]
    host.send_request("/s/1")
    assert host.used_new == [False, True, True, True]
    assert get_refusal(host.send_request("/s/1")).reason is Reason.SUSPECT
    host.attempts = [idle, GOOD, GOOD]
    assert isinstance(host.send_request("/s/2"), Success)
    assert isinstance(host.send_request("/s/2"), Success)
    assert host.used_new[-3:] == [False, True, False]


def test_an_error_of_an_upstream_does_not_clear_a_request_that_crashes_others():
    """Guards against crashes without end where some upstreams answer 500 at once."""
    host = Host(upstream_count=6)
    host.attempts = [BROKEN, BAD, BROKEN, BAD, BROKEN, BAD]
    for _ in range(3):
        host.send_request("/s/1")
    assert get_refusal(host.send_request("/s/1")).reason is Reason.SUSPECT


def test_shed_after_a_broken_connection_is_not_reported_as_not_run(host):
    host.attempts = [BROKEN, SHED]
    refusal = get_refusal(host.send_request("/s/1"))
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_keys_identify_accounts_and_open_routes_need_no_key(host):
    assert get_refusal(host.send_request(key=None)).reason is Reason.KEY_MISSING
    assert get_refusal(host.send_request(key="other")).reason is Reason.KEY_UNKNOWN
    host.attempts = [GOOD]
    assert isinstance(host.send_request("/o/1", key=None), Success)
    assert "x-account" not in host.sends[0][2]


def test_stale_configuration_refuses_keys_and_serves_open_routes(host):
    host.clock.time += MAX_KEY_AGE_SECONDS + 0.1
    refusal = get_refusal(host.send_request())
    assert refusal.reason is Reason.NOT_CURRENT and refusal.verdict is Verdict.NOT_RUN
    assert not host.sends
    host.attempts = [GOOD]
    assert isinstance(host.send_request("/o/1"), Success)


def test_keys_are_refused_while_a_restored_store_may_lack_their_withdrawal():
    """Guards against withdrawn keys after a start of all hosts (review, case 10)."""
    host = Host(era=1)
    for path, key in (("/a/1", "k1"), ("/a/1", "other"), ("/none/", "k1")):
        refusal = get_refusal(host.send_request(path, key))
        assert refusal.reason is Reason.NOT_CURRENT
        assert refusal.verdict is Verdict.NOT_RUN and refusal.retry_after
    assert not host.sends
    host.attempts = [GOOD, GOOD]
    assert isinstance(host.send_request("/o/1"), Success)
    # What operators write meanwhile may not be all that was lost (review, case 13).
    revision = 1
    began_at = host.clock.time
    while host.clock.time - began_at < OPERATOR_REWRITE_SECONDS:
        revision += 1
        host.put(CONFIGURATION, revision, configuration((ROUTE,)), era=1)
        assert get_refusal(host.send_request()).reason is Reason.NOT_CURRENT
        host.clock.time += 0.5
    host.put(CONFIGURATION, revision + 1, configuration((ROUTE,)), era=1)
    assert isinstance(host.send_request(), Success)


def test_request_is_not_retried_once_its_key_is_stale(host):
    def expire_key(host):
        host.clock.time += MAX_KEY_AGE_SECONDS + 0.1
        return UNREACHED

    host.attempts = [expire_key]
    refusal = get_refusal(host.send_request(caller_timeout=60.0))
    assert refusal.reason in (Reason.NOT_CURRENT, Reason.OVERLOADED)
    assert len(host.sends) == 1


def test_unknown_routes_and_keys_are_final_only_with_fresh_configuration(host):
    assert get_refusal(host.send_request("/none/")).reason is Reason.ROUTE_UNKNOWN
    host.clock.time += proxies.MAX_FRESH_AGE_SECONDS + 0.1
    assert get_refusal(host.send_request("/none/")).reason is Reason.NOT_CURRENT
    assert get_refusal(host.send_request(key="other")).reason is Reason.NOT_CURRENT


def test_nothing_is_sent_after_the_caller_disconnected(host):
    host.is_caller_gone = True
    assert get_refusal(host.send_request()).reason is Reason.CALLER_GONE
    assert not host.sends


def test_request_that_breaks_three_upstreams_is_refused(host):
    for _ in range(poison_requests.MIN_BROKEN_UPSTREAMS):
        host.attempts = [BROKEN]
        host.send_request(body=b"poison")
        host.clock.time += 0.2
    refusal = get_refusal(host.send_request(body=b"poison"))
    assert refusal.reason is Reason.SUSPECT
    host.attempts = [GOOD]
    assert isinstance(host.send_request(body=b"other"), Success)


def test_request_that_waits_is_not_sent_once_it_is_known_to_crash_upstreams(host):
    """Guards against waiting requests that crash upstreams long after the third."""
    number = poison_requests.fingerprint(ACCOUNT, host.create_request("/a/1"))

    def wait(choose):
        host.poison_requests.merge_breaks(tuple((number, f"u{i}/9") for i in range(3)))
        return choose()

    host.enter = wait
    refusal = get_refusal(host.send_request("/a/1"))
    assert refusal.reason is Reason.SUSPECT and refusal.verdict is Verdict.NOT_RUN
    assert not host.sends
    assert all(health.own_in_flight == 0 for health in host.upstream_health())


def test_refusal_over_the_rate_limit_has_a_retry_delay(host):
    host.attempts = [GOOD] * 10
    outcomes = [host.send_request() for _ in range(7)]
    refusal = get_refusal(outcomes[-1])
    assert refusal.reason is Reason.RATE_EXCEEDED
    assert 0 < refusal.retry_after <= 1 / ACCOUNT.rate + 0.01


def fail_in_the_queue(*arguments):
    raise RuntimeError("interrupted")


EXIT_PATHS = {
    "every attempt shed": lambda host: host.attempts.extend([SHED] * 2),
    "unreached": lambda host: host.attempts.extend([UNREACHED] * 4),
    "saturated": lambda host: host.saturate(),
    "no upstream": lambda host: host.put(UPSTREAMS, 2, {}),
    "caller left": lambda host: setattr(host, "is_caller_gone", True),
    "stopping": lambda host: host.dispatchers.end_by(host.clock.time),
    "task ended in the queue": lambda host: setattr(host, "enter", fail_in_the_queue),
}


@pytest.mark.parametrize("name", EXIT_PATHS)
def test_rejected_request_gives_its_rate_token_back(host, name):
    """Guards against callers that use up their rate at a pool that rejects them."""
    EXIT_PATHS[name](host)
    try:
        assert get_refusal(host.send_request()).verdict is Verdict.NOT_RUN
    except RuntimeError:
        assert name == "task ended in the queue"
    assert host.rate_limits.admitted_counts() == {ACCOUNT.id: 0}


@pytest.mark.parametrize("attempt", [GOOD, BAD, BROKEN])
def test_request_that_may_have_run_uses_its_rate_token(host, attempt):
    """Guards against an account that gets more than its rate by failing requests."""
    host.attempts = [attempt]
    host.send_request()
    assert host.rate_limits.admitted_counts() == {ACCOUNT.id: 1}


def test_closed_proxy_refuses_as_not_run(host):
    host.proxies.close()
    refusal = get_refusal(host.send_request())
    assert refusal.reason is Reason.STOPPING and refusal.verdict is Verdict.NOT_RUN


def test_retries_stop_when_the_budget_is_spent(host):
    host.attempts = [BAD, GOOD] * 10
    statuses = [host.send_request("/o/1").unwrap().status for _ in range(1)]
    assert statuses == [500]
    answers = []
    for number in range(5):
        host.attempts = [BAD, BAD]
        answers.append(host.send_request(f"/s/{number}", caller_timeout=1.0))
    assert len(host.sends) < 11


def test_retry_budget_favours_urgent_requests_while_upstreams_shed():
    """Upstreams shed 55% of the requests; the budget has a retry for one in five."""
    host = Host(upstream_count=60)
    rng = random.Random(7)
    served = {priority: [] for priority in range(3)}
    for number in range(3000):
        priority = number % 3
        host.clock.time += 0.005
        host.attempts = [SHED if rng.random() < 0.55 else GOOD for _ in range(2)]
        outcome = host.send_request(f"/{priority}/{number}", key=None)
        served[priority].append(isinstance(outcome, Success))
    shares = [sum(rows) / len(rows) for rows in served.values()]
    assert shares[0] >= 0.66
    assert shares[0] >= shares[1] >= shares[2] - 0.02
    assert sum(shares) / 3 >= 0.53


def test_retry_is_not_written_after_its_time():
    """Guards against a connect that takes until after the time of a grant."""
    host = Host(retry_seconds=0.9)
    host.attempts = [SHED, GOOD]
    assert isinstance(host.send_request(), Success)
    assert host.limits == [float("inf"), host.clock.time + 0.9]

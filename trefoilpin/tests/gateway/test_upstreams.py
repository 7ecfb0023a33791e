"""Load balancing over upstreams, and their health from outcomes."""

import pytest
from returns.result import Failure, Success

from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    table,
    upstream,
)
from trefoilpin.gateway.admission.body_memory import SMALL_BODY_BYTES
from trefoilpin.gateway.balancing import (
    early_evidence,
    remote_in_flight,
    upstream_health,
    upstreams,
)
from trefoilpin.gateway.balancing.cold_grants import (
    ASK_PERIOD_SECONDS,
    MAX_CAPACITY,
    TOKEN_SECONDS,
    ColdGrant,
)
from trefoilpin.gateway.balancing.failure_models import Outcome, UpstreamOutcome
from trefoilpin.gateway.balancing.pool_refusals import SATURATED
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.store.document_cache import CONFIGURATION, UPSTREAMS, ZONES_OUT
from trefoilpin.messages import Answer, Attempt
from trefoilpin.verdicts import Reason, Verdict

SINGLE_ATTEMPT = RetryPolicy(False, False)
TYPICAL_SECONDS = 0.1
GOOD = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", TYPICAL_SECONDS)
BAD = Attempt(Verdict.RAN, Answer(500, (), b""), None, "", 0.01)
SHED = Attempt(Verdict.NOT_RUN, Answer(503, (), b""), None, "", 0.01, shed=True)
MISDIRECTED = Attempt(Verdict.NOT_RUN, Answer(421, (), b""), None, "", 0.01, shed=True)
UNREACHED = Attempt(Verdict.NOT_RUN, None, Reason.UPSTREAM_UNREACHABLE, "", 0.3)


@pytest.fixture
def host():
    """Return the service, the function that sets documents, and the clock."""
    kernel, clock, lines = create_host()
    _, put = create_document_cache(kernel)
    service = upstreams.create(kernel, "a", lambda: 2)
    put(CONFIGURATION, 1, configuration())
    return service, put, clock


def choose(service, tried=frozenset(), retry_policy=SINGLE_ATTEMPT):
    return service.choose("p", tried, retry_policy, TYPICAL_SECONDS)


def send(service, attempt, tried=frozenset()):
    choice = choose(service, tried).unwrap()
    service.release(choice, attempt, TYPICAL_SECONDS)
    return choice.upstream.id


def test_failing_upstream_gets_no_requests(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    bad = send(service, BAD)
    for _ in range(20):
        clock.time += 0.02
        assert send(service, GOOD) != bad


def test_upstream_whose_answer_broke_off_on_its_way_gets_no_requests(host):
    """Guards against an upstream that counts as good by the heads of its answers."""
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    bad = send(service, GOOD)
    service.record_broken_answer(bad)
    service.record_broken_answer("unknown")
    latest = max(service.recent_outcomes(True), key=lambda shared: shared[0])
    assert (latest.upstream, latest.outcome) == (bad, Outcome.FAILED)
    for _ in range(20):
        clock.time += 0.02
        assert send(service, GOOD) != bad


def test_outcomes_of_other_hosts_count_once(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    shared = UpstreamOutcome(1, "u1", Outcome.FAILED)
    service.merge_outcomes("h2", 1, (shared,))
    first = service.pool_health("p")[0].failure_probability
    service.merge_outcomes("h2", 1, (shared,))
    assert service.pool_health("p")[0].failure_probability == first
    assert send(service, GOOD) == "u2"


def test_requests_of_other_hosts_occupy_slots(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1, slots=2)))
    service.merge_in_flight("h2", {"u1": 2})
    assert isinstance(choose(service), Success)
    outcome = choose(service)
    assert outcome.failure().reason is Reason.OVERLOADED
    clock.time += remote_in_flight.IN_FLIGHT_EXPIRY_SECONDS + 0.1
    service.expire_in_flight()
    assert isinstance(choose(service), Success)


def test_draining_upstreams_and_zones_that_are_out_get_no_requests(host):
    service, put, clock = host
    entries = table(upstream(1, draining=True), upstream(2, zone="b"), upstream(3))
    put(UPSTREAMS, 1, entries)
    put(ZONES_OUT, 2, frozenset(("b",)))
    for _ in range(5):
        assert send(service, GOOD) == "u3"
    put(ZONES_OUT, 3, frozenset(("a", "b")))
    assert choose(service).failure().reason is Reason.NO_UPSTREAM


def test_cold_upstream_gets_a_request_for_each_granted_token():
    """The only host that asks gets nearly all of the rate, and nothing beyond it."""
    kernel, clock, _ = create_host()
    tasks = []
    kernel = kernel._replace(
        spawn=lambda *task: tasks.append(task),
        clock=kernel.clock._replace(sleep=lambda seconds: None),
    )
    _, put = create_document_cache(kernel)
    service = upstreams.create(kernel, "a", lambda: 2)
    grants = kernel.find("cold_grants")
    put(CONFIGURATION, 1, configuration())
    put(UPSTREAMS, 1, table(upstream(1, slots=1000, cold=10.0)))
    assert not isinstance(choose(service), Success)
    held_since = clock.time
    grants.on_ask(
        lambda ask: grants.receive(
            ColdGrant(ask.number, True, "", grants.answer(ask, clock.time, held_since))
        )
    )
    sent_at, asked_at = [], clock.time
    while clock.time < held_since + 4.0:
        clock.time += 0.01
        outcome = choose(service)
        if clock.time >= asked_at + ASK_PERIOD_SECONDS:
            asked_at = clock.time
            while tasks:
                tasks.pop(0)[0]()
        if isinstance(outcome, Success):
            sent_at.append(clock.time)
            service.release(outcome.unwrap(), GOOD, TYPICAL_SECONDS)
    rate = configuration().pool_by_id["p"].cold_rate
    assert len(sent_at) >= rate * 4.0 * 0.8
    for at in sent_at:
        sent = sum(at <= time < at + 1.0 for time in sent_at)
        assert sent <= rate * (1.0 + TOKEN_SECONDS) + MAX_CAPACITY


def test_request_that_became_too_late_is_no_failure_of_its_upstream(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1)))
    choice = choose(service).unwrap()
    service.release(choice, UNREACHED._replace(is_too_late=True), TYPICAL_SECONDS)
    assert service.pool_health("p")[0].failed_connects == 0
    assert isinstance(choose(service), Success)


def test_rate_limit_applies_at_once_when_an_upstream_turns_cold_again(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1, slots=1000)))
    put(UPSTREAMS, 2, table(upstream(1, slots=1000, cold=3.0)))
    clock.time += 0.5
    outcomes = [choose(service) for _ in range(50)]
    assert sum(isinstance(outcome, Success) for outcome in outcomes) <= 7


def test_upstream_that_is_cold_again_for_as_long_needs_tokens_again(host):
    """Guards against a host that missed the entry in between, and takes it for warm."""
    service, put, clock = host
    entry = upstream(1, cold=3.0)
    put(UPSTREAMS, 1, table(entry._replace(cold_heartbeat=4)))
    clock.time += 5.0
    service.release(choose(service).unwrap(), GOOD, TYPICAL_SECONDS)
    put(UPSTREAMS, 2, table(entry._replace(cold_heartbeat=9)))
    assert not isinstance(choose(service), Success)


def test_new_incarnation_begins_with_fresh_health(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1)))
    send(service, BAD)
    assert service.pool_health("p")[0].failure_probability > 0.5
    put(UPSTREAMS, 2, table(upstream(1, born=2)))
    assert service.pool_health("p")[0].failure_probability < 0.5


def test_unreachable_or_misdirected_upstream_is_avoided(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    for attempt in (UNREACHED, MISDIRECTED):
        unreached = send(service, attempt)
        assert all(send(service, GOOD) != unreached for _ in range(5))
        clock.time += 5.0


DOUBTFUL = Attempt(
    Verdict.MAY_HAVE_RUN, None, Reason.UPSTREAM_BROKEN, "", 0.01, may_be_shed=True
)


@pytest.mark.parametrize("shed", [SHED, DOUBTFUL])
def test_pool_that_sheds_everywhere_is_saturated_but_not_failing(host, shed):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    send(service, shed)
    send(service, shed)
    assert choose(service).failure().reason is Reason.OVERLOADED
    clock.time += upstream_health.FULL_AFTER_SHED_SECONDS + 0.01
    assert isinstance(choose(service), Success)


def test_pool_of_failing_upstreams_is_still_used(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    recent_outcomes = (
        UpstreamOutcome(1, "u1", Outcome.FAILED),
        UpstreamOutcome(2, "u2", Outcome.FAILED),
    )
    service.merge_outcomes("h2", 1, recent_outcomes)
    assert isinstance(choose(service), Success)


def test_hanging_request_counts_as_slow_once(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1)))
    choose(service)
    before = service.pool_health("p")[0].failure_probability
    clock.time += 1.0
    service.check_overdue()
    after = service.pool_health("p")[0].failure_probability
    service.check_overdue()
    assert after > before and service.pool_health("p")[0].failure_probability == after
    assert [shared.outcome for shared in service.recent_outcomes(False)] == [
        Outcome.SLOW
    ]


def test_release_of_an_unsent_request_records_no_outcome(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1)))
    choice = choose(service).unwrap()
    service.release(choice, None, TYPICAL_SECONDS)
    health = service.pool_health("p")[0]
    assert health.own_in_flight == 0 and clock.time >= health.avoided_until
    assert isinstance(choose(service), Success)
    assert isinstance(choose(service, frozenset(("u1",))), Failure)


def test_upstream_that_says_it_leaves_gets_no_requests_until_it_starts_anew(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    left = send(service, GOOD._replace(draining=True))
    number = int(left[1:])
    for step in range(40):
        clock.time += 0.5
        assert send(service, GOOD) != left
    other = 3 - number
    put(UPSTREAMS, 2, table(upstream(number, slots=7), upstream(other, draining=True)))
    assert choose(service).failure().reason is Reason.NO_UPSTREAM
    put(UPSTREAMS, 3, table(upstream(number, born=9)))
    assert send(service, GOOD) == left


def test_upstream_that_left_gets_nothing_when_its_entry_returns_after_an_outage(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    left = send(service, GOOD._replace(draining=True))
    number = int(left[1:])
    other = upstream(3 - number)
    put(UPSTREAMS, 2, table(other))
    clock.time += 30.0
    put(UPSTREAMS, 3, table(upstream(number), other))
    for _ in range(40):
        clock.time += 0.5
        assert send(service, GOOD) != left


def test_upstream_gets_no_requests_while_the_pause_it_asked_for_lasts(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    paused = send(service, SHED._replace(pause_seconds=2.0))
    until = clock.time + 2.0
    clock.time += 0.1
    others = frozenset(("u1", "u2")) - {paused}
    while clock.time < until - 0.01:
        assert send(service, GOOD) != paused
        assert isinstance(choose(service, others), Failure)
        clock.time += 0.05
    clock.time = until
    assert send(service, GOOD, others) == paused


def test_pool_that_asks_for_a_pause_is_refused_at_once_until_it_ends(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    send(service, SHED._replace(pause_seconds=3.0))
    send(service, SHED._replace(pause_seconds=2.0))
    delays = [choose(service).failure().retry_after for _ in range(20)]
    assert all(2.0 <= delay <= 3.0 for delay in delays) and len(set(delays)) > 10
    assert choose(service).failure().reason is Reason.NO_UPSTREAM
    clock.time += 1.9
    assert choose(service).failure().reason is Reason.OVERLOADED
    clock.time += 0.1
    assert isinstance(choose(service), Success)


def send_for(service, clock, seconds, is_failed):
    """Send 50 non-idempotent requests a second; return the upstreams that got some."""
    used = set()
    for number in range(int(seconds * 50)):
        attempt = BAD if is_failed(number) else GOOD
        used.add(send(service, attempt))
        clock.time += 0.02
    return used


@pytest.mark.parametrize("failed_every, floor", [(9, 0.7), (50, 0.7)])
def test_pool_that_fails_a_tenth_of_its_requests_uses_its_healthy_upstreams(
    host, failed_every, floor
):
    """Upstreams that failed some time ago get requests again, as the floor asks.

    Guards also against a host that uses ever fewer upstreams while few requests fail:
    when all hosts then lose power, the requests in flight were not served, and the
    floor was owed. No more upstreams than the floor asks for are used.
    """
    service, put, clock = host
    ids = [f"u{number}" for number in range(1, 11)]
    put(UPSTREAMS, 1, table(*(upstream(number) for number in range(1, 11))))
    outcomes = []
    for number, upstream_id in enumerate(ids[:7], 1):
        outcomes.append(UpstreamOutcome(number, upstream_id, Outcome.FAILED))
    service.merge_outcomes("h2", 1, tuple(outcomes))

    def is_failed(number):
        return number % failed_every == 0

    send_for(service, clock, 3.0, is_failed)
    used = send_for(service, clock, 2.0, is_failed)
    assert len(used) >= floor * len(ids)
    if failed_every == 50:
        assert len(used) <= 0.8 * len(ids)


def test_upstream_that_joins_gets_its_first_request_soon(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    for _ in range(20):
        clock.time += 0.05
        send(service, GOOD)
    put(UPSTREAMS, 2, table(upstream(1), upstream(2), upstream(3)))
    sent = []
    for _ in range(22):
        clock.time += 0.05
        sent.append(send(service, GOOD))
    assert "u3" in sent


def test_newcomer_that_another_host_uses_needs_no_request_of_this_one(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    send(service, GOOD)
    put(UPSTREAMS, 2, table(upstream(1), upstream(2), upstream(3)))
    service.merge_in_flight("h2", {"u3": 1})
    for _ in range(40):
        clock.time += 0.05
        assert send(service, GOOD) != "u3"


def test_deadline_too_short_for_the_usual_work_is_no_evidence(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1)))
    before = service.pool_health("p")[0].failure_probability
    reason = Reason.UPSTREAM_TIMEOUT
    cut = Attempt(Verdict.MAY_HAVE_RUN, None, reason, "", TYPICAL_SECONDS)
    send(service, cut)
    send(service, BAD._replace(answer=Answer(504, (), b""), seconds=TYPICAL_SECONDS))
    assert service.pool_health("p")[0].failure_probability == before
    assert service.recent_outcomes(True) == ()
    send(service, cut._replace(seconds=TYPICAL_SECONDS * 5))
    assert service.pool_health("p")[0].failure_probability > 0.5


def start_after_failures(host, seconds):
    """Return a choice in flight, its health and the clock, after six failures."""
    service, put, clock = host
    put(UPSTREAMS, 1, table(*(upstream(number) for number in range(1, 7))))
    for _ in range(6):
        send(service, BAD._replace(seconds=seconds))
    clock.time += 20.0
    choice = choose(service).unwrap()
    clock.time += early_evidence.FAST_FAILURE_SECONDS + 0.01
    service.check_overdue()
    by_id = {health.upstream.id: health for health in service.pool_health("p")}
    return choice, by_id[choice.upstream.id], clock


def test_request_that_outlives_fast_failures_is_good_evidence_before_it_ends(host):
    choice, health, clock = start_after_failures(host, 0.002)
    assert health.failure_probability < 0.1
    proven_at = health.updated_at
    clock.time += 0.5
    host[0].release(choice, GOOD._replace(seconds=0.5), 0.5)
    assert health.updated_at == proven_at


def test_request_proves_nothing_early_where_failures_are_slow(host):
    _, health, clock = start_after_failures(host, 0.09)
    assert health.updated_at < clock.time - 10


def test_upstream_of_another_zone_is_used_while_those_of_the_own_zone_are_full(host):
    service, put, clock = host
    near, far = upstream(1, slots=4), upstream(2, zone="b", slots=20)
    put(UPSTREAMS, 1, table(near, far))
    used = [choose(service).unwrap().upstream.id for _ in range(12)]
    assert used[0] == "u1" and 2 <= used.count("u1") <= 5
    assert service.in_flight_counts("b") == {"u2": used.count("u2")}
    assert service.in_flight_counts(None)["u1"] == used.count("u1")


def test_pool_without_upstreams_in_the_own_zone_uses_the_others(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1, zone="b"), upstream(2, zone="c")))
    repeatable = RetryPolicy(True, True)
    used = set()
    for _ in range(40):
        outcome = choose(service, retry_policy=repeatable)
        used.add(outcome.unwrap().upstream.id)
        service.release(outcome.unwrap(), GOOD, TYPICAL_SECONDS)
    assert used == {"u1", "u2"}


def test_first_requests_go_to_upstreams_that_did_not_fail_at_once(host):
    """Half of a pool fails at once when traffic starts; answers take half a second.

    At most a sixth of the first requests may find that out, and once an upstream let a
    request live longer, no untried one is used while it is at most half full.
    """
    service, put, clock = host
    numbers = range(1, 21)
    put(UPSTREAMS, 1, table(*(upstream(number, slots=6) for number in numbers)))
    failing = {f"u{number}" for number in numbers if number % 2}
    started_by_id = {}
    choices_beside_proven, failures = 0, 0
    for _ in range(50):
        proven = set()
        for upstream_id, starts in started_by_id.items():
            has_outlived = clock.time - starts[0] > early_evidence.FAST_FAILURE_SECONDS
            if has_outlived and len(starts) <= 3:
                proven.add(upstream_id)
        choice = choose(service).unwrap()
        if proven:
            choices_beside_proven += 1
            assert choice.upstream.id in started_by_id
        if choice.upstream.id in failing:
            failures += 1
            service.release(choice, BAD._replace(seconds=0.002), 0.5)
        else:
            started_by_id.setdefault(choice.upstream.id, []).append(clock.time)
        clock.time += 0.01
    assert choices_beside_proven >= 10
    assert failures <= 50 / 6


def test_host_outside_the_mesh_leaves_newcomers_and_cold_upstreams_alone():
    """Hundreds of such hosts would together send a cold upstream far over its rate."""
    kernel, clock, _ = create_host()
    _, put = create_document_cache(kernel)
    service = upstreams.create(kernel, "a", lambda: 2, lambda: False)
    put(CONFIGURATION, 1, configuration())
    put(UPSTREAMS, 1, table(upstream(1), upstream(2)))
    joined = upstream(3, cold=3.0)
    put(UPSTREAMS, 2, table(upstream(1), upstream(2), joined, upstream(4)))
    repeatable = RetryPolicy(True, True)
    for _ in range(40):
        clock.time += 0.05
        choice = choose(service, retry_policy=repeatable).unwrap()
        assert choice.upstream.id != "u3"
        service.release(choice, GOOD, TYPICAL_SECONDS)
    assert not isinstance(choose(service, frozenset(("u1", "u2", "u4"))), Success)
    clock.time += 2.0
    assert isinstance(choose(service, frozenset(("u1", "u2", "u4"))), Success)


def test_upstream_whose_entry_returns_has_no_requests_in_flight_from_before(host):
    service, put, clock = host
    put(UPSTREAMS, 1, table(upstream(1, slots=2), upstream(2)))
    service.merge_in_flight("h2", {"u1": 3})
    put(UPSTREAMS, 2, table(upstream(2)))
    service.merge_in_flight("h2", {})
    put(UPSTREAMS, 3, table(upstream(1, slots=2), upstream(2)))
    assert isinstance(choose(service, frozenset(("u2",))), Success)


@pytest.mark.parametrize("is_sender, floor", [(True, 0.9), (False, 0.7)])
def test_floor_holds_by_the_failures_of_all_senders(host, is_sender, floor):
    """Each of two senders has a share of the failures that says little by itself.

    Within the 2 s in which the floor is owed, this host has to use what is due. Hosts
    with few requests send wherever, so their failures say nothing of what is served.
    """
    service, put, clock = host
    numbers = range(1, 11)
    put(UPSTREAMS, 1, table(*(upstream(number) for number in numbers)))
    old = [UpstreamOutcome(n, f"u{n}", Outcome.FAILED) for n in numbers[:7]]
    service.merge_outcomes("h9", 1, tuple(old), False)
    send_for(service, clock, 4.0, lambda number: False)
    used = set()
    # 13 of 100 requests a second, of which this host sends half.
    for number in range(1, 26):
        failed = UpstreamOutcome(number, "u10", Outcome.FAILED)
        service.merge_outcomes("h2", 1, (failed,), is_sender)
        used |= send_for(service, clock, 0.08, lambda number: False)
    assert len(used) >= floor * len(numbers)
    if not is_sender:
        assert len(used) <= 0.8 * len(numbers)


def test_bodies_in_flight_at_one_upstream_are_bounded_and_one_is_always_sent(host):
    """Guards against an upstream that crashes under the bodies that it holds.

    The bound grows with the slots and is shared by the two hosts that send requests.
    """
    service, put, _ = host
    put(UPSTREAMS, 1, table(upstream(1, slots=8), upstream(2, slots=8)))
    size = upstream_health.BODY_BYTES_PER_SLOT * 8 // 2

    def choose_for(body_bytes):
        return service.choose(
            "p", frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS, body_bytes
        )

    first, second = choose_for(3 * size).unwrap(), choose_for(size).unwrap()
    assert first.upstream.id != second.upstream.id
    assert choose_for(size) is SATURATED
    assert isinstance(choose_for(SMALL_BODY_BYTES), Success)
    service.release(second, GOOD, TYPICAL_SECONDS)
    halves = [choose_for(size // 2) for _ in range(3)]
    assert [isinstance(half, Success) for half in halves] == [True, True, False]
    assert {half.unwrap().upstream.id for half in halves[:2]} == {second.upstream.id}

"""Which requests may be retried, and the bound of the retry budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import retries
from trefoilpin.fakes.loops import LoopState, create_host_kernel
from trefoilpin.messages import Attempt
from trefoilpin.verdicts import Reason, Verdict

SHARE = 0.2
MIN_PER_SECOND = 1.0


def attempt(verdict, reason):
    return Attempt(verdict, None, reason, "", 0.0)


def test_non_idempotent_requests_are_retried_only_after_not_run():
    for reason in Reason:
        for verdict in Verdict:
            allowed = retries.may_retry(attempt(verdict, reason), False)
            assert allowed == (verdict is Verdict.NOT_RUN)


def test_idempotent_requests_are_retried_after_broken_connections_and_timeouts():
    for reason in (Reason.UPSTREAM_BROKEN, Reason.UPSTREAM_TIMEOUT):
        assert retries.may_retry(attempt(Verdict.MAY_HAVE_RUN, reason), True)
    assert not retries.may_retry(attempt(Verdict.RAN, None), True)


def test_attempt_deadline_leaves_time_only_when_a_retry_is_possible():
    assert retries.attempt_deadline(0.0, 10.0, True, True) == 5.0
    assert retries.attempt_deadline(0.0, 10.0, True, False) == 10.0
    assert retries.attempt_deadline(0.0, 10.0, False, True) == 10.0


def test_hosts_together_stay_within_the_budget_however_many_there_are():
    """Guards against retries beyond the budget when more hosts than planned send."""
    state = LoopState(1)
    hosts = []
    for _ in range(30):
        hosts.append(
            retries.create(
                create_host_kernel(state), SHARE, MIN_PER_SECOND, 40.0, lambda: 30
            )
        )
    granted = 0
    for _ in range(100):
        state.now += 0.1
        granted += sum(host.withdraw("pool") for host in hosts)
    assert granted <= 40.0 + MIN_PER_SECOND * 10.0


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 2), st.integers(0, 20), st.integers(0, 20))))
def test_retries_stay_within_the_share_and_the_minimum_rate(steps):
    state = LoopState(1)
    service = retries.create(create_host_kernel(state), SHARE, MIN_PER_SECOND)
    started, requests, granted = state.now, 0, 0
    for seconds, sent, wanted in steps:
        state.now += seconds
        for _ in range(sent):
            service.deposit("pool")
        requests += sent
        granted += sum(service.withdraw("pool") for _ in range(wanted))
        elapsed = state.now - started
        allowed = SHARE * requests + MIN_PER_SECOND * (elapsed + 1)
        assert granted <= allowed + 1e-6

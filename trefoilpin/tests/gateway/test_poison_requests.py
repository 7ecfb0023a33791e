"""Detection of requests that crash upstreams."""

from trefoilpin.fakes.gateways import ACCOUNT, create_host
from trefoilpin.gateway import poison_requests
from trefoilpin.messages import CallerRequest

POISON = 7


def test_breaks_of_all_hosts_count_once_for_each_upstream():
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    service.record_break(POISON, "u1")
    service.merge_breaks(((POISON, "u1"), (POISON, "u2")))
    service.merge_breaks(((POISON, "u2"),))
    assert service.check(POISON) is None
    service.merge_breaks(((POISON, "u3"),))
    assert service.check(POISON).retry_after > 0
    clock.time += poison_requests.REFUSAL_SECONDS + 0.1
    assert service.check(POISON) is None


def test_complete_answer_clears_a_request_and_old_breaks_expire():
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    for upstream in ("u1", "u2"):
        service.record_break(POISON, upstream)
    service.record_answer(POISON)
    service.record_break(POISON, "u3")
    assert service.check(POISON) is None
    clock.time += poison_requests.BREAK_WINDOW_SECONDS + 0.1
    service.record_break(POISON, "u4")
    service.record_break(POISON, "u5")
    assert service.check(POISON) is None


def test_breaks_are_shared_for_a_limited_time():
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    service.record_break(POISON, "u1")
    assert service.recent_breaks() == ((POISON, "u1"),)
    clock.time += poison_requests.BREAK_SHARING_SECONDS + 0.1
    assert service.recent_breaks() == ()


def test_fingerprint_is_the_same_on_every_host_and_depends_on_account_and_body():
    request = CallerRequest("i", "POST", "h", "/a/", "", (), b"x", "p", 0.0, None)
    number = poison_requests.fingerprint(ACCOUNT, request)
    assert number == poison_requests.fingerprint(
        ACCOUNT, request._replace(request_id="j")
    )
    assert number != poison_requests.fingerprint(None, request)
    assert number != poison_requests.fingerprint(ACCOUNT, request._replace(body=b"y"))
    assert number == 3491639412359222985

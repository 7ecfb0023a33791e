"""Detection of requests that crash upstreams."""

from trefoilpin.fakes.gateways import ACCOUNT, create_host
from trefoilpin.gateway.admission import break_reports, poison_requests
from trefoilpin.gateway.admission.break_reports import Audience
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


def test_request_that_comes_again_rarely_is_refused_too():
    """Guards against a request that crashes upstreams each time it comes again."""
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    sent = 0
    for number in range(100):
        if service.check(POISON) is None:
            sent += 1
            # Two upstreams, back under their ids after each crash.
            service.record_break(POISON, f"u{number % 2}/{number}")
        clock.time += 12.0
    # Three that show it, and one after each refusal of 60, 120, 240 and 480 s.
    assert sent <= 3 + 4


def test_breaks_told_again_do_not_extend_a_refusal():
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    breaks = tuple((POISON, f"u{number}/1") for number in range(3))
    service.merge_breaks(breaks)
    clock.time += poison_requests.REFUSAL_SECONDS + 0.1
    service.merge_breaks(breaks)
    assert service.check(POISON) is None


def test_answer_at_another_host_clears_a_request():
    kernel, _, _ = create_host()
    other = poison_requests.create(kernel)
    other.record_break(POISON, "u1/1")
    assert other.recent_answers() == ()
    other.record_answer(POISON)
    assert other.recent_answers() == (POISON,)
    other.record_answer(POISON)
    assert other.recent_answers() == (POISON,)
    kernel, _, _ = create_host()
    service = poison_requests.create(kernel)
    service.merge_breaks(((POISON, "u1/1"), (POISON, "u2/1")))
    service.merge_answers(other.recent_answers())
    service.merge_breaks(((POISON, "u3/1"),))
    assert service.check(POISON) is None


def test_number_of_suspects_is_bounded():
    kernel, _, _ = create_host()
    service = poison_requests.create(kernel)
    oldest = 8
    for number in range(3):
        service.record_break(POISON, f"u{number}/1")
    for number in range(2):
        service.record_break(oldest, f"u{number}/1")
    for number in range(poison_requests.MAX_FINGERPRINTS):
        service.record_break(1000 + number, "u1/1")
    service.record_break(oldest, "u2/1")
    assert service.check(oldest) is None
    assert service.check(POISON) is not None


def test_number_of_upstreams_that_are_remembered_is_bounded():
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    count = poison_requests.MAX_INCARNATIONS + 1
    breaks = tuple((POISON, f"u{number}/1") for number in range(count))
    service.merge_breaks(breaks)
    clock.time += poison_requests.REFUSAL_SECONDS + 0.1
    service.merge_breaks(breaks[1:])
    assert service.check(POISON) is None
    service.merge_breaks(breaks[:1])
    assert service.check(POISON) is not None


def test_breaks_are_shared_for_a_limited_time():
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    service.record_break(POISON, "u1")
    for audience in Audience:
        assert service.recent_breaks(audience) == ((POISON, "u1"),)
    clock.time += break_reports.OWN_SHARING_SECONDS + 0.1
    assert service.recent_breaks(Audience.OTHERS) == ()
    assert service.recent_breaks(Audience.RELAYS) == ((POISON, "u1"),)
    clock.time += break_reports.SHARING_SECONDS
    for audience in Audience:
        assert service.recent_breaks(audience) == ()


def test_what_a_host_hears_is_passed_on_once():
    """Guards against hosts that tell each other the same break without end."""
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    service.merge_breaks(((POISON, "u1"),), is_same_zone=False)
    service.merge_breaks(((POISON, "u2"),), is_same_zone=True)
    both = ((POISON, "u1"), (POISON, "u2"))
    assert service.recent_breaks(Audience.ZONE) == both
    assert service.recent_breaks(Audience.RELAYS) == ((POISON, "u2"),)
    assert service.recent_breaks(Audience.OTHERS) == ()
    service.merge_answers((POISON,), is_same_zone=True)
    assert service.recent_answers(Audience.ZONE) == (POISON,)
    assert service.recent_answers(Audience.RELAYS) == (POISON,)
    clock.time += break_reports.SHARING_SECONDS + 0.1
    service.merge_breaks(both, is_same_zone=True)
    service.merge_answers((POISON,), is_same_zone=True)
    for audience in Audience:
        assert service.recent_breaks(audience) == ()
        assert service.recent_answers(audience) == ()
    service.merge_breaks(((POISON, "u3"),))
    assert service.check(POISON) is None


def test_breaks_of_refused_requests_are_repeated_and_introduced():
    """Guards against hosts that start, or were cut off, and know nothing of them."""
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    for number in range(5):
        service.record_break(POISON, f"u{number}")
    told = 0
    for _ in range(100):
        clock.time += 0.1
        breaks = service.recent_breaks(Audience.RELAYS)
        told += len(breaks) >= poison_requests.MIN_BROKEN_UPSTREAMS
        assert service.recent_breaks(Audience.OTHERS) == () or clock.time < 101
    assert 40 <= told <= 70
    other_kernel, _, _ = create_host()
    other = poison_requests.create(other_kernel)
    other.merge_breaks(service.introduced_breaks())
    assert other.check(POISON) is not None
    clock.time += poison_requests.REFUSAL_SECONDS
    assert service.introduced_breaks() == ()
    assert service.recent_breaks(Audience.ZONE) == ()


def test_request_that_was_answered_is_not_refused_by_what_others_repeat():
    """Guards against hosts that have each other refuse a sound request for ever."""
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    for number in range(3):
        service.record_break(POISON, f"u{number}")
    other_kernel, _, _ = create_host()
    other = poison_requests.create(other_kernel)
    other.merge_breaks(service.introduced_breaks())
    clock.time += poison_requests.REFUSAL_SECONDS + 1.0
    service.record_answer(POISON)
    service.merge_breaks(other.introduced_breaks(), is_same_zone=True)
    assert service.check(POISON) is None
    assert service.recent_breaks(Audience.ZONE) == ()
    service.record_break(POISON, "u0")
    service.merge_breaks(((POISON, "u5"), (POISON, "u6")))
    assert service.check(POISON) is not None


def test_break_at_a_host_whose_refusal_ended_earlier_counts():
    """Guards against one more crash at each host whose refusal ends later."""
    kernel, clock, _ = create_host()
    service = poison_requests.create(kernel)
    service.merge_breaks(tuple((POISON, f"u{number}") for number in range(3)))
    clock.time += poison_requests.REFUSAL_SECONDS - 1.0
    service.merge_breaks(((POISON, "u4"),))
    clock.time += 2.0
    assert service.check(POISON) is not None


def test_fingerprint_is_the_same_on_every_host_and_depends_on_account_and_body():
    request = CallerRequest("i", "POST", "h", "/a/", "", (), b"x", "p", 0.0, None)
    number = poison_requests.fingerprint(ACCOUNT, request)
    assert number == poison_requests.fingerprint(
        ACCOUNT, request._replace(request_id="j")
    )
    assert number != poison_requests.fingerprint(None, request)
    assert number != poison_requests.fingerprint(ACCOUNT, request._replace(body=b"y"))
    assert number == 3491639412359222985


def test_doubts_are_bounded_and_end_with_an_answer():
    kernel, _, _ = create_host()
    service = poison_requests.create(kernel)
    for number in range(3 * poison_requests.MAX_DOUBTED):
        service.record_doubt(number)
    assert not service.is_suspect(0) and service.is_suspect(number)
    assert service.check(number) is None
    service.record_answer(number)
    assert not service.is_suspect(number)

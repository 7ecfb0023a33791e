"""Notices against a naive dictionary, over lossy pulls."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import notices
from trefoilpin.fakes import loops

STEPS = st.lists(
    st.tuples(
        st.sampled_from(("publish", "pull", "sync", "wait")),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(("a", "b")),
        st.sampled_from((0.0, 1.0, 5.0, 100.0)),
    ),
    max_size=40,
)


def create(count=3):
    state = loops.LoopState(1)
    kernels = [loops.create_host_kernel(state) for _ in range(count)]
    made = [notices.create(kernel, f"h{i}") for i, kernel in enumerate(kernels)]
    return state, made


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_same_as_a_naive_dictionary_after_syncs(steps):
    state, services = create()
    naive = {}
    for action, first, second, key, seconds in steps:
        if action == "publish":
            value = f"{state.now}"
            services[first].publish("t", key, value, seconds)
            naive[key, f"h{first}"] = (value, state.now + seconds)
        if action == "pull":
            news = services[second].recent_missing(services[first].recent_ids())
            services[first].merge_items(news, 0.0)
        if action == "sync":
            services[first].merge_items(services[second].missing(b""), 0.0)
        if action == "wait":
            state.now += seconds / 10
    for _ in range(2):
        for one in services:
            for other in services:
                one.merge_items(other.missing(one.all_ids()), 0.0)
    expected = {
        (key, publisher, value)
        for (key, publisher), (value, until) in naive.items()
        if until > state.now
    }
    for service in services:
        found = {(item.key, item.publisher, item.value) for item in service.read("t")}
        assert found == expected
    assert len({service.digest() for service in services}) == 1


def test_a_late_message_does_not_prolong_a_notice():
    state, (source, target, _) = create()
    source.publish("t", "k", "v", 10.0)
    items = source.recent_missing(b"")
    state.now += 9.0
    target.merge_items(items, 9.0)
    assert target.read("t")[0].expires_at == state.now + 1.0
    state.now += 1.0
    assert target.read("t") == ()


def test_known_notices_are_not_sent_again():
    _, (source, target, _) = create()
    for number in range(50):
        source.publish("t", f"k{number}", "v", 100.0)
    assert len(source.recent_missing(target.recent_ids())) == 50
    target.merge_items(source.recent_missing(b""), 0.0)
    assert source.recent_missing(target.recent_ids()) == ()
    assert source.missing(target.all_ids()) == ()


def test_subscribers_hear_each_version_once():
    _, (source, target, _) = create()
    heard = []
    target.subscribe("t", lambda notice: heard.append(notice.value))
    source.publish("t", "k", "1", 100.0)
    items = source.recent_missing(b"")
    target.merge_items(items + items, 0.0)
    source.publish("t", "k", "2", 100.0)
    target.merge_items(source.recent_missing(target.recent_ids()), 0.0)
    target.merge_items(items, 0.0)
    assert heard == ["1", "2"]


def test_ended_notices_do_not_go_round_for_ever():
    state, services = create()
    services[0].publish("t", "k", "v", 1.0)
    for _ in range(3 * int(notices.FORGET_SECONDS)):
        state.now += 1.0
        for one in services:
            one.expire()
            for other in services:
                one.merge_items(other.missing(one.all_ids()), 0.0)
    assert [service.all_ids() for service in services] == [b"", b"", b""]


def test_ended_notices_are_forgotten():
    state, (source, _, _) = create()
    source.publish("t", "k", "v", 1.0)
    state.now += 1.0 + notices.FORGET_SECONDS + 0.1
    source.expire()
    assert source.all_ids() == b""
    assert source.digest() == bytes(notices.ID_BYTES)

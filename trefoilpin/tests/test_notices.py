"""Notices compared with a dictionary as reference, and the gossip between hosts."""

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
    services = [notices.create(kernel, f"h{i}") for i, kernel in enumerate(kernels)]
    return state, services


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_notices_match_a_dictionary_after_syncs(steps):
    state, services = create()
    model = {}
    for action, first, second, key, seconds in steps:
        if action == "publish":
            value = f"{state.now}"
            services[first].publish("t", key, value, seconds)
            model[key, f"h{first}"] = (value, state.now + seconds)
        if action == "pull":
            recent = services[second].recent_missing(services[first].recent_ids())
            services[first].merge_items(recent, 0.0)
        if action == "sync":
            services[first].merge_items(services[second].missing(b""), 0.0)
        if action == "wait":
            state.now += seconds / 10
    for _ in range(2):
        for target in services:
            for source in services:
                target.merge_items(source.missing(target.all_ids()), 0.0)
    expected = {
        (key, publisher, value)
        for (key, publisher), (value, expires_at) in model.items()
        if expires_at > state.now
    }
    for service in services:
        live = {(item.key, item.publisher, item.value) for item in service.read("t")}
        assert live == expected
    assert len({service.digest() for service in services}) == 1


def test_delayed_message_does_not_extend_the_lifetime():
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


def test_subscribers_get_each_version_once():
    _, (source, target, _) = create()
    received = []
    target.subscribe("t", lambda notice: received.append(notice.value))
    source.publish("t", "k", "1", 100.0)
    items = source.recent_missing(b"")
    target.merge_items(items + items, 0.0)
    source.publish("t", "k", "2", 100.0)
    target.merge_items(source.recent_missing(target.recent_ids()), 0.0)
    target.merge_items(items, 0.0)
    assert received == ["1", "2"]


def test_expired_notices_are_not_gossiped_forever():
    state, services = create()
    services[0].publish("t", "k", "v", 1.0)
    for _ in range(3 * int(notices.EXPIRED_RETENTION_SECONDS)):
        state.now += 1.0
        for target in services:
            target.expire()
            for source in services:
                target.merge_items(source.missing(target.all_ids()), 0.0)
    assert [service.all_ids() for service in services] == [b"", b"", b""]


def test_expired_notices_are_removed():
    state, (source, _, _) = create()
    source.publish("t", "k", "v", 1.0)
    state.now += 1.0 + notices.EXPIRED_RETENTION_SECONDS + 0.1
    source.expire()
    assert source.all_ids() == b""
    assert source.digest() == bytes(notices.ID_BYTES)

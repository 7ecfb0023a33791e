"""Merging of upstream states, exclusions, and the floor compared with a simple rule."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import upstream_states
from trefoilpin.fakes import pools
from trefoilpin.records import AvailabilityZone
from trefoilpin.reports import Entry
from trefoilpin.upstream_states import Exclusion, State

REASONS = (None, "ejected", "avoided", "cold", "draining", "zone_out")


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(REASONS), st.floats(0, 1)), min_size=1),
    st.integers(0, 12),
)
def test_ejection_and_avoidance_keep_the_floor(reasons, floor):
    pool = pools.make_pool("p", len(reasons), 6, min(floor, len(reasons)))
    reason_by_id = dict(zip((item.id for item in pool.upstreams), reasons))

    def classify(upstream):
        reason, badness = reason_by_id[upstream.id]
        return None if reason is None else Exclusion(upstream.id, reason, badness)

    view = upstream_states.build_view(pool, classify)
    count_by_reason = {name: 0 for name in REASONS}
    for reason, _ in reasons:
        count_by_reason[reason] += 1
    ejectable = (
        count_by_reason[None] + count_by_reason["ejected"] + count_by_reason["avoided"]
    )
    out = ejectable - len(view.warm) - (len(view.cold) - count_by_reason["cold"])
    assert out == view.excluded_count <= max(0, ejectable - pool.floor)
    assert view.excluded_count == min(
        ejectable - count_by_reason[None], max(0, ejectable - pool.floor)
    )
    ejected = [
        item for item in view.exclusion_by_id.values() if item.reason == "ejected"
    ]
    over_floor = [
        item
        for item in view.exclusion_by_id.values()
        if item.reason == "ejected_over_floor"
    ]
    assert all(
        a.badness >= b.badness for a, b in itertools.product(ejected, over_floor)
    )


ENTRIES = st.builds(
    Entry,
    st.sampled_from(("p0", "p1")),
    st.integers(1, 3),
    st.sampled_from([state.value for state in State]),
    st.just(0.0),
    st.integers(0, 2),
)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(ENTRIES, max_size=6), st.randoms())
def test_merge_is_independent_of_the_order(entries, rng):
    world = pools.create_world(1, 2, (pools.make_pool("p", 2, 6, 0),))
    first, second = (host.find("upstream_states") for host in world.hosts)
    first.merge("p", entries)
    shuffled = entries + entries
    rng.shuffle(shuffled)
    second.merge("p", shuffled)
    assert sorted(first.entries("p")) == sorted(second.entries("p"))


def reason_of(host, upstream):
    pool = host.find("configurations").pools_by_id["p"]
    exclusion = (
        host.find("upstream_states").pool_view(pool).exclusion_by_id.get(upstream)
    )
    return exclusion and exclusion.reason


def create():
    world = pools.create_world(1, 1, (pools.make_pool("p", 6, 6, 2),))
    pools.warm_up(world)
    return world, world.hosts[0]


def test_ejection_that_is_not_renewed_expires_into_slow_start():
    world, host = create()
    service = host.find("upstream_states")
    entry = service.set_state("p", "p0", State.EJECTED, 1.0, 1)
    assert reason_of(host, "p0") == "ejected"
    world.state.now += 10
    service.merge("p", (entry,))
    world.state.now += 10
    assert reason_of(host, "p0") == "ejected"
    world.state.now += 10
    assert reason_of(host, "p0") == "cold"


def test_new_moved_and_returned_upstreams_are_cold():
    world, host = create()
    pool = world.pools["p"]
    moved = pool.upstreams[0]._replace(address="10.9.9.9:80")
    new = pool.upstreams[1]._replace(id="new")
    upstreams = (moved, *pool.upstreams[1:], new)
    pools.submit(world, pool._replace(upstreams=upstreams))
    assert reason_of(host, "p0") == reason_of(host, "new") == "cold"
    pools.submit(world, AvailabilityZone("b", "r", out=True))
    assert reason_of(host, "p1") == "zone_out"
    pools.submit(world, AvailabilityZone("b", "r", out=False))
    assert reason_of(host, "p1") == "cold"
    assert reason_of(host, "p2") is None


def test_avoidance_expires_and_counts_towards_the_floor():
    world, host = create()
    for number in range(6):
        host.find("upstream_states").avoid_locally(
            "p", f"p{number}", 5.0, float(number)
        )
    pool = world.pools["p"]
    view = host.find("upstream_states").pool_view(pool)
    assert {item.id for item in view.warm} == {"p0", "p1"}
    world.state.now += 6
    assert len(host.find("upstream_states").pool_view(pool).warm) == 6


def test_malformed_entries_of_a_notice_are_skipped():
    text = "1\np0\t1\twarm\t0\t0\nnonsense\np1\tx\twarm\t0\t0\np2\t1\thot\t0\t0"
    assert [entry.upstream for entry in upstream_states.parse_entries(text)] == ["p0"]

"""The join of standings, and the floor against a naive rule."""

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
def test_ejection_and_avoidance_leave_the_floor(drawn, floor):
    pool = pools.make_pool("p", len(drawn), 6, min(floor, len(drawn)))
    drawn_by_id = dict(zip((item.id for item in pool.upstreams), drawn))

    def classify(upstream):
        reason, badness = drawn_by_id[upstream.id]
        return None if reason is None else Exclusion(upstream.id, reason, badness)

    view = upstream_states.build_view(pool, classify)
    takes = {name: 0 for name in REASONS}
    for reason, _ in drawn:
        takes[reason] += 1
    present = takes[None] + takes["ejected"] + takes["avoided"]
    out = present - len(view.warm) - (len(view.cold) - takes["cold"])
    assert out == view.excluded_count <= max(0, present - pool.floor)
    assert view.excluded_count == min(
        present - takes[None], max(0, present - pool.floor)
    )
    kept = [item for item in view.exclusion_by_id.values() if item.reason == "ejected"]
    forced = [
        item
        for item in view.exclusion_by_id.values()
        if item.reason == "ejected_over_floor"
    ]
    assert all(a.badness >= b.badness for a, b in itertools.product(kept, forced))


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
def test_entries_join_in_any_order(entries, rng):
    world = pools.create_world(1, 2, (pools.make_pool("p", 2, 6, 0),))
    one, other = (parts.find("upstream_states") for parts in world.hosts)
    one.merge("p", entries)
    shuffled = entries + entries
    rng.shuffle(shuffled)
    other.merge("p", shuffled)
    assert sorted(one.entries("p")) == sorted(other.entries("p"))


def reason_of(parts, upstream):
    pool = parts.find("configurations").pools_by_id["p"]
    exclusion = (
        parts.find("upstream_states").pool_view(pool).exclusion_by_id.get(upstream)
    )
    return exclusion and exclusion.reason


def create():
    world = pools.create_world(1, 1, (pools.make_pool("p", 6, 6, 2),))
    pools.warm_up(world)
    return world, world.hosts[0]


def test_an_ejection_lapses_into_slow_start_unless_renewed():
    world, parts = create()
    service = parts.find("upstream_states")
    entry = service.set_state("p", "p0", State.EJECTED, 1.0, 1)
    assert reason_of(parts, "p0") == "ejected"
    world.state.now += 10
    service.merge("p", (entry,))
    world.state.now += 10
    assert reason_of(parts, "p0") == "ejected"
    world.state.now += 10
    assert reason_of(parts, "p0") == "cold"


def test_unknown_moved_and_returned_upstreams_are_cold():
    world, parts = create()
    pool = world.pools["p"]
    moved = pool.upstreams[0]._replace(address="10.9.9.9:80")
    new = pool.upstreams[1]._replace(id="new")
    upstreams = (moved, *pool.upstreams[1:], new)
    pools.submit(world, pool._replace(upstreams=upstreams))
    assert reason_of(parts, "p0") == reason_of(parts, "new") == "cold"
    pools.submit(world, AvailabilityZone("b", "r", out=True))
    assert reason_of(parts, "p1") == "zone_out"
    pools.submit(world, AvailabilityZone("b", "r", out=False))
    assert reason_of(parts, "p1") == "cold"
    assert reason_of(parts, "p2") is None


def test_avoidance_ends_and_counts_towards_the_floor():
    world, parts = create()
    for number in range(6):
        parts.find("upstream_states").avoid_locally(
            "p", f"p{number}", 5.0, float(number)
        )
    pool = world.pools["p"]
    view = parts.find("upstream_states").pool_view(pool)
    assert {item.id for item in view.warm} == {"p0", "p1"}
    world.state.now += 6
    assert len(parts.find("upstream_states").pool_view(pool).warm) == 6


def test_malformed_notices_are_left_out():
    text = "1\np0\t1\twarm\t0\t0\nnonsense\np1\tx\twarm\t0\t0\np2\t1\thot\t0\t0"
    assert [entry.upstream for entry in upstream_states.parse_entries(text)] == ["p0"]

"""What a request is expected to lose at each upstream, and where it goes then."""

import random

from trefoilpin.gateway import upstream_selection
from trefoilpin.gateway.upstream_selection import Candidate, RetryPolicy

ONCE = RetryPolicy(False, False)
AGAIN = RetryPolicy(True, True)
CALM = Candidate("calm", 0.02, 0.2, True)


def shares(candidates, retry_policy, rounds=400):
    rng = random.Random(2)
    counts = dict.fromkeys((candidate.id for candidate in candidates), 0)
    for _ in range(rounds):
        counts[upstream_selection.choose(candidates, retry_policy, rng).id] += 1
    return counts


def test_work_that_runs_once_goes_to_the_surest():
    doubted = Candidate("doubted", 0.3, 0.0, True)
    assert shares([CALM, doubted], ONCE)["doubted"] == 0


def test_work_that_may_run_again_tries_what_is_due():
    due = Candidate("due", 0.3, 0.0, True)
    tried = shares([CALM, due], AGAIN)["due"]
    assert 0.1 <= tried / 400 <= 0.3
    failure_probability = Candidate("unsound", 0.9, 0.0, True)
    assert shares([CALM, failure_probability], AGAIN)["unsound"] == 0


def test_a_full_upstream_near_by_yields_to_a_free_one_far_away():
    full = Candidate("full", 0.02, 1.2, True)
    far = Candidate("far", 0.02, 0.1, False)
    assert shares([full, far], ONCE)["far"] == 400
    assert shares([CALM, far], ONCE)["calm"] == 400


def test_equal_upstreams_share_the_work():
    equals = [Candidate(str(number), 0.02, 0.2, True) for number in range(4)]
    assert min(shares(equals, ONCE).values()) >= 60


def test_a_slow_upstream_loses_by_its_lateness():
    slow = CALM._replace(id="slow", slowness=5.0)
    assert shares([CALM, slow], ONCE)["slow"] == 0


def test_no_candidate_is_no_choice():
    assert upstream_selection.choose([], ONCE, random.Random(1)) is None

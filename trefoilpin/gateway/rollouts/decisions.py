"""Decision on a rollout from counted evidence and time.

The version gets a few requests at first, on few of its upstreams, for about half of the
time. Then its share grows in short stages. Hosts and counts are behind by up to a
second, so each stage before the last is bounded by a budget of requests that leaves
room for those under way.
"""

from enum import Enum
from typing import NamedTuple

from trefoilpin.binomials import Tally, binomial_upper_tail

__all__ = [
    "FULL_STAGE",
    "WAITING_STAGE",
    "Action",
    "Evidence",
    "RolloutBounds",
    "RolloutView",
    "RouteEvidence",
    "Verdict",
    "decide",
    "speaks_against",
]

WAITING_STAGE, CANARY_STAGE, FULL_STAGE = 0, 1, 4
SHARE_BY_STAGE = (0.0, 0.15, 0.25, 0.5, 1.0)
# Parts of the time that is left when the first requests are sent. The last stage has
# the rest, in which the requests at the old version end.
TIME_SHARE_BY_STAGE = (0.0, 0.48, 0.12, 0.12, 0.28)
# Parts of the exposure bound that may be used up by the end of each stage.
BUDGET_BY_STAGE = (0.0, 0.45, 0.65, 0.95, float("inf"))
# The rollout ends by this share of its duration; the rest is for the status write.
END_SHARE = 0.9
# The last stage gets up to this part of the time for a pool with slow requests.
MAX_DRAIN_SHARE = 0.45
MIN_CANARY_SHARE = 0.04
MIN_CANARIES = 2
# A stage without enough evidence lasts up to this multiple of its time.
EXTENSION = 1.3
# Shortest stage as a part of the duration, for a rollout that is behind.
MIN_STAGE_SHARE = 0.08
MIN_STAGE_RESPONSES = 8
# From a request until its count is known to the coordinator, and from a stage until the
# hosts follow it: two gossip messages of 0.4 s each, one of them lost now and then.
REPORT_SECONDS = 1.0
# The last stage lasts at least until all hosts follow it and have reported so.
MIN_FULL_SECONDS = 1.5
# Rate of the rest of the rollout relative to the one so far, as demand may drop.
EXPECTED_RATE_SHARE = 0.9
# A version is bad if its share of bad responses is over this multiple of the old one's
# with this probability of an error. Gray failures come in runs of a few requests, which
# the multiple allows for, and the test is made some hundred times in a rollout.
TOLERANCE_FACTOR = 2.0
MIN_EXPECTED_SHARE = 0.06
MAX_EXPECTED_SHARE = 0.9
MAX_ERROR = 5e-4
# Failures until the hosts know that an upstream which they begin to use is failing,
# times the share of upstreams that are. Those of the old version are known already.
# More after the canary, when all upstreams of the version come into use, let a version
# with 30% of bad responses exceed its exposure bound.
FIRST_FAILURES_PER_UPSTREAM = 0.4
# The same without the upstream with the most bad responses, which may be failing by
# itself.
MAX_ERROR_WITHOUT_WORST = 0.05
MIN_BAD_RESPONSES = 4
MIN_BAD_UPSTREAMS = 2
# Probability from which on evidence speaks against a version, though not for certain.
MAX_DOUBTFUL_ERROR = 0.05
# From half of the 50 bad responses on, weaker evidence rolls a version back, and from
# 40 on it is enough to be somewhat worse; the others may be under way.
MAX_ERROR_BY_BAD_RESPONSES = ((40, 0.3), (25, 0.05))
MAX_BAD_RATIO = 1.25
MIN_OLD_RATIO = 0.02
MIN_COMPARED_RESPONSES = 20


class Action(Enum):
    """What a verdict asks for."""

    WAIT = "wait"
    ADVANCE = "advance"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


class RolloutBounds(NamedTuple):
    """Bounds on the exposure to a bad version.

    Attributes
    ----------
    exposure_share : float
        Share of the requests between the order and its time limit.
    exposure_slack : float
        Requests beyond that share.
    rollback : float
        Seconds from the 50th bad response until the version gets nothing more.
    """

    exposure_share: float
    exposure_slack: float
    rollback: float


class RouteEvidence(NamedTuple):
    """Requests on one route over a period: old version, new one, its upstreams."""

    old: Tally
    new: Tally
    new_by_upstream: dict[str, Tally]


class Evidence(NamedTuple):
    """Evidence over a period by route."""

    by_route: dict[str, RouteEvidence]


class RolloutView(NamedTuple):
    """What a verdict is made from.

    Attributes
    ----------
    elapsed, duration : float
        Seconds since the order, and until its time limit.
    stage : int
    stage_elapsed : float
        Seconds since the stage began.
    sent_old, sent_new, in_flight_old : int
    whole, stage_evidence, recent : Evidence
        Since the order, since the stage began, and in the last seconds.
    stage_responses : int
        Responses of the new version since the stage began.
    old_upstreams, new_upstreams, used_upstreams : int
        Upstreams that may be used, and those of the new version that get requests.
    drain_seconds : float
        Time that requests at the old version need to end.
    may_advance : bool
        False while the order may have been changed unnoticed.
    """

    elapsed: float
    duration: float
    stage: int
    stage_elapsed: float
    sent_old: int
    sent_new: int
    in_flight_old: int
    whole: Evidence
    stage_evidence: Evidence
    recent: Evidence
    stage_responses: int
    old_upstreams: int
    new_upstreams: int
    used_upstreams: int
    drain_seconds: float
    may_advance: bool


class Verdict(NamedTuple):
    """What the coordinator does next; ``share`` and ``canaries`` as in a stage."""

    action: Action
    stage: int
    share: float
    canaries: int
    reason: str


def add(first, second):
    """Return the sum of two tallies."""
    return Tally(first.requests + second.requests, first.bad + second.bad)


def join_routes(evidence):
    """Return the evidence of all routes together."""
    old, new = Tally(0, 0), Tally(0, 0)
    new_by_upstream: dict[str, Tally] = {}
    for route in evidence.by_route.values():
        old, new = add(old, route.old), add(new, route.new)
        for upstream, tally in route.new_by_upstream.items():
            known = new_by_upstream.get(upstream, Tally(0, 0))
            new_by_upstream[upstream] = add(known, tally)
    return RouteEvidence(old, new, new_by_upstream)


def count_first_failures(view):
    """Return the failures that show which new upstreams are failing by themselves."""
    return FIRST_FAILURES_PER_UPSTREAM * view.used_upstreams


def scopes(evidence, view):
    """Yield the evidence of each route and of all, each with its expected share."""
    total = join_routes(evidence)
    first_failures = count_first_failures(view) / max(total.new.requests, 1)
    for route_id, route in evidence.by_route.items():
        whole_old = view.whole.by_route.get(route_id, route).old
        yield route, expected_share(route, whole_old, first_failures)
    whole_old = join_routes(view.whole).old
    yield total, expected_share(total, whole_old, first_failures)


def expected_share(route, whole_old, first_failures):
    """Return the share of bad responses that is not more than a good version's.

    Late in a rollout the old version has few requests, so that all of them count.
    """
    share = 0.0
    for old in (route.old, whole_old):
        if old.requests >= MIN_COMPARED_RESPONSES:
            share = max(share, old.bad / old.requests)
    share = max(share * TOLERANCE_FACTOR, MIN_EXPECTED_SHARE) + first_failures
    return min(share, MAX_EXPECTED_SHARE)


def without_worst(route):
    """Return the new version's tally without its upstream with most bad responses."""
    worst = max(route.new_by_upstream.values(), key=lambda tally: tally.bad)
    requests = max(route.new.requests - worst.requests, 0)
    return Tally(requests, min(max(route.new.bad - worst.bad, 0), requests))


def is_worse(route, share, max_error):
    """Tell whether several upstreams show that the new version does worse."""
    bad_upstreams = sum(tally.bad > 0 for tally in route.new_by_upstream.values())
    if route.new.bad < MIN_BAD_RESPONSES or bad_upstreams < MIN_BAD_UPSTREAMS:
        return False
    # Counts of responses and of bad ones may arrive in different messages.
    requests = max(route.new.requests, route.new.bad)
    if binomial_upper_tail(route.new.bad, requests, share) > max_error:
        return False
    rest = without_worst(route)
    limit = max(max_error, MAX_ERROR_WITHOUT_WORST)
    return binomial_upper_tail(rest.bad, rest.requests, share) <= limit


def speaks_against(view, max_error=MAX_DOUBTFUL_ERROR):
    """Tell whether evidence of any period speaks against the new version."""
    for evidence in (view.whole, view.stage_evidence, view.recent):
        for route, share in scopes(evidence, view):
            if is_worse(route, share, max_error):
                return True
    return False


def nears_bad_limit(view):
    """Tell whether a version that does worse nears the bad responses allowed."""
    total = join_routes(view.whole)
    if len(total.new_by_upstream) < MIN_BAD_UPSTREAMS:
        return False
    old_ratio = total.old.bad / max(total.old.requests, 1)
    requests = max(total.new.requests, total.new.bad)
    share = max(MAX_BAD_RATIO * old_ratio, MIN_OLD_RATIO)
    share += count_first_failures(view) / requests
    share = min(share, MAX_EXPECTED_SHARE)
    error = binomial_upper_tail(total.new.bad, requests, share)
    for bad_responses, max_error in MAX_ERROR_BY_BAD_RESPONSES:
        if total.new.bad >= bad_responses:
            return error <= max_error
    return False


def request_rate(view):
    """Return the pool's requests per second since the order."""
    return (view.sent_old + view.sent_new) / max(view.elapsed, 1.0)


def exposure_cap(view, bounds):
    """Return the requests that a bad version may get until the time limit."""
    remaining = max(view.duration - view.elapsed, 0.0)
    expected = view.sent_old + view.sent_new
    expected += request_rate(view) * remaining * EXPECTED_RATE_SHARE
    return bounds.exposure_share * expected + bounds.exposure_slack


def time_share(view, stage):
    """Return the part of the rollout's time that a stage gets."""
    full = TIME_SHARE_BY_STAGE[FULL_STAGE]
    drain = (view.drain_seconds + MIN_FULL_SECONDS) / view.duration
    wanted = min(max(full, drain), MAX_DRAIN_SHARE)
    if stage == FULL_STAGE:
        return wanted
    return TIME_SHARE_BY_STAGE[stage] * (1.0 - wanted) / (1.0 - full)


def stage_seconds(view):
    """Return the time of the current stage, shorter if the rollout is behind."""
    remaining_at_start = view.duration * END_SHARE - (view.elapsed - view.stage_elapsed)
    parts = sum(time_share(view, stage) for stage in range(view.stage, FULL_STAGE + 1))
    seconds = remaining_at_start * time_share(view, view.stage) / parts
    return max(seconds, view.duration * MIN_STAGE_SHARE)


def planned_share(view, bounds, stage):
    """Return the share of a stage that budget and new upstreams allow."""
    old_upstreams = max(view.old_upstreams, 1)
    share = SHARE_BY_STAGE[stage]
    rate = request_rate(view)
    if stage == FULL_STAGE:
        return share
    if stage == CANARY_STAGE and rate > 0.0:
        seconds = view.duration * time_share(view, CANARY_STAGE)
        budget = BUDGET_BY_STAGE[stage] * exposure_cap(view, bounds)
        share = min(max(budget / (rate * seconds), MIN_CANARY_SHARE), share)
    # A new upstream gets no more than an old one does.
    share = min(share, view.new_upstreams / old_upstreams)
    under_way = view.sent_new + share * rate * REPORT_SECONDS
    if under_way >= BUDGET_BY_STAGE[stage] * exposure_cap(view, bounds):
        return 0.0
    return share


def canary_count(view, share, stage):
    """Return the number of new upstreams whose load is like that of the old ones."""
    if stage != CANARY_STAGE:
        return 0
    count = max(round(share * max(view.old_upstreams, 1)), MIN_CANARIES)
    return min(count, max(view.new_upstreams, 1))


def create_verdict(view, bounds, action, stage, reason):
    """Return a verdict with the share and the canaries of a stage."""
    share = planned_share(view, bounds, stage)
    return Verdict(action, stage, share, canary_count(view, share, stage), reason)


def roll_back(view, reason):
    """Return the verdict that ends a rollout without success."""
    return Verdict(Action.ROLL_BACK, view.stage, 0.0, 0, reason)


def decide(view, bounds):
    """Return what the coordinator of a rollout does next.

    Parameters
    ----------
    view : RolloutView
    bounds : RolloutBounds

    Returns
    -------
    Verdict
    """
    if speaks_against(view, MAX_ERROR):
        return roll_back(view, "the version does worse than the old one")
    if nears_bad_limit(view):
        return roll_back(view, "the bad responses near their limit")
    if view.stage == WAITING_STAGE:
        return decide_start(view, bounds)
    if view.stage == FULL_STAGE:
        return decide_completion(view, bounds)
    wait = create_verdict(view, bounds, Action.WAIT, view.stage, "the stage goes on")
    planned = stage_seconds(view)
    if view.stage_elapsed < planned or not view.may_advance:
        return wait
    is_doubtful = speaks_against(view)
    has_time = view.stage_elapsed < planned * EXTENSION
    has_few = view.stage_responses < MIN_STAGE_RESPONSES
    if has_time and (is_doubtful or has_few):
        return wait
    if is_doubtful:
        return roll_back(view, "evidence against the version at the end of a stage")
    if not view.new_upstreams:
        return decide_without_upstreams(view, wait)
    return create_verdict(
        view, bounds, Action.ADVANCE, view.stage + 1, "no evidence against the version"
    )


def decide_start(view, bounds):
    """Return the verdict before the version gets its first request."""
    wait = Verdict(Action.WAIT, WAITING_STAGE, 0.0, 0, "too few new upstreams")
    # The rate that the budget depends on is known after a second.
    if view.new_upstreams < MIN_CANARIES or view.elapsed < REPORT_SECONDS:
        return decide_without_upstreams(view, wait)
    if not view.may_advance:
        return wait
    reason = "new upstreams are there"
    return create_verdict(view, bounds, Action.ADVANCE, CANARY_STAGE, reason)


def decide_without_upstreams(view, wait):
    """Return a verdict for a version that can't serve all requests."""
    if view.elapsed < view.duration * END_SHARE:
        return wait
    return roll_back(view, "no upstreams of the version at the end of the time")


def decide_completion(view, bounds):
    """Return the verdict of the last stage, in which the old version gets nothing."""
    is_late = view.elapsed >= view.duration * END_SHARE
    wait = create_verdict(view, bounds, Action.WAIT, FULL_STAGE, "old requests end")
    if not view.new_upstreams:
        return decide_without_upstreams(view, wait)
    if view.stage_elapsed < MIN_FULL_SECONDS or not view.may_advance:
        return wait
    if not is_late and (view.in_flight_old or speaks_against(view)):
        return wait
    if speaks_against(view):
        return roll_back(view, "evidence against the version at the end of the time")
    reason = "no request is in flight at the old version"
    return create_verdict(view, bounds, Action.COMPLETE, FULL_STAGE, reason)

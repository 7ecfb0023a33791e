"""A fleet whose hosts send requests to upstreams of two versions under an order.

Upstreams of both versions are gray now and then: for some seconds they fail most of
their requests. A version may be bad beside that.
"""

import json
import math
from typing import Any, Callable, NamedTuple

from returns.result import Failure, Success

from trefoilpin.fakes import gateway_fleets
from trefoilpin.fakes.gateways import ROUTE, configuration
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.rollouts.decisions import RolloutBounds
from trefoilpin.gateway.store.document_cache import (
    CONFIGURATION,
    KINDS,
    ROLLOUTS,
    UPSTREAMS,
    ZONES_OUT,
)
from trefoilpin.gateway.store.records import RolloutOrder, Upstream
from trefoilpin.messages import Answer, Attempt
from trefoilpin.verdicts import Verdict

__all__ = [
    "BOUNDS",
    "NEW",
    "OLD",
    "POOL",
    "RolloutFleet",
    "RolloutSettings",
    "Send",
]

BOUNDS = RolloutBounds(0.1, 50, 5.0)
POOL, OLD, NEW = "p", "v1", "v2"
ROUTES = ("r1", "r2")
# Share of the requests on the second route.
RARE_SHARE = 0.15
TYPICAL_SECONDS = 0.45
SPREAD = 0.6
SLOTS = 6
# Mean lengths of the healthy and the failing time, and the failures in the latter.
HEALTHY_SECONDS, FAILING_SECONDS = 6.5, 2.7
FAILING_SHARE = 0.78
SETTLE_SECONDS = 4.0
# Time from the order until the new upstreams are listed.
START_SECONDS = 0.7
SINGLE_ATTEMPT = RetryPolicy(False, False)


class RolloutSettings(NamedTuple):
    """Parameters of a fleet with a rollout.

    Attributes
    ----------
    hosts, upstreams : int
        Upstreams of each version.
    rate : float
        Requests per second of all hosts.
    lost : float
        Share of datagrams lost.
    is_bad : callable
        ``is_bad(fleet, route, upstream)`` tells whether a response of the new version
        fails.
    slowdown : float
        Factor on the new version's durations.
    seed : int
    duration : float
    counts_senders : bool
        As in ``FleetSettings``.
    """

    hosts: int = 18
    upstreams: int = 24
    rate: float = 120.0
    lost: float = 0.0
    is_bad: Callable = lambda fleet, route, upstream: False
    slowdown: float = 1.0
    seed: int = 5
    duration: float = 12.0
    counts_senders: bool = False


class Send(NamedTuple):
    """A request that was sent, and when it ended."""

    sent_at: float
    ended_at: float
    version: str
    is_bad: bool


def decode_by_kind(emit):
    """Return decoders of the documents that a rollout needs."""

    def decode_upstreams(rows):
        table = {name: Upstream(*json.loads(text)) for name, text in rows.items()}
        return Success(table)

    def decode_rollouts(rows):
        orders = {}
        for name, text in rows.items():
            content = json.loads(text)
            spec, status = content["spec"], content["status"] or {}
            is_current = status.get("targetVersion") == spec["targetVersion"]
            state = status["state"] if is_current else ""
            fields = (spec["targetVersion"], spec["duration"], state, content)
            orders[name] = RolloutOrder(name, name, *fields)
        return Success(orders)

    decoders: dict[str, Any] = dict.fromkeys(KINDS)
    decoders[CONFIGURATION] = lambda rows: Success(
        configuration(tuple(ROUTE._replace(id=route) for route in ROUTES))
    )
    decoders[UPSTREAMS] = decode_upstreams
    decoders[ZONES_OUT] = lambda rows: Success(frozenset(rows))
    decoders[ROLLOUTS] = decode_rollouts
    return decoders


class RolloutFleet:
    """Hosts, upstreams and requests; ``sends`` has the requests in order of their end.

    Attributes
    ----------
    ordered_at : float
        When the last order was written.
    in_flight_by_version : dict
    """

    def __init__(self, settings=RolloutSettings()):
        self.settings = settings
        self.content = gateway_fleets.StoreContent()
        fleet_settings = gateway_fleets.FleetSettings(
            lost=settings.lost,
            seed=settings.seed,
            decode_by_kind=decode_by_kind,
            rollout_bounds=BOUNDS,
            counts_senders=settings.counts_senders,
        )
        self.fleet = gateway_fleets.Fleet(fleet_settings, self.content)
        self.rng = self.fleet.rng
        self.sends: list[Send] = []
        self.in_flight_by_version = {OLD: 0, NEW: 0}
        self.failing_until: dict[str, tuple[bool, float]] = {}
        self.ordered_at = math.inf
        self.content.put(CONFIGURATION, "main", {})
        self.put_upstreams(OLD)
        for number in range(1, settings.hosts + 1):
            node = self.fleet.start(number, "abc"[number % 3])
            self.fleet.tasks.spawn(node.owner, self.send_requests, node)
        self.fleet.run(SETTLE_SECONDS)

    def put_upstreams(self, version):
        for number in range(self.settings.upstreams):
            name = f"{version}-{number}"
            address = f"10.9.{ord(version[-1])}.{number}:80"
            fields = (name, 1, POOL, address, "abc"[number % 3], SLOTS, False, 0.0)
            self.content.put(UPSTREAMS, name, (*fields, version))

    def order(self, target=NEW):
        """Order a rollout and start the upstreams of its version."""
        self.ordered_at = self.fleet.now()
        spec = {
            "service": POOL,
            "targetVersion": target,
            "duration": self.settings.duration,
        }
        self.content.put_order(POOL, spec)

        def start_upstreams():
            self.fleet.tasks.sleep(START_SECONDS)
            self.put_upstreams(target)

        self.fleet.tasks.spawn(None, start_upstreams)

    def status(self):
        """Return the state that the store has, or an empty text."""
        stored = self.content.objects_by_kind[ROLLOUTS].get(POOL)
        status = stored and stored["status"]
        return status["state"] if status else ""

    def run_until(self, state, seconds):
        """Run until the store has a state; return the seconds since the order."""
        ends_at = self.fleet.now() + seconds
        while self.status() != state and self.fleet.now() < ends_at:
            self.fleet.run(0.1)
        return self.fleet.now() - self.ordered_at

    def send_requests(self, node):
        """Send this host's part of the requests, as they come from its callers."""
        tasks, settings = self.fleet.tasks, self.settings
        rollouts = node.kernel.find("rollouts")
        while True:
            tasks.sleep(self.rng.expovariate(settings.rate / settings.hosts))
            route = ROUTES[self.rng.random() < RARE_SHARE]
            outcome = rollouts.choose(
                route, POOL, frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS
            )
            if not isinstance(outcome, Failure):
                choice = outcome.unwrap()
                tasks.spawn(node.owner, self.exchange, rollouts, choice, route)

    def exchange(self, rollouts, choice, route):
        """Run a request at an upstream and release its choice."""
        upstream = choice.upstream
        sent_at = self.fleet.now()
        self.in_flight_by_version.setdefault(upstream.version, 0)
        self.in_flight_by_version[upstream.version] += 1
        seconds = self.rng.lognormvariate(math.log(TYPICAL_SECONDS), SPREAD)
        is_new = upstream.version != OLD
        if is_new:
            seconds *= self.settings.slowdown
        is_bad = is_new and self.settings.is_bad(self, route, upstream)
        if self.is_gray(upstream) or is_bad:
            is_bad, seconds = True, 0.02
        self.fleet.tasks.sleep(seconds)
        status = 500 if is_bad else 200
        attempt = Attempt(
            Verdict.RAN, Answer(status, (), b""), None, "", self.fleet.now() - sent_at
        )
        rollouts.release(choice, attempt, TYPICAL_SECONDS)
        self.in_flight_by_version[upstream.version] -= 1
        now = self.fleet.now()
        self.sends.append(Send(sent_at, now, upstream.version, is_bad))

    def is_gray(self, upstream):
        """Tell whether an upstream fails a request by itself."""
        now = self.fleet.now()
        is_failing, until = self.failing_until.get(upstream.id, (True, 0.0))
        while until <= now:
            is_failing = not is_failing
            mean = FAILING_SECONDS if is_failing else HEALTHY_SECONDS
            until = max(until, now) + self.rng.expovariate(1.0 / mean)
        self.failing_until[upstream.id] = (is_failing, until)
        return is_failing and self.rng.random() < FAILING_SHARE

    def exposure(self, version=NEW):
        """Return the requests that a version got, and the bound on them."""
        ends_at = self.ordered_at + self.settings.duration
        since = [send for send in self.sends if send.sent_at >= self.ordered_at]
        got = sum(send.version == version for send in since)
        total = sum(send.sent_at <= ends_at for send in since)
        return got, BOUNDS.exposure_share * total + BOUNDS.exposure_slack

    def last_send(self, version=NEW):
        """Return when a version was last sent a request."""
        times = [send.sent_at for send in self.sends if send.version == version]
        return max(times, default=-math.inf)

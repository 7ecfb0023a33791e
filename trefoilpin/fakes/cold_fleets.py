"""A fleet whose hosts send requests to upstreams, some of which join cold."""

import json
from typing import Any, NamedTuple

from returns.result import Failure, Success

from trefoilpin.fakes import gateway_fleets
from trefoilpin.fakes.gateways import configuration
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.store.document_cache import (
    CONFIGURATION,
    KINDS,
    UPSTREAMS,
    ZONES_OUT,
)
from trefoilpin.gateway.store.records import Upstream
from trefoilpin.messages import Answer, Attempt
from trefoilpin.verdicts import Verdict

__all__ = [
    "POOL",
    "SINGLE_ATTEMPT",
    "SLACK",
    "TYPICAL_SECONDS",
    "ColdFleet",
    "ColdFleetSettings",
    "bound",
    "worst_second",
]

POOL = "p"
SINGLE_ATTEMPT = RetryPolicy(False, False)
TYPICAL_SECONDS = 0.1
SLOTS = 4
SETTLE_SECONDS = 8.0
TOO_LATE = Attempt(Verdict.NOT_RUN, None, None, "", 0.0, is_too_late=True)
# A request that finds no upstream tries again at this interval, for this time.
RETRY_SECONDS = 0.05
MAX_WAIT_SECONDS = 0.8
# Longest time from the choice of an upstream until the request is written to it.
MAX_CONNECT_SECONDS = 0.02
HEALTH_PATH = "/healthz"
# Longest time from a question for an upstream's health until its answer.
MAX_CHECK_SECONDS = 0.02
# As the platform states them.
OVERSHOOT, SLACK = 1.5, 5.0


class ColdFleetSettings(NamedTuple):
    """Parameters of a fleet.

    Attributes
    ----------
    hosts, warm_upstreams : int
    cold_rate : float
        Requests per second that a cold upstream bears.
    request_seconds : float
        Mean time between two requests at a host.
    lost : float
        Share of datagrams lost.
    seed : int
    zones : str
        A letter for each zone, over which hosts and upstreams are spread in turn.
    """

    hosts: int = 16
    warm_upstreams: int = 9
    cold_rate: float = 9.9
    request_seconds: float = 0.22
    lost: float = 0.0
    seed: int = 5
    zones: str = "abc"


def bound(settings):
    """Return the requests that a cold upstream may get in any second."""
    return settings.cold_rate * OVERSHOOT + SLACK


def worst_second(times):
    """Return the most of some times that lie within one second."""
    ordered = sorted(times)
    worst, first = 0, 0
    for last, time in enumerate(ordered):
        while time - ordered[first] >= 1.0:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def decode_by_kind(cold_rate):
    """Return the function that creates the decoders of the documents."""

    def decode_upstreams(rows):
        table = {name: Upstream(*json.loads(text)) for name, text in rows.items()}
        return Success(table)

    value = configuration(cold_rate=cold_rate)
    pool = value.pool_by_id[POOL]._replace(health_path=HEALTH_PATH)
    value = value._replace(pool_by_id={POOL: pool})
    decoders: dict[str, Any] = dict.fromkeys(KINDS)
    decoders[CONFIGURATION] = lambda rows: Success(value)
    decoders[UPSTREAMS] = decode_upstreams
    decoders[ZONES_OUT] = lambda rows: Success(frozenset(rows))
    return lambda emit, reads_rollouts=False: decoders


class ColdFleet:
    """Hosts, upstreams and requests.

    Attributes
    ----------
    sends_by_upstream, checks_by_upstream : dict
        Times at which each upstream got requests, and questions for its health.
    cold_until_by_upstream : dict
        Time until which an upstream is cold, also where the store does not say so.
    served, refused : int
        Requests that were written to an upstream, and such that found none in time.
    """

    def __init__(self, settings=ColdFleetSettings()):
        self.settings = settings
        self.content = gateway_fleets.StoreContent()
        fleet_settings = gateway_fleets.FleetSettings(
            lost=settings.lost,
            seed=settings.seed,
            decode_by_kind=decode_by_kind(settings.cold_rate),
            counts_senders=True,
        )
        self.fleet = gateway_fleets.Fleet(fleet_settings, self.content)
        self.rng = self.fleet.rng
        self.sends_by_upstream: dict[str, list[float]] = {}
        self.checks_by_upstream: dict[str, list[float]] = {}
        self.cold_until_by_upstream: dict[str, float] = {}
        self.served = self.refused = 0
        self.content.put(CONFIGURATION, "main", {})
        for number in range(settings.warm_upstreams):
            self.put_upstream(f"warm-{number}", number)
        for number in range(1, settings.hosts + 1):
            self.start(number)
        self.fleet.run(SETTLE_SECONDS)

    def start(self, number, incarnation=1):
        """Start or restart a host with its requests."""
        node = self.fleet.start(number, self.zone_of(number), incarnation)
        self.fleet.tasks.spawn(node.owner, self.send_requests, node)
        self.fleet.tasks.spawn(node.owner, self.ask_upstreams, node)

    def zone_of(self, number):
        return self.settings.zones[number % len(self.settings.zones)]

    def put_upstream(self, name, number, cold_seconds=0.0, born=1):
        """Write the entry of an upstream."""
        address = f"10.9.0.{number}:80"
        zone = self.zone_of(number)
        fields = (name, born, POOL, address, zone, SLOTS, False, cold_seconds)
        self.content.put(UPSTREAMS, name, fields)
        self.turn_cold(name, cold_seconds)

    def turn_cold(self, name, seconds):
        """Have an upstream be cold, without a change of its entry."""
        self.cold_until_by_upstream[name] = self.fleet.now() + seconds

    def ask_upstreams(self, node):
        """Ask upstreams for their health when they are due."""
        tasks = self.fleet.tasks
        checks = node.kernel.find("cold_checks")
        while True:
            tasks.sleep(checks.pause())
            for check in checks.take_due():
                tasks.spawn(node.owner, self.ask_upstream, checks, check)

    def ask_upstream(self, checks, check):
        tasks, name = self.fleet.tasks, check.upstream.id
        asked_at = self.fleet.now()
        tasks.sleep(self.rng.random() * MAX_CHECK_SECONDS)
        self.checks_by_upstream.setdefault(name, []).append(self.fleet.now())
        cold_seconds = self.cold_until_by_upstream[name] - self.fleet.now()
        checks.record(check, asked_at, Success(max(cold_seconds, 0.0)))

    def send_requests(self, node):
        """Send a host's requests, as they come from its callers."""
        tasks = self.fleet.tasks
        while True:
            tasks.sleep(self.rng.expovariate(1.0 / self.settings.request_seconds))
            node.members.count_request()
            tasks.spawn(node.owner, self.send_request, node)

    def send_request(self, node):
        """Choose an upstream for a request, within its time, and send it."""
        tasks = self.fleet.tasks
        upstreams = node.kernel.find("upstreams")
        ends_at = self.fleet.now() + MAX_WAIT_SECONDS
        while self.fleet.now() < ends_at:
            outcome = upstreams.choose(
                POOL, frozenset(), SINGLE_ATTEMPT, TYPICAL_SECONDS
            )
            if not isinstance(outcome, Failure):
                self.exchange(upstreams, outcome.unwrap())
                return
            tasks.sleep(RETRY_SECONDS)
        self.refused += 1

    def exchange(self, upstreams, choice):
        """Run a request at an upstream and release its choice."""
        tasks = self.fleet.tasks
        tasks.sleep(self.rng.random() * MAX_CONNECT_SECONDS)
        sent_at = self.fleet.now()
        if sent_at >= choice.send_by:
            upstreams.release(choice, TOO_LATE, TYPICAL_SECONDS)
            return
        self.served += 1
        self.sends_by_upstream.setdefault(choice.upstream.id, []).append(sent_at)
        tasks.sleep(TYPICAL_SECONDS * (0.5 + self.rng.random()))
        seconds = self.fleet.now() - sent_at
        attempt = Attempt(Verdict.RAN, Answer(200, (), b""), None, "", seconds)
        upstreams.release(choice, attempt, TYPICAL_SECONDS)

    def run(self, seconds):
        self.fleet.run(seconds)

    def sends(self, name, since, until):
        """Return the times at which an upstream got requests within a span."""
        times = self.sends_by_upstream.get(name, ())
        return [time for time in times if since <= time < until]

    def checks(self, name, since, until):
        """Return the times at which an upstream was asked within a span."""
        times = self.checks_by_upstream.get(name, ())
        return [time for time in times if since <= time < until]

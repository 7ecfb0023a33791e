"""Share of requests sent to upstreams in a spell of failures.

Upstreams of a pool are in a spell for 30% of the time, some 3 s at once, and fail most
requests then while health checks are good. Hosts choose with the gateway's own service
and tell each other outcomes after a delay. Beside it: round robin, and an oracle that
knows every spell at once but, like anybody, not what begins after the send.
"""

import heapq
import random
from typing import NamedTuple

from bench.results import Result, finish
from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    table,
    upstream,
)
from trefoilpin.gateway import upstreams
from trefoilpin.gateway.document_cache import CONFIGURATION, UPSTREAMS
from trefoilpin.gateway.upstream_selection import RetryPolicy
from trefoilpin.messages import Answer, Attempt
from trefoilpin.verdicts import Verdict

SECONDS = 60.0
WARM_UP_SECONDS = 3.0
TELL_SECONDS = 0.03
UNSOUND_SHARE = 0.3
SPELL_SECONDS = 3.0
FAILING = 0.85
BACKGROUND = 0.012
WORK_SECONDS = 0.25
IDEMPOTENT_SHARE = 0.26
BOUND_PERCENT = 4.0
SEEDS = (1, 2, 3)


class Pattern(NamedTuple):
    """A pool's size, hosts that send and their requests a second together."""

    name: str
    upstreams: int
    slots: int
    hosts: int
    per_second: float


PATTERNS = (
    Pattern("large_pool", 25, 6, 6, 155.0),
    Pattern("thin_pool", 6, 6, 6, 52.0),
)


class Spells:
    """When each upstream is in a spell, drawn beforehand."""

    def __init__(self, count, rng):
        self.ends_by_upstream = {}
        calm = SPELL_SECONDS * (1 - UNSOUND_SHARE) / UNSOUND_SHARE
        for number in range(1, count + 1):
            at, spells = -rng.random() * (calm + SPELL_SECONDS), []
            while at < SECONDS + 10:
                begin = at + rng.expovariate(1 / calm)
                at = begin + SPELL_SECONDS * (0.5 + rng.random())
                spells.append((begin, at))
            self.ends_by_upstream[f"u{number}"] = spells

    def is_unsound(self, name, at):
        """Tell whether an upstream is in a spell."""
        for begin, end in self.ends_by_upstream[name]:
            if begin <= at < end:
                return True
        return False


def start_hosts(pattern, seed):
    """Return hosts with one clock."""
    hosts, shared = [], None
    for number in range(pattern.hosts):
        kernel, clock, _ = create_host(seed * 100 + number)
        shared = shared or clock
        kernel = kernel._replace(clock=kernel.clock._replace(now=shared.now))
        _, put = create_document_cache(kernel)
        hosts.append(upstreams.create(kernel, "a", lambda: pattern.hosts))
        put(CONFIGURATION, 1, configuration())
        entries = [
            upstream(place, slots=pattern.slots)
            for place in range(1, pattern.upstreams + 1)
        ]
        put(UPSTREAMS, 1, table(*entries))
    return hosts, shared


def play(pattern, seed):
    """Return sends to unsound upstreams and all sends, by the gateway's choice."""
    rng = random.Random(seed)
    spells = Spells(pattern.upstreams, rng)
    hosts, clock = start_hosts(pattern, seed)
    origin = clock.time
    events, order = [], iter(range(1 << 60))
    failure_probability = sends = 0

    def at(seconds, function, *arguments):
        heapq.heappush(events, (seconds, next(order), function, arguments))

    def arrive():
        nonlocal failure_probability, sends
        elapsed = clock.time - origin
        at(clock.time + rng.expovariate(pattern.per_second), arrive)
        is_idempotent = rng.random() < IDEMPOTENT_SHARE
        host = rng.choice(hosts)
        retry_policy = RetryPolicy(is_idempotent, is_idempotent)
        outcome = host.choose("p", frozenset(), retry_policy, WORK_SECONDS)
        choice = outcome.value_or(None)
        if choice is None:
            return
        is_unsound = spells.is_unsound(choice.upstream.id, elapsed)
        if elapsed > WARM_UP_SECONDS:
            sends += 1
            failure_probability += is_unsound
        fails = rng.random() < (FAILING if is_unsound else BACKGROUND)
        seconds = WORK_SECONDS * (0.5 + rng.random())
        at(clock.time + seconds, end, host, choice, fails, seconds)

    def end(host, choice, fails, seconds):
        answer = Answer(500 if fails else 200, (), b"")
        attempt = Attempt(Verdict.RAN, answer, None, "", seconds)
        host.release(choice, attempt, WORK_SECONDS)

    def tell():
        at(clock.time + TELL_SECONDS, tell)
        for number, host in enumerate(hosts):
            for other in hosts:
                if other is not host:
                    other.merge_outcomes(number, 1, host.recent_outcomes(True))
                    other.merge_in_flight(number, host.in_flight_counts(None))

    at(clock.time, arrive)
    at(clock.time, tell)
    while clock.time - origin < SECONDS:
        clock.time, _, function, arguments = heapq.heappop(events)
        function(*arguments)
    return failure_probability, sends


def main():
    """Report the share for each pool."""
    results = []
    for pattern in PATTERNS:
        for seed in SEEDS:
            failure_probability, sends = play(pattern, seed)
            results.append(
                Result(
                    f"unsound_sends.{pattern.name}",
                    round(100 * failure_probability / sends, 2),
                    "% of sends; an oracle 0, the baseline round robin",
                    BOUND_PERCENT,
                    seed,
                    100 * UNSOUND_SHARE,
                )
            )
    finish(results)


if __name__ == "__main__":
    main()

"""The store, the upstreams and what operators changed, each with its time."""

import random
import time
from typing import NamedTuple

import stand_in_objects
import stand_ins

from soak.links import open_link

__all__ = [
    "Account",
    "Change",
    "Member",
    "World",
    "ZONES",
    "expected_body",
    "create_world",
]

POOLS = ("first", "second")
ZONES = ("a", "b", "c")
UPSTREAMS_PER_POOL = 6
LIMITED_RATE = 10


class Account(NamedTuple):
    """A client account; no rate is no limit."""

    name: str
    key: str
    rate: int = 0
    burst: int = 0


class Change(NamedTuple):
    """Something that operators or upstreams told the store.

    Attributes
    ----------
    at : float
        When the store had taken it.
    kind : str
        ``key_withdrawn``, ``key_issued``, ``zone_out``, ``zone_back``, ``draining``,
        ``undrained``, ``gone``, ``route_moved``.
    subject : str
    """

    at: float
    kind: str
    subject: str


class Member:
    """An upstream behind its link."""

    def __init__(self, stand_in, link, pool, zone):
        self.fake = stand_in
        self.link = link
        self.pool = pool
        self.zone = zone
        self.born = 1


class World:
    """What is outside the hosts."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = stand_ins.start_store()
        self.upstreams: list[Member] = []
        self.changes: list[Change] = []
        self.version = 1
        self.pool_by_prefix = {"/read/": "first", "/write/": "second"}
        self.accounts = [
            Account("plain", "key-plain"),
            Account("limited", "key-limited", LIMITED_RATE, LIMITED_RATE),
            Account("fickle", "key-fickle"),
        ]
        self.withdrawn: set[str] = set()
        self.zones_out: set[str] = set()
        self.zone_by_upstream: dict[str, str] = {}
        self.pool_by_upstream: dict[str, str] = {}

    def note(self, kind, subject):
        """Write down that the store has taken a change."""
        self.changes.append(Change(time.monotonic(), kind, subject))

    def write_configuration(self):
        """Write the configuration as operators do."""
        self.version += 1
        kind_by_prefix = {"/read/": "safe", "/write/": "unsafe"}
        rules = []
        for prefix, pool in self.pool_by_prefix.items():
            rules.append(
                stand_in_objects.route_rule(
                    prefix.strip("/"), kind_by_prefix[prefix], prefix, {pool: 1}
                )
            )
        rows = []
        for account in self.accounts:
            keys = () if account.name in self.withdrawn else (account.key,)
            rows.append(
                stand_in_objects.account_entry(
                    account.name, keys, account.rate, account.burst
                )
            )
        content = stand_in_objects.configuration(self.version, rules, rows, POOLS)
        self.store.put("config", "main", content)

    def write_member(self, member, draining=False, cold=0.0):
        """Write an upstream's entry as it does itself."""
        entry = stand_in_objects.upstream_entry(
            member.link.address, member.pool, member.zone, member.born, draining, cold
        )
        name = member.fake.name
        self.zone_by_upstream[name] = member.zone
        self.pool_by_upstream[name] = member.pool
        self.store.put("servers", name, entry)

    def replace(self, member, pool):
        """Have another upstream start at a member's address; the old one is gone."""
        self.store.remove("servers", member.fake.name)
        self.note("gone", member.fake.name)
        member.born += 1
        member.pool = pool
        member.fake.name = f"{member.fake.name.split('.')[0]}.{member.born}"
        self.write_member(member)


def expected_body(request_id):
    """Return the whole body that answers a request."""
    return f"answer to {request_id}, whole".encode() * 3


def create_world(seed):
    """Return a store with a first configuration, and upstreams that run."""
    world = World(seed)
    for pool in POOLS:
        for number in range(UPSTREAMS_PER_POOL):
            stand_in = stand_ins.start_upstream(f"{pool}-{number}")
            stand_in.service_seconds = 0.03
            stand_in.response_body = expected_body
            link = open_link(stand_in.address)
            member = Member(stand_in, link, pool, ZONES[number % len(ZONES)])
            world.upstreams.append(member)
            world.write_member(member)
    world.write_configuration()
    return world

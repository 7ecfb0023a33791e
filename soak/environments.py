"""What the hosts of a run depend on: store, upstreams and the operators' changes."""

import random
import time
from typing import NamedTuple

import stand_in_objects
import stand_ins

from soak.fault_proxies import start_proxy

__all__ = [
    "Account",
    "COLD_RATE",
    "Change",
    "ProxiedUpstream",
    "Environment",
    "POOLS",
    "ZONES",
    "expected_body",
    "create_environment",
]

POOLS = ("first", "second")
ZONES = ("a", "b", "c")
UPSTREAMS_PER_POOL = 6
LIMITED_RATE = 10
COLD_RATE = stand_in_objects.COLD_RATE


class Account(NamedTuple):
    """A client account; a rate of 0 is no limit."""

    name: str
    key: str
    rate: int = 0
    burst: int = 0


class Change(NamedTuple):
    """A change that operators or upstreams wrote to the store.

    Attributes
    ----------
    written_at : float
        Monotonic seconds at which the store had applied it.
    kind : str
        ``key_withdrawn``, ``key_issued``, ``zone_out``, ``zone_restored``,
        ``draining``, ``drain_ended``, ``removed``, ``route_moved``, ``turned_cold``,
        ``joined_cold``.
    subject : str
        Account, zone or upstream; for ``route_moved`` the prefix and the pool; for the
        last two the upstream and the seconds.
    """

    written_at: float
    kind: str
    subject: str


class ProxiedUpstream:
    """A fake upstream and the proxy through which hosts reach it."""

    def __init__(self, fake, proxy, pool, zone):
        self.fake = fake
        self.proxy = proxy
        self.pool = pool
        self.zone = zone
        self.born = 1


class Environment:
    """Store, upstreams and configuration, which all hosts of a run share."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = stand_ins.start_store()
        self.upstreams: list[ProxiedUpstream] = []
        self.changes: list[Change] = []
        self.version = 1
        self.pool_by_prefix = {"/read/": "first", "/write/": "second"}
        self.accounts = [
            Account("plain", "key-plain"),
            Account("limited", "key-limited", LIMITED_RATE, LIMITED_RATE),
            Account("fickle", "key-fickle"),
        ]
        self.revoked_accounts: set[str] = set()
        self.zones_out: set[str] = set()
        self.draining_names: set[str] = set()
        self.is_restoring = False
        self.zone_by_upstream: dict[str, str] = {}
        self.pool_by_upstream: dict[str, str] = {}
        self.cold_until_by_name: dict[str, float] = {}
        self.entry_count = 0

    def record_change(self, kind, subject):
        """Record a change that the store has just applied."""
        self.changes.append(Change(time.monotonic(), kind, subject))

    def write_configuration(self):
        """Write the next version of the configuration to the store."""
        self.version += 1
        kind_by_prefix = {"/read/": "safe", "/write/": "unsafe"}
        rules = []
        for prefix, pool in self.pool_by_prefix.items():
            rules.append(
                stand_in_objects.route_rule(
                    prefix.strip("/"), kind_by_prefix[prefix], prefix, {pool: 1}
                )
            )
        account_entries = []
        for account in self.accounts:
            keys = () if account.name in self.revoked_accounts else (account.key,)
            account_entries.append(
                stand_in_objects.account_entry(
                    account.name, keys, account.rate, account.burst
                )
            )
        content = stand_in_objects.configuration(
            self.version, rules, account_entries, POOLS
        )
        self.store.put("config", "main", content)

    def start_cold(self, upstream, seconds):
        """Turn an upstream cold, for longer if it is cold already."""
        name = upstream.fake.name
        until = max(time.monotonic() + seconds, self.cold_until_by_name.get(name, 0.0))
        self.cold_until_by_name[name] = until
        upstream.fake.cold_until = until
        self.write_upstream(upstream, draining=name in self.draining_names)

    def write_upstream(self, upstream, draining=False):
        """Write an upstream's entry, with what is left of a cold start."""
        self.entry_count += 1
        name = upstream.fake.name
        cold_seconds = self.cold_until_by_name.get(name, 0.0) - time.monotonic()
        entry = stand_in_objects.upstream_entry(
            upstream.proxy.address,
            upstream.pool,
            upstream.zone,
            upstream.born,
            draining,
            max(round(cold_seconds, 2), 0.0),
            self.entry_count,
        )
        self.draining_names.discard(name)
        if draining:
            self.draining_names.add(name)
        self.zone_by_upstream[name] = upstream.zone
        self.pool_by_upstream[name] = upstream.pool
        self.store.put("servers", name, entry)

    def remove(self, kind, name):
        """Delete an object, unless a restored store lacks it."""
        if name in self.store.object_by_name_by_kind.get(kind, {}):
            self.store.remove(kind, name)

    def write_again(self):
        """Have operators and upstreams write what they want after a restore."""
        self.write_configuration()
        for zone in ZONES:
            if zone in self.zones_out:
                self.store.put("evacuations", zone, {})
            else:
                self.remove("evacuations", zone)
        current_names = set()
        for upstream in self.upstreams:
            name = upstream.fake.name
            current_names.add(name)
            self.write_upstream(upstream, draining=name in self.draining_names)
        for name in set(self.store.object_by_name_by_kind["servers"]) - current_names:
            self.remove("servers", name)

    def replace(self, upstream, pool, cold_seconds=0.0):
        """Replace an upstream by a new instance at its address, in a given pool."""
        self.remove("servers", upstream.fake.name)
        self.record_change("removed", upstream.fake.name)
        upstream.born += 1
        upstream.pool = pool
        upstream.fake.name = f"{upstream.fake.name.split('.')[0]}.{upstream.born}"
        self.start_cold(upstream, cold_seconds)


def expected_body(request_id):
    """Return the body of the response to a request."""
    return f"answer to {request_id}, whole".encode() * 3


def create_environment(seed):
    """Start a store with a first configuration, and upstreams registered in it."""
    environment = Environment(seed)
    for pool in POOLS:
        for number in range(UPSTREAMS_PER_POOL):
            fake = stand_ins.start_upstream(f"{pool}-{number}")
            fake.service_seconds = 0.03
            fake.response_body = expected_body
            proxy = start_proxy(fake.address)
            upstream = ProxiedUpstream(fake, proxy, pool, ZONES[number % len(ZONES)])
            environment.upstreams.append(upstream)
            environment.write_upstream(upstream)
    environment.write_configuration()
    return environment

"""Records read from the store: routes, accounts, pools and upstreams."""

from typing import NamedTuple

__all__ = [
    "Account",
    "CallerLimits",
    "Configuration",
    "Pool",
    "RolloutOrder",
    "Route",
    "WeightedPool",
    "Upstream",
    "EMPTY_CONFIGURATION",
]


class WeightedPool(NamedTuple):
    """A pool that gets a share of a route's requests.

    Attributes
    ----------
    pool : str
    weight : float
        Relative to the other weights of the route.
    """

    pool: str
    weight: float


class Route(NamedTuple):
    """Routing of the requests of one host name and path prefix.

    Attributes
    ----------
    id, host, prefix : str
    weighted_pools : tuple of WeightedPool
    idempotent : bool
        True when a request may run more than once.
    timeout : float
        Seconds within which the caller gets its final answer.
    target : float
        Target latency in seconds.
    max_attempts : int
        Upper bound on the upstreams to which one request is sent.
    priority : int
        0 is the most urgent.
    is_open : bool
        True when no key is needed.
    """

    id: str
    host: str
    prefix: str
    weighted_pools: tuple[WeightedPool, ...]
    idempotent: bool
    timeout: float
    target: float
    max_attempts: int
    priority: int
    is_open: bool


class Account(NamedTuple):
    """A client account.

    Attributes
    ----------
    id : str
    rate : float
        Requests per second over the whole fleet; 0 for no limit.
    burst : float
        Requests that may arrive at once over the whole fleet.
    priority : int or None
        Overrides the priority of the route unless it is None.
    """

    id: str
    rate: float
    burst: float
    priority: int | None


class Pool(NamedTuple):
    """Upstreams that serve the same requests.

    Attributes
    ----------
    id : str
    max_connections : int
        Connections that one upstream accepts from the whole fleet.
    cold_rate : float
        Requests per second that one cold upstream can serve from the whole fleet.
    health_path : str
        Path at which its upstreams tell their health; empty where they don't.
    """

    id: str
    max_connections: int
    cold_rate: float
    health_path: str = ""


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests, and on its pauses in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    Attributes
    ----------
    version : str
    routes_by_prefix_by_host : dict
    account_by_key : dict
    pool_by_id : dict
    limits : CallerLimits
    """

    version: str
    routes_by_prefix_by_host: dict[str, dict[str, Route]]
    account_by_key: dict[str, Account]
    pool_by_id: dict[str, Pool]
    limits: CallerLimits


EMPTY_CONFIGURATION = Configuration("", {}, {}, {}, CallerLimits())


class Upstream(NamedTuple):
    """One incarnation of an upstream endpoint.

    Attributes
    ----------
    id : str
    born : int
        Start time in Unix milliseconds; a restart under the same id has another one.
    pool, address, zone : str
    slots : int
        Requests that it can run concurrently.
    draining : bool
    cold_remaining : float
        Seconds, from when the entry was written, for which it has the cold rate.
    version : str
        Version of the program that it runs; empty when its entry has none.
    cold_heartbeat : int
        Number of the heartbeat from which ``cold_remaining`` counts; 0 when it is 0.
    """

    id: str
    born: int
    pool: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_remaining: float
    version: str = ""
    cold_heartbeat: int = 0


class RolloutOrder(NamedTuple):
    """An operator's order to move the requests of a pool to another version.

    Attributes
    ----------
    id, pool, target_version : str
    duration : float
        Seconds from the order within which the rollout has to end.
    state : str
        As the store has it for the target version: empty, ``running``, ``complete`` or
        ``rolled_back``.
    content : dict
        The object as the store holds it; a status is written for this revision of it.
    """

    id: str
    pool: str
    target_version: str
    duration: float
    state: str
    content: dict

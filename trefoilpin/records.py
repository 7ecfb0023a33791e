"""Records of the configuration, its change tickets, and the host record."""

from typing import Any, NamedTuple

__all__ = [
    "AvailabilityZone",
    "ChangeTicket",
    "ClientAccount",
    "Host",
    "Key",
    "ObjectChange",
    "Pool",
    "Route",
    "Upstream",
    "KINDS",
]

KINDS = ("account", "key", "pool", "route", "zone")


class AvailabilityZone(NamedTuple):
    """A zone that operators can take out of service.

    Attributes
    ----------
    id : str
    region : str
    out : bool
        True while operators have taken the zone out of service.
    """

    id: str
    region: str
    out: bool = False


class Upstream(NamedTuple):
    """One endpoint of a pool.

    Attributes
    ----------
    id : str
    address : str
        ``ip:port``.
    zone : str
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        True once operators have asked that it gets no new requests.
    """

    id: str
    address: str
    zone: str
    slots: int
    draining: bool = False


class Pool(NamedTuple):
    """Upstreams that serve the same routes.

    Attributes
    ----------
    id : str
    upstreams : tuple of Upstream
    floor : int
        Minimum number of upstreams that ejection leaves in service.
    connections : int
        Maximum number of connections of the whole fleet to one upstream.
    """

    id: str
    upstreams: tuple[Upstream, ...]
    floor: int
    connections: int = 350


class Route(NamedTuple):
    """Match of requests to a pool, with their policy.

    Attributes
    ----------
    id : str
    host : str
        Value of the ``Host`` header without port; empty matches any.
    path_prefix : str
    methods : tuple of str
        Empty matches any.
    pool : str
    open : bool
        True when no key is needed.
    accounts : tuple of str
        Client accounts allowed; empty allows every account.
    idempotent : bool
        True when requests are idempotent whatever their method.
    deadline : float
        Seconds from arrival to the last byte of the answer.
    key_required : bool
        True when requests need an idempotency key.
    """

    id: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    pool: str
    open: bool = False
    accounts: tuple[str, ...] = ()
    idempotent: bool = False
    deadline: float = 10.0
    key_required: bool = False


class ClientAccount(NamedTuple):
    """A client account with its rate limit and weight.

    Attributes
    ----------
    id : str
    rate : float
        Rate limit in requests a second, over the whole fleet.
    burst : float
        Requests that may exceed the rate at once, over the whole fleet.
    weight : float
        Weight in the scheduling of a saturated pool, relative to other accounts.
    """

    id: str
    rate: float
    burst: float
    weight: float = 1.0


class Key(NamedTuple):
    """A client account's key; the secret itself is not stored.

    Attributes
    ----------
    id : str
        The part of the key before the dot.
    account : str
    salt : str
        Hexadecimal.
    digest : str
        Hexadecimal SHA-256 of salt and secret.
    """

    id: str
    account: str
    salt: str
    digest: str


class Host(NamedTuple):
    """One incarnation of the daemon on a host.

    Attributes
    ----------
    incarnation : str
        Id that is unique for each start of the daemon.
    name : str
    zone : str
    region : str
    caller_address, peer_address : str
        ``ip:port`` for callers and for the other hosts.
    """

    incarnation: str
    name: str
    zone: str
    region: str
    caller_address: str
    peer_address: str


class ObjectChange(NamedTuple):
    """Change of one object to a new state.

    Attributes
    ----------
    kind : str
        One of ``KINDS``.
    id : str
    state : NamedTuple or None
        The complete new record; None removes the object.
    base : int or None
        If given, the change is refused unless the ticket of this number was the last
        one to change the object.
    """

    kind: str
    id: str
    state: Any
    base: int | None = None


class ChangeTicket(NamedTuple):
    """A numbered change of the configuration.

    Attributes
    ----------
    number : int
    digest : str
        Hexadecimal SHA-256 of the encoded changes.
    changes : tuple of ObjectChange
    """

    number: int
    digest: str
    changes: tuple[ObjectChange, ...]

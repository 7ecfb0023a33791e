"""Records of the configuration, and the hosts that serve it."""

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
        True while operators keep new work away from the zone.
    """

    id: str
    region: str
    out: bool = False


class Upstream(NamedTuple):
    """One back-end endpoint of a pool.

    Attributes
    ----------
    id : str
    address : str
        ``ip:port``.
    zone : str
    slots : int
        Requests it runs at the same time.
    draining : bool
        True once operators asked for no new work there.
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
        Upstreams that ejection must leave in service.
    connections : int
        Connections that one upstream bears from the whole fleet.
    """

    id: str
    upstreams: tuple[Upstream, ...]
    floor: int
    connections: int = 350


class Route(NamedTuple):
    """Requests that go to a pool.

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
        True when a repeat has no further effect, whatever the method.
    deadline : float
        Seconds from arrival to the last byte of the answer.
    key_required : bool
        True when an idempotency key must come with the request.
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
    """A customer with its share of the fleet.

    Attributes
    ----------
    id : str
    rate : float
        Requests a second, over the whole fleet.
    burst : float
        Requests that may come at once, over the whole fleet.
    weight : float
        Share in a saturated pool, relative to the other accounts.
    """

    id: str
    rate: float
    burst: float
    weight: float = 1.0


class Key(NamedTuple):
    """A client account's key; the secret itself is not kept.

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
        Unique for each start of the daemon.
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
    """The whole new state of one object.

    Attributes
    ----------
    kind : str
        One of ``KINDS``.
    id : str
    state : NamedTuple or None
        The record; None removes the object.
    base : int or None
        Number of the ticket that last touched the object, when the operator
        wants the change refused if that is no longer so.
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

"""Who serves, and what hosts report of the requests that they admitted."""

from typing import NamedTuple

__all__ = ["RateReport", "SenderView", "ServingHost"]


class ServingHost(NamedTuple):
    """A host that serves, or did when it was last heard of.

    Attributes
    ----------
    zone : str
    incarnation : int
    alive_at : float
        When it was last known to be alive, on this host's clock.
    """

    zone: str
    incarnation: int
    alive_at: float


class SenderView(NamedTuple):
    """What the membership says of the other hosts.

    Attributes
    ----------
    serving_by_address : dict
        A ``ServingHost`` each; those that are stopping are not among them.
    idle_at_by_address : dict
        When each of the others that are known was last known to be alive.
    live_zones : frozenset of str
        Zones with live hosts.
    """

    serving_by_address: dict[str, ServingHost]
    idle_at_by_address: dict[str, float]
    live_zones: frozenset[str]


class RateReport(NamedTuple):
    """What a host says beside the counts of the requests that it admitted.

    Attributes
    ----------
    in_window : dict or None
        Requests that it admitted in the last window, by account: one number, or with
        ``has_all`` one for each second, the last one first. None from hosts of an
        earlier version.
    wants_all : bool
        True when the receiver should report all accounts.
    has_all : bool
        True when all accounts with requests in the last window are reported.
    hears_receiver : bool
        True when the sender knows what the receiver admitted.
    missing : frozenset of str
        Addresses of the serving hosts that the sender is not in touch with.
    zone_by_serving : dict
        With ``has_all``, zones of the other serving hosts that the sender knows.
    """

    in_window: dict[str, tuple[int, ...]] | None = None
    wants_all: bool = False
    has_all: bool = False
    hears_receiver: bool = False
    missing: frozenset[str] = frozenset()
    zone_by_serving: dict[str, str] = {}

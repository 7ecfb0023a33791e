"""Parts of the rates of accounts, which the holder of the lease deals out to hosts.

A host's part of an account's rate is the share of the requests of a window that this
host may admit, whatever it knows of the others. The parts of all hosts add up to one at
most. A part that is lowered counts as before until the host says that it has the lower
one, and until what it used beyond that has left the window. A host that falls silent
keeps its part for a fixed time, after which it doesn't use it.

A new holder doesn't know the parts of hosts that don't ask it. It deals out again what
hosts bring, and the rest once no earlier part is in use.

Source: Barbara and Garcia-Molina, "The demarcation protocol: a technique for
maintaining constraints in distributed database systems", VLDB Journal 3 (1994).
"""

from typing import Callable, NamedTuple

__all__ = [
    "MAX_AMOUNT",
    "MAX_WANTS",
    "PART_SECONDS",
    "WHOLE",
    "GrantedPart",
    "RateAsk",
    "RateGrant",
    "RatePools",
    "RateWant",
    "create",
]

# Parts are whole numbers out of this one, so that sums are exact.
WHOLE = 1_000_000
# Largest amount in an ask; a host may be asked for many times its part.
MAX_AMOUNT = 100 * WHOLE
# A part is used for this time after the ask for it. It outlives cuts of some seconds,
# and the time in which another host takes the lease.
PART_SECONDS = 20.0
# Accounts of an ask; the others follow in the next one.
MAX_WANTS = 64
# Hosts that use an account ask more often; those silent for longer keep what they have.
SILENT_SECONDS = 3.0
# Above this share of the whole, hosts ask often for as long as it is wanted.
SCARCE_SHARE = 0.7
# Hosts that may begin to use an account at once and have a part without waiting for the
# others, as many as two in each of six zones.
FIRST_HOSTS = 12
# Accounts beyond this number are dropped when no host has a part of them.
MAX_ACCOUNTS = 1000


class RateWant(NamedTuple):
    """What a host has and wants of an account's rate, in parts of ``WHOLE``.

    Attributes
    ----------
    account : str
    held : int
        Its part; it will use no other until it has the response to this ask.
    used : int
        What it admitted in the last window, at least.
    wanted : int
        What it would have admitted if it could.
    """

    account: str
    held: int
    used: int
    wanted: int


class RateAsk(NamedTuple):
    """A host's ask for parts; the incarnation is that of the host."""

    number: int
    incarnation: int
    wants: tuple[RateWant, ...]


class GrantedPart(NamedTuple):
    """The part of an account's rate that a host has, and whether others lack some."""

    account: str
    part: int
    is_scarce: bool


class RateGrant(NamedTuple):
    """The response to an ask; the fields are as in ``ColdGrant``."""

    number: int
    is_holder: bool
    holder: str
    granted: tuple[GrantedPart, ...]


class RatePools(NamedTuple):
    """``answer(address, ask, time, held_since)`` returns what a host is granted.

    It had asked by that time of the clock, at which this host held the lease, without
    another holder since ``held_since``.
    """

    answer: Callable


class HostPart:
    """Part of one start of a host.

    Attributes
    ----------
    number : int
        Of the last ask.
    charge : int
        Most that it may have admitted in a window, or may admit, until it asks again.
    asked_at : float
    """

    def __init__(self, incarnation, number):
        self.incarnation = incarnation
        self.number = number
        self.charge = 0
        self.wanted = 0
        self.asked_at = float("-inf")


class AccountParts:
    """Parts of an account's rate.

    Attributes
    ----------
    ended : list of (float, int)
        Charges of hosts that have restarted, and until when they count.
    brought : int
        Parts that hosts had from an earlier holder.
    """

    def __init__(self):
        self.part_by_address: dict[str, HostPart] = {}
        self.ended: list[tuple[float, int]] = []
        self.brought = 0


class PoolState:
    """Parts of each account, and the lease in which they were dealt out."""

    def __init__(self):
        self.parts_by_account: dict[str, AccountParts] = {}
        self.held_since = float("-inf")


def create(kernel, window):
    """Create the parts of a holder.

    Parameters
    ----------
    kernel : Kernel
    window : float
        Seconds over which requests are counted.

    Returns
    -------
    RatePools
    """
    state = PoolState()
    metrics = kernel.find("metrics")
    # No request that a part allowed lies within a window from this time after it.
    charged_seconds = PART_SECONDS + window

    def answer(address, ask, time, held_since):
        if state.held_since != held_since:
            state.held_since = held_since
            state.parts_by_account.clear()
        if len(state.parts_by_account) > MAX_ACCOUNTS:
            drop_unused(time)
        granted = []
        for want in ask.wants[:MAX_WANTS]:
            parts = state.parts_by_account.setdefault(want.account, AccountParts())
            expire(parts, time)
            host = take_ask(parts, address, ask, want, time)
            if host is not None:
                granted.append(grant(parts, host, want, time))
        return tuple(granted)

    def take_ask(parts, address, ask, want, time):
        """Return the part of the host that asks, or None for an old or repeated ask."""
        host = parts.part_by_address.get(address)
        if host is not None and ask.incarnation > host.incarnation:
            # What the earlier start admitted leaves the window by then.
            parts.ended.append((time + window, host.charge))
            host = None
        elif host is not None:
            is_old = ask.incarnation < host.incarnation or ask.number <= host.number
            if is_old:
                return None
            host.number = ask.number
        if host is None:
            host = HostPart(ask.incarnation, ask.number)
            parts.part_by_address[address] = host
            parts.brought += want.held
        host.charge = max(want.held, want.used)
        host.wanted = want.wanted
        host.asked_at = time
        return host

    def grant(parts, host, want, time):
        """Deal out a part to the host that asks."""
        is_whole = time >= state.held_since + charged_seconds
        pool = WHOLE if is_whole else min(parts.brought, WHOLE)
        others = sum(charge for _, charge in parts.ended)
        for other in parts.part_by_address.values():
            others += other.charge if other is not host else 0
        fair, is_scarce = fair_part(parts, host, pool, time)
        part = fair
        if fair > want.held:
            part = max(want.held, min(fair, pool - others))
        host.charge = max(host.charge, part)
        metrics.count("rate_parts_granted")
        return GrantedPart(want.account, part, is_scarce or part < fair)

    def fair_part(parts, host, pool, time):
        """Return the part that a host should have, and whether the pool is scarce."""
        left = pool - sum(charge for _, charge in parts.ended)
        wanted = hosts = 0
        for other in parts.part_by_address.values():
            if time - other.asked_at > SILENT_SECONDS:
                left -= other.charge
                continue
            wanted += other.wanted
            hosts += other.wanted > 0
        left = max(left, 0)
        if not host.wanted:
            return 0, wanted > left * SCARCE_SHARE
        if wanted >= left:
            return left * host.wanted // wanted, True
        # One further part is left for a host that begins to use the account. The first
        # hosts that ask leave enough for those that ask next.
        spare = (left - wanted) // (hosts + 1)
        spare = min(spare, max(host.wanted, left // FIRST_HOSTS))
        return host.wanted + spare, wanted > left * SCARCE_SHARE

    def expire(parts, time):
        parts.ended = [(until, part) for until, part in parts.ended if until > time]
        for address, host in list(parts.part_by_address.items()):
            if time - host.asked_at > charged_seconds:
                del parts.part_by_address[address]

    def drop_unused(time):
        for account, parts in list(state.parts_by_account.items()):
            expire(parts, time)
            if not parts.part_by_address and not parts.ended:
                del state.parts_by_account[account]

    return RatePools(answer)

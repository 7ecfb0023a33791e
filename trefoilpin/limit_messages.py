"""Messages and durations for lending rate limit units and reserving tokens."""

from typing import NamedTuple

__all__ = [
    "UNITS_TOPIC",
    "HeldUnits",
    "LentAccount",
    "LoanReply",
    "LoanRequest",
    "ReservationReply",
    "ReservationRequest",
    "ReturnedAccount",
    "LimitDurations",
    "UnitsOffer",
    "UnitsOfferReply",
    "UnitsReply",
    "UnitsRequest",
]

UNITS_TOPIC = "units"


class LimitDurations(NamedTuple):
    """Durations of loans, reservations and holdings of rate limit units, in seconds.

    Grantor and grantee measure a duration on their own clocks. The grantee starts
    before its request and the grantor after its reply, so the grantee always stops
    first. A lender refuses a borrower with a longer ``loan_use_seconds`` than its own.

    Attributes
    ----------
    loan_seconds : float
        How long a borrower uses units, from before its request.
    reservation_seconds : float
        How long a host uses reserved tokens, from before its request.
    margin_seconds : float
        Added by the granting host, which measures from after its reply.
    holding_seconds : float
        How long a holder uses its units after it read the ledger.
    """

    loan_seconds: float = 0.8
    reservation_seconds: float = 0.4
    margin_seconds: float = 0.1
    holding_seconds: float = 20.0

    @property
    def loan_use_seconds(self):
        """Time from a request until the loan and its reservations are unused."""
        return self.loan_seconds + self.reservation_seconds

    @property
    def loan_lapse_seconds(self):
        """Time from a reply until the loan and all its reservations have expired."""
        return self.loan_seconds + self.reservation_seconds + self.margin_seconds

    @property
    def reservation_lapse_seconds(self):
        """How long an owner counts a reservation that is not renewed."""
        return 4 * self.reservation_seconds + self.margin_seconds

    @property
    def read_interval_seconds(self):
        """Mean time between two reads of the ledger by a holder."""
        return self.holding_seconds / 8

    @property
    def absence_seconds(self):
        """Time without contact after which a holder is considered absent."""
        return self.holding_seconds / 2

    @property
    def read_notice_seconds(self):
        """Lifetime of a notice that the ledger was read.

        Together with the longest time between two reads it stays well below
        ``holding_seconds``. When the store becomes unavailable, holders therefore find
        out before their units expire.
        """
        return self.holding_seconds * 13 / 20

    @property
    def release_delay_seconds(self):
        """Time from the mark on an absent holder to the release of its units."""
        return 2 * self.holding_seconds + self.loan_lapse_seconds


class ReturnedAccount(NamedTuple):
    """Units of one account that a borrower returns.

    Attributes
    ----------
    account : str
    level : float
        Tokens that are returned with the units.
    settled : bool
        False if reservations may be outstanding; the level is then ignored.
    """

    account: str
    level: float
    settled: bool


class LentAccount(NamedTuple):
    """A loan of the lender's units for one account, with their tokens."""

    account: str
    level: float


class LoanRequest(NamedTuple):
    """Renewal of all loans from one lender, with additions and returns.

    Attributes
    ----------
    sequence : int
        Increases with each request; the lender ignores requests that arrive late.
    use_seconds : float
        ``LimitDurations.loan_use_seconds`` of the borrower.
    wanted : tuple of str
        Accounts for which to borrow units.
    returned : tuple of ReturnedAccount
    """

    sequence: int
    use_seconds: float
    wanted: tuple[str, ...]
    returned: tuple[ReturnedAccount, ...]


class LoanReply(NamedTuple):
    """Reply to a ``LoanRequest``.

    Attributes
    ----------
    accepted : bool
        False if nothing was renewed or lent.
    units, total : int
        Units of the lender and of the whole ledger.
    lent : tuple of LentAccount
    recalled : tuple of str
        Accounts whose loans are no longer renewed.
    """

    accepted: bool
    units: int
    total: int
    lent: tuple[LentAccount, ...]
    recalled: tuple[str, ...]


class ReservationRequest(NamedTuple):
    """A host's request for tokens of one account.

    Attributes
    ----------
    account : str
    sequence : int
    kept : int
        Tokens from earlier replies that the host has not spent.
    returned : int
        Tokens that expired before the host spent them.
    wanted : int
        New tokens requested.
    """

    account: str
    sequence: int
    kept: int
    returned: int
    wanted: int


class ReservationReply(NamedTuple):
    """Reply to a ``ReservationRequest``.

    Attributes
    ----------
    tokens : int
        New tokens granted.
    lifetime : float
        Seconds, from this request, for which new and kept tokens are valid; 0 if the
        kept ones are not renewed.
    retry_after : float
        Seconds until another token is expected.
    available : bool
        False if the owner has no units for the account.
    """

    tokens: int
    lifetime: float
    retry_after: float
    available: bool


class UnitsOffer(NamedTuple):
    """Offer of a leaving host's units; the successor fetches them."""

    units: int


class UnitsOfferReply(NamedTuple):
    """Reply to a ``UnitsOffer``: whether the successor has fetched the units."""

    accepted: bool


class UnitsRequest(NamedTuple):
    """Request of a successor for the units offered to it."""

    sequence: int


class HeldUnits(NamedTuple):
    """An entry of the ledger."""

    holder: str
    units: int


class UnitsReply(NamedTuple):
    """Ledger entries that are transferred permanently.

    Attributes
    ----------
    entries : tuple of HeldUnits
    total : int
    valid_seconds : float
        How long the units may be used without a read of the ledger.
    lapse_seconds : float
        How long loans of the units may still be in use.
    """

    entries: tuple[HeldUnits, ...]
    total: int
    valid_seconds: float
    lapse_seconds: float

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
    "Terms",
    "UnitsOffer",
    "UnitsOfferReply",
    "UnitsReply",
    "UnitsRequest",
]

UNITS_TOPIC = "units"


class Terms(NamedTuple):
    """Durations of loans, reservations and holdings, in seconds.

    A lender refuses a borrower that uses loans for longer than the lender counts
    itself.

    Attributes
    ----------
    loan : float
        A borrower uses units for this long, counted from before its request.
    reservation : float
        A host uses reserved tokens for this long, counted from before its request.
    margin : float
        The granting host counts this much longer, from after its answer.
    hold : float
        A holder uses its units for this long after it last read the ledger.
    """

    loan: float = 0.8
    reservation: float = 0.4
    margin: float = 0.1
    hold: float = 20.0

    @property
    def use(self):
        """Seconds from a request until a loan and its reservations are unused."""
        return self.loan + self.reservation

    @property
    def lapse(self):
        """Seconds after an answer until a loan and all its reservations ended."""
        return self.loan + self.reservation + self.margin

    @property
    def outstanding(self):
        """Seconds for which an owner counts a reservation without further messages."""
        return 4 * self.reservation + self.margin

    @property
    def read(self):
        """Seconds between two reads of the ledger by a holder."""
        return self.hold / 8

    @property
    def gone(self):
        """Age in seconds from which a holder is considered gone."""
        return self.hold / 2

    @property
    def notice(self):
        """Lifetime in seconds of a notice that the ledger was read.

        With the longest time between two reads it is well below ``hold``: when the
        store stops answering, holders learn so before their units lapse.
        """
        return self.hold * 13 / 20

    @property
    def grace(self):
        """Seconds from the mark on a silent holder to the release of its units."""
        return 2 * self.hold + self.lapse


class ReturnedAccount(NamedTuple):
    """Units that a borrower gives back for one account.

    Attributes
    ----------
    account : str
    level : float
        Tokens that go back with them.
    settled : bool
        False when reservations may be outstanding; the level is then void.
    """

    account: str
    level: float
    settled: bool


class LentAccount(NamedTuple):
    """A lender's units, lent for one account with the tokens in them."""

    account: str
    level: float


class LoanRequest(NamedTuple):
    """Renewal of every loan between two hosts, with what changes.

    Attributes
    ----------
    sequence : int
        Grows with each request; a lender ignores one that comes late.
    use_seconds : float
        How long the borrower and its reservations use what it borrows.
    wanted : tuple of str
        Accounts to borrow for.
    returned : tuple of ReturnedAccount
    """

    sequence: int
    use_seconds: float
    wanted: tuple[str, ...]
    returned: tuple[ReturnedAccount, ...]


class LoanReply(NamedTuple):
    """A lender's answer.

    Attributes
    ----------
    accepted : bool
        False when nothing was renewed or lent.
    units, total : int
        The lender's units, and those of the whole ledger.
    lent : tuple of LentAccount
    recalled : tuple of str
        Accounts whose loans are not renewed any more.
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
        Tokens of earlier replies that the host has not spent.
    returned : int
        Tokens whose time was over before the host spent them.
    wanted : int
    """

    account: str
    sequence: int
    kept: int
    returned: int
    wanted: int


class ReservationReply(NamedTuple):
    """A quota owner's answer.

    Attributes
    ----------
    tokens : int
        New tokens.
    lifetime : float
        Seconds from this request on that new and kept tokens last; 0 when kept ones
        are not renewed.
    retry_after : float
        Seconds until another token is likely.
    available : bool
        False when the owner has no units for the account.
    """

    tokens: int
    lifetime: float
    retry_after: float
    available: bool


class UnitsOffer(NamedTuple):
    """A leaving host's offer of its units; the successor then asks for them."""

    units: int


class UnitsOfferReply(NamedTuple):
    """Whether the successor has the units now."""

    accepted: bool


class UnitsRequest(NamedTuple):
    """A successor's request for the units it was offered."""

    sequence: int


class HeldUnits(NamedTuple):
    """An entry of the ledger."""

    holder: str
    units: int


class UnitsReply(NamedTuple):
    """Entries given away for good.

    Attributes
    ----------
    entries : tuple of HeldUnits
    total : int
    valid_seconds : float
        How long they may be used without reading the ledger.
    lapse_seconds : float
        How long loans of them may still be in use.
    """

    entries: tuple[HeldUnits, ...]
    total: int
    valid_seconds: float
    lapse_seconds: float

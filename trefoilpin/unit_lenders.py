"""Lending of this host's rate limit units to quota owners, separately for each account.

A unit of an account is a token bucket with a share of the account's rate and burst. It
has a single user at any time, so the sum of all grants stays within the account's
bucket even when hosts disagree about membership. A lender measures a loan from after
its reply and adds the reservations' lifetime and a margin; the borrower measures it
from before its request.

One short message renews all loans of a borrower; account ids are sent only for changes.
Accounts that were never lent need no state: their level follows from the time since
the units were acquired.
"""

from typing import NamedTuple

from trefoilpin import hashes
from trefoilpin.buckets import Bucket, refill
from trefoilpin.limit_messages import LentAccount, LoanReply
from trefoilpin.services import UnitLenders

__all__ = ["LenderState", "create"]

TOMBSTONE_LIFETIME_SECONDS = 600.0
CLEANUP_INTERVAL_SECONDS = 5.0
REFUSED = LoanReply(False, 0, 0, (), ())


class Borrower:
    """Loans of one borrower.

    Attributes
    ----------
    sequence : int
        Sequence number of its latest request.
    expires_at : float
        Clock time in seconds up to which the loans may be in use.
    accounts : set of str
    recalled : dict
        Clock time by account up to which a recalled loan may still be in use.
    """

    def __init__(self):
        self.sequence = 0
        self.expires_at = float("-inf")
        self.accounts: set[str] = set()
        self.recalled: dict[str, float] = {}


class UnlentUnits(NamedTuple):
    """Bucket of an account's unlent units, which refills from ``lendable_at`` on."""

    bucket: Bucket
    lendable_at: float


class PriorityClaim(NamedTuple):
    """Claim of a host that ranks higher than the borrower and waits for its loan."""

    incarnation: str
    expires_at: float


class LenderState:
    """Loans, and buckets of recently used accounts."""

    def __init__(self):
        self.borrower_by_incarnation: dict[str, Borrower] = {}
        self.borrower_by_account: dict[str, str] = {}
        self.unlent_by_account: dict[str, UnlentUnits] = {}
        self.claim_by_account: dict[str, PriorityClaim] = {}
        self.account_by_id: dict = {}


def create(kernel, durations):
    """Create the service ``unit_lenders``.

    Parameters
    ----------
    kernel : Kernel
    durations : LimitDurations

    Returns
    -------
    UnitLenders
    """
    state = LenderState()
    now = kernel.clock.now
    unit_holdings = kernel.find("unit_holdings")
    memberships = kernel.find("memberships")
    configurations = kernel.find("configurations")

    def held_share():
        total = unit_holdings.total()
        return unit_holdings.units() / total if total else 0.0

    def unlent_level(account_id, instant):
        """Return the tokens in the account's unlent units."""
        account = state.account_by_id.get(account_id)
        if account is None:
            return 0.0
        share = held_share()
        unlent = state.unlent_by_account.get(account_id)
        if unlent is None:
            bucket = Bucket(0.0, unit_holdings.since())
        else:
            bucket = unlent.bucket
            bucket.refilled_at = max(bucket.refilled_at, unit_holdings.since())
        refill(bucket, account.rate * share, account.burst * share, instant)
        return bucket.level

    def reclaim(account_id, level, lendable_at):
        """Take an account's units back; they refill from ``lendable_at`` on."""
        state.borrower_by_account.pop(account_id, None)
        bucket = Bucket(level, lendable_at)
        state.unlent_by_account[account_id] = UnlentUnits(bucket, lendable_at)

    def expire_loans(borrower):
        """Reclaim the loans that a borrower has not renewed in time."""
        for account_id in borrower.accounts:
            reclaim(account_id, 0.0, borrower.expires_at)
        borrower.accounts = set()

    def expire_all(instant):
        for borrower in state.borrower_by_incarnation.values():
            if borrower.accounts and instant >= borrower.expires_at:
                expire_loans(borrower)

    def accept_return(sender, borrower, returned_account, instant):
        if state.borrower_by_account.get(returned_account.account) != sender:
            return
        borrower.accounts.discard(returned_account.account)
        if returned_account.settled:
            reclaim(returned_account.account, returned_account.level, instant)
        else:
            reclaim(
                returned_account.account, 0.0, instant + durations.loan_lapse_seconds
            )

    def ranks_higher(account_id, candidate, other):
        """Return whether a host ranks above another; absent hosts rank lowest."""
        live = {host.incarnation for host in memberships.live()}
        if (candidate in live) != (other in live):
            return candidate in live
        return hashes.rank(f"limits/{account_id}", (candidate, other))[0] == candidate

    def has_higher_claim(account_id, sender, instant):
        """Return whether a higher-ranked host claims the units; else drop the claim."""
        claim = state.claim_by_account.get(account_id)
        if claim is not None and instant < claim.expires_at:
            if claim.incarnation == sender:
                return False
            if ranks_higher(account_id, claim.incarnation, sender):
                return True
        state.claim_by_account.pop(account_id, None)
        return False

    def recall(account_id, current_borrower, sender, instant):
        """Stop renewing a loan if the sender ranks higher than its borrower."""
        if ranks_higher(account_id, current_borrower, sender):
            return
        claim = PriorityClaim(sender, instant + 2 * durations.loan_lapse_seconds)
        state.claim_by_account[account_id] = claim
        borrower = state.borrower_by_incarnation[current_borrower]
        borrower.accounts.discard(account_id)
        borrower.recalled[account_id] = borrower.expires_at
        reclaim(account_id, 0.0, borrower.expires_at)

    def lend(account_id, sender, borrower, instant):
        """Lend an account's units; return the loan, or None if they are not free."""
        if account_id not in state.account_by_id:
            return None
        current_borrower = state.borrower_by_account.get(account_id)
        if current_borrower == sender:
            return LentAccount(account_id, 0.0)
        if current_borrower is not None:
            recall(account_id, current_borrower, sender, instant)
            return None
        if has_higher_claim(account_id, sender, instant):
            return None
        unlent = state.unlent_by_account.get(account_id)
        if unlent is not None and instant < unlent.lendable_at:
            return None
        level = unlent_level(account_id, instant)
        state.unlent_by_account.pop(account_id, None)
        state.borrower_by_account[account_id] = sender
        borrower.accounts.add(account_id)
        borrower.recalled.pop(account_id, None)
        return LentAccount(account_id, level)

    def handle_loan_request(sender, request):
        instant = now()
        expire_all(instant)
        borrower = state.borrower_by_incarnation.setdefault(sender, Borrower())
        if request.sequence <= borrower.sequence:
            return REFUSED
        borrower.sequence = request.sequence
        for returned_account in request.returned:
            accept_return(sender, borrower, returned_account, instant)
        units = unit_holdings.units()
        if not units or not memberships.is_current():
            return REFUSED
        if request.use_seconds > durations.loan_use_seconds:
            return REFUSED
        for account_id, until in list(borrower.recalled.items()):
            if instant >= until:
                del borrower.recalled[account_id]
        lent = []
        for account_id in request.wanted:
            loan = lend(account_id, sender, borrower, instant)
            if loan is not None:
                lent.append(loan)
        borrower.expires_at = instant + durations.loan_lapse_seconds
        recalled = tuple(borrower.recalled)
        return LoanReply(True, units, unit_holdings.total(), tuple(lent), recalled)

    def on_change(changes):
        instant = now()
        for change in changes:
            if change.kind != "account":
                continue
            is_known = change.id in state.account_by_id
            if is_known and change.id not in state.borrower_by_account:
                record_unlent_level(change.id, instant)
            if change.state is None:
                state.account_by_id.pop(change.id, None)
            else:
                state.account_by_id[change.id] = change.state

    def record_unlent_level(account_id, instant):
        """Record the level of unlent units, so that a new rate applies from now on."""
        unlent = state.unlent_by_account.get(account_id)
        if unlent is not None and unlent.lendable_at > instant:
            return
        level = unlent_level(account_id, instant)
        reclaim(account_id, level, instant)

    def step():
        """Drop the state of full buckets, expired claims and former borrowers."""
        instant = now()
        expire_all(instant)
        for account_id, unlent in list(state.unlent_by_account.items()):
            account = state.account_by_id.get(account_id)
            full_after_seconds = (
                account.burst / account.rate if account else TOMBSTONE_LIFETIME_SECONDS
            )
            if instant - unlent.bucket.refilled_at > full_after_seconds:
                del state.unlent_by_account[account_id]
        for account_id, claim in list(state.claim_by_account.items()):
            if instant >= claim.expires_at:
                del state.claim_by_account[account_id]
        for incarnation, borrower in list(state.borrower_by_incarnation.items()):
            if instant > borrower.expires_at + TOMBSTONE_LIFETIME_SECONDS:
                del state.borrower_by_incarnation[incarnation]

    def run_forever():
        while True:
            step()
            kernel.clock.sleep(CLEANUP_INTERVAL_SECONDS)

    state.account_by_id.update(configurations.accounts_by_id)
    configurations.subscribe(on_change)
    kernel.find("peers").serve("borrow_units", handle_loan_request)
    service = UnitLenders(handle_loan_request, step)
    kernel.register("unit_lenders", service, lambda: kernel.spawn(run_forever))
    return service

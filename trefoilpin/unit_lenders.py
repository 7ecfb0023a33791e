"""The lender's side of loans: units of this host, lent for one account at a time.

A unit of an account is a small token bucket of its own, with its share of rate and
burst. It is in one place at any time, so that all grants together stay under the
whole bucket, whatever hosts believe of one another. A lender counts a loan from
after its answer and adds the reservations' time and a margin; the borrower counts
from before it asked.

Loans are kept for each pair of hosts: one short message renews them all, and names
of accounts travel only when something changes. An account that nobody asked for has
no state here: its level follows from the time the units have lain unused.
"""

from typing import NamedTuple

from trefoilpin import hashes
from trefoilpin.buckets import Bucket, refill
from trefoilpin.limit_messages import LentAccount, LoanReply
from trefoilpin.services import UnitLenders

__all__ = ["LenderState", "create"]

TOMBSTONE_SECONDS = 600.0
STEP_SECONDS = 5.0
REFUSED = LoanReply(False, 0, 0, (), ())


class Borrower:
    """What one other host borrowed.

    Attributes
    ----------
    sequence : int
        Of its last request.
    until : float
        Seconds; the loans may be in use up to then.
    accounts : set of str
    recalled : dict
        Instant by account up to which a loan no longer renewed may be in use.
    """

    def __init__(self):
        self.sequence = 0
        self.until = float("-inf")
        self.accounts: set[str] = set()
        self.recalled: dict[str, float] = {}


class Idle(NamedTuple):
    """An account's unlent units: a bucket that starts to refill at an instant."""

    bucket: Bucket
    lendable_at: float


class Claim(NamedTuple):
    """A host that ranks higher than a borrower and waits for its loan to end."""

    incarnation: str
    until: float


class LenderState:
    """Loans and the buckets of the accounts that were seen lately."""

    def __init__(self):
        self.borrower_by_incarnation: dict[str, Borrower] = {}
        self.borrower_by_account: dict[str, str] = {}
        self.idle_by_account: dict[str, Idle] = {}
        self.claim_by_account: dict[str, Claim] = {}
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

    def share():
        total = unit_holdings.total()
        return unit_holdings.units() / total if total else 0.0

    def idle_level(account_id, instant):
        """Return the tokens in unlent units."""
        account = state.account_by_id.get(account_id)
        if account is None:
            return 0.0
        part = share()
        idle = state.idle_by_account.get(account_id)
        if idle is None:
            bucket = Bucket(0.0, unit_holdings.since())
        else:
            bucket = idle.bucket
            bucket.refilled_at = max(bucket.refilled_at, unit_holdings.since())
        refill(bucket, account.rate * part, account.burst * part, instant)
        return bucket.level

    def put_back(account_id, level, lendable_at):
        """Take an account's units back; they refill from an instant on."""
        state.borrower_by_account.pop(account_id, None)
        bucket = Bucket(level, lendable_at)
        state.idle_by_account[account_id] = Idle(bucket, lendable_at)

    def lapse(borrower):
        """Take everything back that a borrower has not renewed in time."""
        for account_id in borrower.accounts:
            put_back(account_id, 0.0, borrower.until)
        borrower.accounts = set()

    def lapse_all(instant):
        for borrower in state.borrower_by_incarnation.values():
            if borrower.accounts and instant >= borrower.until:
                lapse(borrower)

    def take_returned(sender, borrower, item, instant):
        if state.borrower_by_account.get(item.account) != sender:
            return
        borrower.accounts.discard(item.account)
        if item.settled:
            put_back(item.account, item.level, instant)
        else:
            put_back(item.account, 0.0, instant + durations.loan_lapse_seconds)

    def ranks_higher(account_id, one, other):
        """Tell whether one host is the better owner; a leaving one never is."""
        live = {host.incarnation for host in memberships.live()}
        if (one in live) != (other in live):
            return one in live
        return hashes.rank(f"limits/{account_id}", (one, other))[0] == one

    def is_claimed(account_id, sender, instant):
        """Tell whether a host that ranks higher asked lately; note the sender."""
        claim = state.claim_by_account.get(account_id)
        if claim is not None and instant < claim.until:
            if claim.incarnation == sender:
                return False
            if ranks_higher(account_id, claim.incarnation, sender):
                return True
        state.claim_by_account.pop(account_id, None)
        return False

    def recall(account_id, holder, sender, instant):
        """Stop renewing a loan when a host that ranks higher asks for it."""
        if ranks_higher(account_id, holder, sender):
            return
        claim = Claim(sender, instant + 2 * durations.loan_lapse_seconds)
        state.claim_by_account[account_id] = claim
        borrower = state.borrower_by_incarnation[holder]
        borrower.accounts.discard(account_id)
        borrower.recalled[account_id] = borrower.until
        put_back(account_id, 0.0, borrower.until)

    def lend(account_id, sender, borrower, instant):
        """Return the loan for one account, or None."""
        if account_id not in state.account_by_id:
            return None
        holder = state.borrower_by_account.get(account_id)
        if holder == sender:
            return LentAccount(account_id, 0.0)
        if holder is not None:
            recall(account_id, holder, sender, instant)
            return None
        if is_claimed(account_id, sender, instant):
            return None
        idle = state.idle_by_account.get(account_id)
        if idle is not None and instant < idle.lendable_at:
            return None
        level = idle_level(account_id, instant)
        state.idle_by_account.pop(account_id, None)
        state.borrower_by_account[account_id] = sender
        borrower.accounts.add(account_id)
        borrower.recalled.pop(account_id, None)
        return LentAccount(account_id, level)

    def handle(sender, request):
        instant = now()
        lapse_all(instant)
        borrower = state.borrower_by_incarnation.setdefault(sender, Borrower())
        if request.sequence <= borrower.sequence:
            return REFUSED
        borrower.sequence = request.sequence
        for item in request.returned:
            take_returned(sender, borrower, item, instant)
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
        borrower.until = instant + durations.loan_lapse_seconds
        recalled = tuple(borrower.recalled)
        return LoanReply(True, units, unit_holdings.total(), tuple(lent), recalled)

    def on_change(changes):
        instant = now()
        for change in changes:
            if change.kind != "account":
                continue
            known = change.id in state.account_by_id
            if known and change.id not in state.borrower_by_account:
                keep_level(change.id, instant)
            if change.state is None:
                state.account_by_id.pop(change.id, None)
            else:
                state.account_by_id[change.id] = change.state

    def keep_level(account_id, instant):
        """Write down an unlent level, so that a new rate counts from now only."""
        idle = state.idle_by_account.get(account_id)
        if idle is not None and idle.lendable_at > instant:
            return
        level = idle_level(account_id, instant)
        put_back(account_id, level, instant)

    def step():
        """Forget levels that are full again, and borrowers that are gone."""
        instant = now()
        lapse_all(instant)
        for account_id, idle in list(state.idle_by_account.items()):
            account = state.account_by_id.get(account_id)
            full = account.burst / account.rate if account else TOMBSTONE_SECONDS
            if instant - idle.bucket.refilled_at > full:
                del state.idle_by_account[account_id]
        for account_id, claim in list(state.claim_by_account.items()):
            if instant >= claim.until:
                del state.claim_by_account[account_id]
        for incarnation, borrower in list(state.borrower_by_incarnation.items()):
            if instant > borrower.until + TOMBSTONE_SECONDS:
                del state.borrower_by_incarnation[incarnation]

    def step_forever():
        while True:
            step()
            kernel.clock.sleep(STEP_SECONDS)

    state.account_by_id.update(configurations.accounts_by_id)
    configurations.subscribe(on_change)
    kernel.find("peers").serve("borrow_units", handle)
    service = UnitLenders(handle, step)
    kernel.register("unit_lenders", service, lambda: kernel.spawn(step_forever))
    return service

"""Quotas of the accounts that this host owns, with units borrowed from lenders.

All loans from one lender are renewed by one request and expire together; their time is
measured from before the request. Lenders are found through the notices that holders of
units publish. If two hosts both consider themselves the owner of an account, each of
them borrows a part of the units, and lenders prefer the one that ranks higher.

Cost: an owner sends each lender ``RENEWALS_PER_LOAN`` requests per loan period, however
many accounts it has in use. Unused accounts cost nothing. Large fleets keep the number
of holders constant and use longer loans, which delays the replacement of an owner that
crashed.
"""

from trefoilpin import events
from trefoilpin.limit_messages import (
    UNITS_TOPIC,
    LoanRequest,
    ReservationReply,
    ReturnedAccount,
)
from trefoilpin.quotas import (
    UNAVAILABLE_RETRY_SECONDS,
    Quota,
    refresh,
    remove_lender,
    reserve,
    set_account,
    set_lender_units,
    take_token,
)
from trefoilpin.services import QuotaOwners

__all__ = ["create"]

IDLE_EXPIRY_SECONDS = 30.0
MIN_MOVED_IDLE_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 0.3
RENEWALS_PER_LOAN = 3
FIRST_LOANS_TIMEOUT_SECONDS = 0.1
AWAITING_LOANS = ReservationReply(0, 0.0, 0.005, True)
UNAVAILABLE = ReservationReply(0, 0.0, UNAVAILABLE_RETRY_SECONDS, False)


class LenderLoans:
    """Loans from one lender to this host.

    Attributes
    ----------
    expires_at : float
        Clock time in seconds from which borrowed units may not be used.
    units : int
        Units of the lender.
    accounts : set of str
        Accounts with a loan.
    wanted : set of str
        Accounts for which a loan is to be requested.
    unconfirmed : set of str
        Accounts that a request asked for and no reply has granted.
    returned : dict
        ``ReturnedAccount`` by account, until a reply confirms the return.
    is_renewing : bool
        True while a request is in flight.
    """

    def __init__(self):
        self.expires_at = float("-inf")
        self.units = 0
        self.accounts: set[str] = set()
        self.wanted: set[str] = set()
        self.unconfirmed: set[str] = set()
        self.returned: dict[str, ReturnedAccount] = {}
        self.is_renewing = False


class QuotaOwnerState:
    """Open quotas and the loans from each lender."""

    def __init__(self):
        self.quota_by_account: dict[str, Quota] = {}
        self.loans_by_lender: dict[str, LenderLoans] = {}
        self.next_expiry = float("inf")
        self.lenders_with_task: set[str] = set()
        self.sequence = 0


def create(kernel, durations):
    """Create the service ``quota_owners``.

    Parameters
    ----------
    kernel : Kernel
    durations : LimitDurations

    Returns
    -------
    QuotaOwners
    """
    state = QuotaOwnerState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    memberships = kernel.find("memberships")
    configurations = kernel.find("configurations")
    notices = kernel.find("notices")
    peers = kernel.find("peers")
    handle_loan_request = kernel.find("unit_lenders").handle
    own = memberships.own().incarnation

    def find_or_open_quota(account_id):
        """Return the account's quota, opening it if necessary; None for no account."""
        instant = now()
        if instant >= state.next_expiry:
            expire_loans(instant)
        quota = state.quota_by_account.get(account_id)
        if quota is not None:
            return quota
        account = configurations.accounts_by_id.get(account_id)
        if account is None:
            return None
        return open_quota(account, instant)

    def open_quota(account, instant):
        quota = state.quota_by_account[account.id] = Quota(account, instant)
        update_lenders()
        for lender, loans in list(state.loans_by_lender.items()):
            loans.wanted.add(account.id)
            if lender == own:
                renew(lender)
            start_renewal_task(lender, loans)
        emit(
            events.QUOTA_OPENED, account=account.id, lenders=len(state.loans_by_lender)
        )
        return quota

    def close_quota(account_id, reason):
        quota = state.quota_by_account.pop(account_id)
        refresh(quota, now())
        settled = not quota.outstanding
        for lender, loans in state.loans_by_lender.items():
            loans.wanted.discard(account_id)
            if account_id in loans.accounts or account_id in loans.unconfirmed:
                level = remove_lender(quota, lender, now()) if settled else 0.0
                returned_account = ReturnedAccount(account_id, level, settled)
                loans.returned[account_id] = returned_account
            loans.accounts.discard(account_id)
            loans.unconfirmed.discard(account_id)
        emit(events.QUOTA_CLOSED, account=account_id, reason=reason)

    def expire_loans(instant):
        """Drop all loans that were not renewed in time."""
        state.next_expiry = float("inf")
        for lender, loans in state.loans_by_lender.items():
            if instant < loans.expires_at:
                state.next_expiry = min(state.next_expiry, loans.expires_at)
                continue
            drop_loans(lender, loans, list(loans.accounts), instant)

    def drop_loans(lender, loans, accounts, instant):
        for account_id in accounts:
            if account_id not in loans.accounts:
                continue
            loans.accounts.discard(account_id)
            loans.wanted.add(account_id)
            remove_lender(state.quota_by_account[account_id], lender, instant)

    def update_lenders():
        """Add new holders of units as lenders, remove former ones, and return all."""
        published = {notice.publisher for notice in notices.read(UNITS_TOPIC)}
        for lender in sorted(published - set(state.loans_by_lender)):
            loans = state.loans_by_lender[lender] = LenderLoans()
            loans.wanted.update(state.quota_by_account)
        for lender, loans in list(state.loans_by_lender.items()):
            is_in_use = loans.accounts or loans.returned or loans.is_renewing
            if lender not in published and not is_in_use:
                loans.wanted.clear()
                del state.loans_by_lender[lender]
        return tuple(state.loans_by_lender)

    def renew(lender):
        """Renew the loans from a lender; return whether it accepted."""
        loans = state.loans_by_lender.get(lender)
        if loans is None or loans.is_renewing:
            return False
        if not is_active(loans) or not memberships.is_current():
            return False
        loans.is_renewing = True
        try:
            return send_renewal(lender, loans)
        finally:
            loans.is_renewing = False

    def send_renewal(lender, loans):
        sent_at = now()
        state.sequence += 1
        wanted = tuple(sorted(loans.wanted))
        returned = tuple(loans.returned.values())
        loans.unconfirmed.update(wanted)
        request = LoanRequest(
            state.sequence, durations.loan_use_seconds, wanted, returned
        )
        reply = call_lender(lender, request)
        if reply is None or not reply.accepted:
            return False
        instant = now()
        expire_loans(instant)
        for returned_account in returned:
            if loans.returned.get(returned_account.account) is returned_account:
                del loans.returned[returned_account.account]
        drop_loans(lender, loans, reply.recalled, instant)
        loans.expires_at = sent_at + durations.loan_seconds
        state.next_expiry = min(state.next_expiry, loans.expires_at)
        apply_reply(lender, loans, reply, instant)
        expire_loans(instant)
        return True

    def apply_reply(lender, loans, reply, instant):
        if reply.units != loans.units:
            loans.units = reply.units
            for account_id in loans.accounts:
                quota = state.quota_by_account[account_id]
                set_lender_units(quota, lender, reply.units, reply.total, 0.0, instant)
        for account_id, level in reply.lent:
            loans.unconfirmed.discard(account_id)
            quota = state.quota_by_account.get(account_id)
            if quota is None:
                returned_account = ReturnedAccount(account_id, level, True)
                loans.returned[account_id] = returned_account
                continue
            loans.wanted.discard(account_id)
            loans.accounts.add(account_id)
            set_lender_units(quota, lender, reply.units, reply.total, level, instant)

    def call_lender(lender, request):
        if lender == own:
            return handle_loan_request(own, request)
        host = memberships.find(lender)
        if host is None:
            return None
        address = host.peer_address
        outcome = peers.call(address, "borrow_units", request, CALL_TIMEOUT_SECONDS)
        return outcome.value_or(None)

    def awaits_first_loans(quota):
        """Return whether the lenders may still have to answer for a new quota."""
        return now() - quota.opened_at < FIRST_LOANS_TIMEOUT_SECONDS

    def take_account_token(account_id):
        quota = find_or_open_quota(account_id)
        if quota is None or not memberships.is_current():
            return UNAVAILABLE
        wait = take_token(quota, now())
        if wait and awaits_first_loans(quota):
            return AWAITING_LOANS
        return ReservationReply(int(not wait), 0.0, wait, quota.units > 0)

    def handle_reservation_request(sender, request):
        if not memberships.is_current():
            return UNAVAILABLE
        quota = find_or_open_quota(request.account)
        if quota is None:
            return UNAVAILABLE
        reply = reserve(quota, sender, request, now(), durations)
        if not reply.tokens and awaits_first_loans(quota):
            return reply._replace(
                retry_after=AWAITING_LOANS.retry_after, available=True
            )
        return reply

    def on_change(changes):
        for change in changes:
            if change.kind != "account" or change.id not in state.quota_by_account:
                continue
            if change.state is None:
                close_quota(change.id, "removed")
                continue
            set_account(state.quota_by_account[change.id], change.state, now())

    def step():
        """Close unused quotas and return the lenders."""
        instant = now()
        expire_loans(instant)
        for account_id, quota in list(state.quota_by_account.items()):
            idle_seconds = instant - quota.last_used_at
            if idle_seconds > IDLE_EXPIRY_SECONDS:
                close_quota(account_id, "idle")
                continue
            if idle_seconds < MIN_MOVED_IDLE_SECONDS:
                continue
            if memberships.first(f"limits/{account_id}").incarnation != own:
                close_quota(account_id, "moved")
        return update_lenders()

    def is_active(loans):
        return bool(loans.accounts or loans.wanted or loans.returned)

    def start_renewal_task(lender, loans):
        """Start a lender's renewal task unless it runs or has nothing to do."""
        if lender not in state.lenders_with_task and is_active(loans):
            state.lenders_with_task.add(lender)
            kernel.spawn(renew_while_active, lender, loans)

    def renew_while_active(lender, loans):
        """Renew the loans from one lender until none is left."""
        try:
            while is_active(loans):
                renew(lender)
                kernel.clock.sleep(durations.loan_seconds / RENEWALS_PER_LOAN)
        finally:
            state.lenders_with_task.discard(lender)

    def run_forever():
        while True:
            step()
            for lender, loans in list(state.loans_by_lender.items()):
                start_renewal_task(lender, loans)
            kernel.clock.sleep(durations.loan_seconds)

    configurations.subscribe(on_change)
    peers.serve("reserve_tokens", handle_reservation_request)
    service = QuotaOwners(take_account_token, renew, step)
    kernel.register("quota_owners", service, lambda: kernel.spawn(run_forever))
    return service

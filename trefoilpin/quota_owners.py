"""The quota owner's side: borrows units for the accounts that hosts ask it about.

For each lender there is one pair of hosts, whose loans end together unless renewed;
a loan is counted from before the request. UnitLenders are known from the notices that
holders of units publish. Two hosts that both believe they own an account just hold
fewer units each; lenders give preference to the one that ranks higher.

Cost: an owner of any number of accounts in use sends ``RENEWALS_IN_LOAN`` requests in
each loan to each holder, and a holder answers as many from each owner. Accounts that
nobody uses cost nothing. A large fleet keeps the number of holders and takes longer
loans, which delays the change of an owner that crashed.
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
    add_units,
    change_account,
    drop_lender,
    reserve,
    settle,
    take,
)
from trefoilpin.services import QuotaOwners

__all__ = ["create"]

IDLE_SECONDS = 30.0
MOVED_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 0.3
RENEWALS_IN_LOAN = 3
OPENING_SECONDS = 0.1
OPENING = ReservationReply(0, 0.0, 0.005, True)
UNAVAILABLE = ReservationReply(0, 0.0, UNAVAILABLE_RETRY_SECONDS, False)


class Pair:
    """Loans from one lender.

    Attributes
    ----------
    until : float
        Seconds; nothing borrowed may be used from then on.
    units : int
    accounts : set of str
        Borrowed for.
    wanted : set of str
        To be borrowed for.
    unconfirmed : set of str
        Asked for in a request whose reply did not come.
    returned : dict
        ``ReturnedAccount`` by account, until a reply confirms it.
    busy : bool
        True while a request is under way.
    """

    def __init__(self):
        self.until = float("-inf")
        self.units = 0
        self.accounts: set[str] = set()
        self.wanted: set[str] = set()
        self.unconfirmed: set[str] = set()
        self.returned: dict[str, ReturnedAccount] = {}
        self.busy = False


class OwnerState:
    """Quotas owned here and the pairs they borrow through."""

    def __init__(self):
        self.quota_by_account: dict[str, Quota] = {}
        self.pair_by_lender: dict[str, Pair] = {}
        self.next_lapse = float("inf")
        self.followed: set[str] = set()
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
    state = OwnerState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    memberships = kernel.find("memberships")
    configurations = kernel.find("configurations")
    notices = kernel.find("notices")
    peers = kernel.find("peers")
    lend_locally = kernel.find("unit_lenders").handle
    own = memberships.own().incarnation

    def find_quota(account_id):
        """Return the quota, opened if need be, or None when there is no account."""
        instant = now()
        if instant >= state.next_lapse:
            lapse_pairs(instant)
        quota = state.quota_by_account.get(account_id)
        if quota is not None:
            return quota
        account = configurations.accounts_by_id.get(account_id)
        if account is None:
            return None
        return open_quota(account, instant)

    def open_quota(account, instant):
        quota = state.quota_by_account[account.id] = Quota(account, instant)
        find_lenders()
        for lender, pair in list(state.pair_by_lender.items()):
            pair.wanted.add(account.id)
            if lender == own:
                renew(lender)
            start_following(lender, pair)
        emit(events.QUOTA_OPENED, account=account.id, lenders=len(state.pair_by_lender))
        return quota

    def close_quota(account_id, reason):
        quota = state.quota_by_account.pop(account_id)
        settle(quota, now())
        settled = not quota.outstanding
        for lender, pair in state.pair_by_lender.items():
            pair.wanted.discard(account_id)
            if account_id in pair.accounts or account_id in pair.unconfirmed:
                level = drop_lender(quota, lender, now()) if settled else 0.0
                item = ReturnedAccount(account_id, level, settled)
                pair.returned[account_id] = item
            pair.accounts.discard(account_id)
            pair.unconfirmed.discard(account_id)
        emit(events.QUOTA_CLOSED, account=account_id, reason=reason)

    def lapse_pairs(instant):
        """Give up every loan that was not renewed in time."""
        state.next_lapse = float("inf")
        for lender, pair in state.pair_by_lender.items():
            if instant < pair.until:
                state.next_lapse = min(state.next_lapse, pair.until)
                continue
            drop_loans(lender, pair, list(pair.accounts), instant)

    def drop_loans(lender, pair, accounts, instant):
        for account_id in accounts:
            if account_id not in pair.accounts:
                continue
            pair.accounts.discard(account_id)
            pair.wanted.add(account_id)
            drop_lender(state.quota_by_account[account_id], lender, instant)

    def find_lenders():
        """Learn of holders of units, and forget those that are gone."""
        published = {notice.publisher for notice in notices.read(UNITS_TOPIC)}
        for lender in sorted(published - set(state.pair_by_lender)):
            pair = state.pair_by_lender[lender] = Pair()
            pair.wanted.update(state.quota_by_account)
        for lender, pair in list(state.pair_by_lender.items()):
            is_used = pair.accounts or pair.returned or pair.busy
            if lender not in published and not is_used:
                pair.wanted.clear()
                del state.pair_by_lender[lender]
        return tuple(state.pair_by_lender)

    def renew(lender):
        """Send one request to a lender; True when the loans were renewed."""
        pair = state.pair_by_lender.get(lender)
        if pair is None or pair.busy:
            return False
        if not is_active(pair) or not memberships.is_current():
            return False
        pair.busy = True
        try:
            return exchange(lender, pair)
        finally:
            pair.busy = False

    def exchange(lender, pair):
        asked = now()
        state.sequence += 1
        wanted = tuple(sorted(pair.wanted))
        returned = tuple(pair.returned.values())
        pair.unconfirmed.update(wanted)
        request = LoanRequest(
            state.sequence, durations.loan_use_seconds, wanted, returned
        )
        reply = send(lender, request)
        if reply is None or not reply.accepted:
            return False
        instant = now()
        lapse_pairs(instant)
        for item in returned:
            if pair.returned.get(item.account) is item:
                del pair.returned[item.account]
        drop_loans(lender, pair, reply.recalled, instant)
        pair.until = asked + durations.loan_seconds
        state.next_lapse = min(state.next_lapse, pair.until)
        put_in_force(lender, pair, reply, instant)
        lapse_pairs(instant)
        return True

    def put_in_force(lender, pair, reply, instant):
        if reply.units != pair.units:
            pair.units = reply.units
            for account_id in pair.accounts:
                quota = state.quota_by_account[account_id]
                add_units(quota, lender, reply.units, reply.total, 0.0, instant)
        for account_id, level in reply.lent:
            pair.unconfirmed.discard(account_id)
            quota = state.quota_by_account.get(account_id)
            if quota is None:
                item = ReturnedAccount(account_id, level, True)
                pair.returned[account_id] = item
                continue
            pair.wanted.discard(account_id)
            pair.accounts.add(account_id)
            add_units(quota, lender, reply.units, reply.total, level, instant)

    def send(lender, request):
        if lender == own:
            return lend_locally(own, request)
        host = memberships.find(lender)
        if host is None:
            return None
        address = host.peer_address
        called = peers.call(address, "borrow_units", request, CALL_TIMEOUT_SECONDS)
        return called.value_or(None)

    def is_opening(quota):
        """Tell whether the lenders may not have answered yet."""
        return now() - quota.opened_at < OPENING_SECONDS

    def take_token(account_id):
        quota = find_quota(account_id)
        if quota is None or not memberships.is_current():
            return UNAVAILABLE
        wait = take(quota, now())
        if wait and is_opening(quota):
            return OPENING
        return ReservationReply(int(not wait), 0.0, wait, quota.units > 0)

    def handle(sender, request):
        if not memberships.is_current():
            return UNAVAILABLE
        quota = find_quota(request.account)
        if quota is None:
            return UNAVAILABLE
        reply = reserve(quota, sender, request, now(), durations)
        if not reply.tokens and is_opening(quota):
            return reply._replace(retry_after=OPENING.retry_after, available=True)
        return reply

    def on_change(changes):
        for change in changes:
            if change.kind != "account" or change.id not in state.quota_by_account:
                continue
            if change.state is None:
                close_quota(change.id, "removed")
                continue
            change_account(state.quota_by_account[change.id], change.state, now())

    def step():
        """Close quotas that nobody uses; give the lenders."""
        instant = now()
        lapse_pairs(instant)
        for account_id, quota in list(state.quota_by_account.items()):
            unused = instant - quota.used_at
            if unused > IDLE_SECONDS:
                close_quota(account_id, "idle")
                continue
            if unused < MOVED_SECONDS:
                continue
            if memberships.first(f"limits/{account_id}").incarnation != own:
                close_quota(account_id, "moved")
        return find_lenders()

    def is_active(pair):
        return bool(pair.accounts or pair.wanted or pair.returned)

    def start_following(lender, pair):
        """Start the task of a lender unless it runs or has nothing to do."""
        if lender not in state.followed and is_active(pair):
            state.followed.add(lender)
            kernel.spawn(follow, lender, pair)

    def follow(lender, pair):
        """Renew the loans from one lender for as long as there are any."""
        try:
            while is_active(pair):
                renew(lender)
                kernel.clock.sleep(durations.loan_seconds / RENEWALS_IN_LOAN)
        finally:
            state.followed.discard(lender)

    def follow_forever():
        while True:
            step()
            for lender, pair in list(state.pair_by_lender.items()):
                start_following(lender, pair)
            kernel.clock.sleep(durations.loan_seconds)

    configurations.subscribe(on_change)
    peers.serve("reserve_tokens", handle)
    service = QuotaOwners(take_token, renew, step)
    kernel.register("quota_owners", service, lambda: kernel.spawn(follow_forever))
    return service

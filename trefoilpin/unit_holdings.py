"""Rate limit units held by this host: its ledger entries, and when they may be used.

A holder may use its units for ``LimitDurations.holding_seconds`` after it read its
entries in the ledger without a mark. The time is extended while the store answers no
host at all and this host reaches a majority that confirms it; once the time has
expired, only a read renews it. The first candidate marks the entry of an absent
holder, and frees its units after the mark has stood for
``LimitDurations.release_delay_seconds`` during which the store answered without a gap
and a majority was reachable. By then the holder's time has expired, even if the holder
was paused or partitioned, and without synchronized clocks.

Only candidates (the highest-ranked hosts by rendezvous hashing) and holders read the
ledger.
"""

from trefoilpin import events
from trefoilpin.ledgers import (
    LEDGER_PATH,
    Ledger,
    decode,
    encode,
    fair_units,
    free_units,
    with_mark,
    with_units,
    without_mark,
)
from trefoilpin.limit_messages import (
    UNITS_TOPIC,
    HeldUnits,
    UnitsOffer,
    UnitsOfferReply,
    UnitsReply,
    UnitsRequest,
)
from trefoilpin.services import UnitHoldings

__all__ = ["HoldingState", "create"]

CANDIDATES_RANKING = "limits/holders"
READ_TOPIC = "ledger-read"
STEP_INTERVAL_SECONDS = 0.5
UNITS_NOTICE_LIFETIME_SECONDS = 15.0
READ_NOTICE_RENEWAL_SHARE = 0.8
HAND_OVER_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 0.4


class HoldingState:
    """Ledger entries used by this host, and state of its ledger reads.

    Attributes
    ----------
    units_by_entry : dict
        Units of this host's own entry and of entries transferred to it.
    usable_at_by_entry : dict
        Clock time in seconds from which an entry may be used.
    last_increase_at : float
        Clock time of the latest increase in units.
    valid_until : float
        Clock time up to which the units may be used.
    self_limit : int or None
        Upper bound on the units used, set before the others are released.
    self_limited_at : float
    offered_to, transferred_to : str or None
        Successor that may fetch the units, and the one that did; this host itself
        if there is no successor and the units are to be released.
    is_transfer_confirmed : bool
        True once the successor is known to have the units, or they are released.
    accepted_entries : set of str
        All entries ever transferred to this host; each one is accepted only once.
    seen_at_by_mark : dict
        Clock time of the first read by (holder, mark), cleared after a gap in reads,
        a failed read or the loss of the majority.
    published_units : int
        Units in the latest notice.
    next_publish_at : float
        Clock time at which the notice is to be renewed.
    """

    def __init__(self, now):
        self.units_by_entry: dict[str, int] = {}
        self.usable_at_by_entry: dict[str, float] = {}
        self.total = 0
        self.last_increase_at = now
        self.valid_until = float("-inf")
        self.self_limit: int | None = None
        self.self_limited_at = now
        self.offered_to: str | None = None
        self.transferred_to: str | None = None
        self.is_transfer_confirmed = False
        self.accepted_entries: set[str] = set()
        self.last_read_at = float("-inf")
        self.next_read_at = now
        self.seen_at_by_mark: dict[tuple[str, str], float] = {}
        self.marks_created = 0
        self.published_units = 0
        self.next_publish_at = float("inf")


def create(kernel, durations, total, holders):
    """Create the service ``unit_holdings``.

    Parameters
    ----------
    kernel : Kernel
    durations : LimitDurations
    total : int
        Units of the ledger, if this host creates it.
    holders : int
        Number of hosts that should hold units.

    Returns
    -------
    UnitHoldings
    """
    state = HoldingState(kernel.clock.now())
    now = kernel.clock.now
    emit = kernel.find("events").emit
    store = kernel.find("store")
    memberships = kernel.find("memberships")
    notices = kernel.find("notices")
    peers = kernel.find("peers")
    own = memberships.own().incarnation

    def units():
        instant = now()
        if instant >= state.valid_until or state.transferred_to is not None:
            return 0
        held = 0
        for entry, count in state.units_by_entry.items():
            if instant >= state.usable_at_by_entry.get(entry, 0.0):
                held += count
        return held if state.self_limit is None else min(held, state.self_limit)

    def candidates():
        return [host.incarnation for host in memberships.ranked(CANDIDATES_RANKING)][
            :holders
        ]

    def read_ledger():
        """Read the ledger and write due changes; return whether it was read."""
        started_at = now()
        loaded = store.get(LEDGER_PATH)
        failure = loaded.swap().value_or(None)
        if failure is not None and failure.missing:
            empty = encode(Ledger(total, {}, {}))
            loaded = store.create(LEDGER_PATH, empty)
        stored = loaded.value_or(None)
        if stored is None:
            state.seen_at_by_mark.clear()
            return False
        if started_at - state.last_read_at > 2 * durations.read_interval_seconds:
            state.seen_at_by_mark.clear()
        state.last_read_at = now()
        publish_read_notice()
        ledger = decode(stored.value)
        apply_ledger(ledger, started_at)
        planned = plan_changes(ledger, started_at)
        if planned is ledger:
            return True
        written = store.update(LEDGER_PATH, encode(planned), stored.version)
        if written.value_or(None) is not None:
            apply_ledger(planned, started_at)
            emit_changes(ledger, planned)
        return True

    def emit_changes(before, after):
        for holder in before.units_by_holder | after.units_by_holder:
            count = after.units_by_holder.get(holder, 0)
            if count != before.units_by_holder.get(holder, 0):
                emit(events.UNITS_MOVED, holder=holder, units=count)

    def apply_ledger(ledger, started_at):
        """Update this host's units from its ledger entries."""
        state.total = ledger.total
        if ledger.units_by_holder.get(own):
            state.units_by_entry.setdefault(own, 0)
        if state.self_limit is not None:
            if ledger.units_by_holder.get(own, 0) <= state.self_limit:
                state.self_limit = None
        is_marked = False
        for entry, count in list(state.units_by_entry.items()):
            held = ledger.units_by_holder.get(entry, 0)
            is_marked = is_marked or entry in ledger.mark_by_holder
            if held > count:
                state.last_increase_at = now()
            state.units_by_entry[entry] = held
            if not held:
                del state.units_by_entry[entry]
                state.usable_at_by_entry.pop(entry, None)
        if is_marked:
            return
        state.valid_until = max(
            state.valid_until, started_at + durations.holding_seconds
        )
        for entry, usable_at in state.usable_at_by_entry.items():
            if usable_at == float("inf"):
                state.usable_at_by_entry[entry] = now() + durations.loan_lapse_seconds

    def plan_changes(ledger, started_at):
        """Return the ledger with all due changes; the same object if there are none."""
        if state.transferred_to is not None:
            return ledger
        ledger = without_mark(ledger, own)
        ledger = merge_transferred_entries(ledger)
        ledger = release_excess(ledger)
        candidate_hosts = candidates()
        if own not in candidate_hosts:
            return ledger
        if own == candidate_hosts[0]:
            ledger = check_holders(ledger, started_at)
        return acquire_free(ledger, candidate_hosts)

    def merge_transferred_entries(ledger):
        """Move transferred entries that are usable into this host's own entry."""
        for entry in list(state.units_by_entry):
            if entry == own or entry not in ledger.units_by_holder:
                continue
            if now() < state.usable_at_by_entry.get(entry, 0.0):
                ledger = without_mark(ledger, entry)
                continue
            combined = ledger.units_by_holder[entry] + ledger.units_by_holder.get(
                own, 0
            )
            ledger = with_units(with_units(ledger, entry, 0), own, combined)
        return ledger

    def release_excess(ledger):
        """Release the units above a fair share if a candidate has none."""
        held = ledger.units_by_holder.get(own, 0)
        if state.self_limit is not None:
            if now() < state.self_limited_at + durations.loan_lapse_seconds:
                return ledger
            return with_units(ledger, own, state.self_limit)
        candidate_hosts = candidates()
        fair_count = fair_units(ledger.total, len(candidate_hosts))
        without_units = set(candidate_hosts) - set(ledger.units_by_holder)
        holds_own_entry_only = set(state.units_by_entry) == {own}
        if (
            held > fair_count
            and without_units
            and holds_own_entry_only
            and free_units(ledger) < fair_count
        ):
            state.self_limit, state.self_limited_at = fair_count, now()
            state.next_read_at = now() + durations.loan_lapse_seconds
        return ledger

    def acquire_free(ledger, candidate_hosts):
        held = ledger.units_by_holder.get(own, 0)
        fair_count = fair_units(ledger.total, len(candidate_hosts))
        additional = min(free_units(ledger), fair_count - held)
        if additional <= 0 or state.self_limit is not None:
            return ledger
        return with_units(ledger, own, held + additional)

    def check_holders(ledger, started_at):
        """Mark absent holders; release the units of those marked for long enough."""
        if not (memberships.has_majority() and memberships.is_current()):
            state.seen_at_by_mark.clear()
            return ledger
        for holder in list(ledger.units_by_holder):
            if holder == own or holder in state.units_by_entry:
                continue
            if memberships.age(holder) <= durations.absence_seconds:
                continue
            mark = ledger.mark_by_holder.get(holder)
            if mark is None:
                state.marks_created += 1
                mark = f"{own}/{state.marks_created}"
                ledger = with_mark(ledger, holder, mark)
                continue
            seen_at = state.seen_at_by_mark.setdefault((holder, mark), now())
            if started_at - seen_at >= durations.release_delay_seconds:
                ledger = with_units(ledger, holder, 0)
        return ledger

    def extend_without_store():
        """Extend the validity of the units while the store answers no host."""
        instant = now()
        if not state.units_by_entry or instant >= state.valid_until:
            return
        if not (memberships.is_current() and memberships.has_majority()):
            return
        if (
            notices.read(READ_TOPIC)
            or memberships.store_age() <= durations.read_notice_seconds
        ):
            return
        state.valid_until = max(state.valid_until, instant + durations.holding_seconds)

    def step():
        """Extend validity, read the ledger when it is due, and publish the units."""
        extend_without_store()
        if now() >= state.next_read_at:
            state.next_read_at = now() + durations.read_interval_seconds * (
                0.8 + 0.4 * kernel.rng.random()
            )
            if state.units_by_entry or own in candidates():
                read_ledger()
        elif (
            state.self_limit is not None
            and now() >= state.self_limited_at + durations.loan_lapse_seconds
        ):
            read_ledger()
        publish_units()

    def publish_read_notice():
        """Publish that the store answers, unless such a notice is recent enough."""
        fresh_until = now() + READ_NOTICE_RENEWAL_SHARE * durations.read_notice_seconds
        for notice in notices.read(READ_TOPIC):
            if notice.expires_at >= fresh_until:
                return
        notices.publish(READ_TOPIC, "", "", durations.read_notice_seconds)

    def publish_units():
        """Publish the units held here after a change, and renew the notice."""
        held = units()
        if held == state.published_units and now() < state.next_publish_at:
            return
        state.published_units = held
        state.next_publish_at = (
            now() + UNITS_NOTICE_LIFETIME_SECONDS / 2 if held else float("inf")
        )
        lifetime = UNITS_NOTICE_LIFETIME_SECONDS if held else 0.0
        notices.publish(UNITS_TOPIC, "", str(held), lifetime)

    def hand_over(successor):
        """Transfer all units to a successor, or release them; return True once done."""
        if state.is_transfer_confirmed or not state.units_by_entry:
            return True
        if state.transferred_to not in (None, own):
            successor = memberships.find(state.transferred_to) or successor
        if successor is None or state.transferred_to == own:
            state.is_transfer_confirmed = release_own()
            return state.is_transfer_confirmed
        state.offered_to = successor.incarnation
        offer = UnitsOffer(sum(state.units_by_entry.values()))
        address = successor.peer_address
        outcome = peers.call(address, "offer_units", offer, HAND_OVER_TIMEOUT_SECONDS)
        reply = outcome.value_or(None)
        state.is_transfer_confirmed = reply is not None and reply.accepted
        return state.is_transfer_confirmed

    def release_own():
        """Release this host's own units in the ledger once their loans have expired."""
        if state.transferred_to is None:
            state.transferred_to = own
            kernel.clock.sleep(durations.loan_lapse_seconds)
        stored = store.get(LEDGER_PATH).value_or(None)
        if stored is None:
            return False
        ledger = with_units(decode(stored.value), own, 0)
        written = store.update(LEDGER_PATH, encode(ledger), stored.version)
        return written.value_or(None) is not None

    def handle_units_request(sender, request):
        """Transfer the units to the successor; this host no longer uses them."""
        empty_reply = UnitsReply((), state.total, 0.0, 0.0)
        if state.offered_to != sender or state.transferred_to not in (None, sender):
            return empty_reply
        state.transferred_to = sender
        entries = tuple(HeldUnits(*item) for item in state.units_by_entry.items())
        valid_seconds = state.valid_until - now()
        return UnitsReply(
            entries, state.total, valid_seconds, durations.loan_lapse_seconds
        )

    def handle_units_offer(sender, offer):
        """Fetch the units offered by a leaving host."""
        host = memberships.find(sender)
        if host is None or state.transferred_to is not None:
            return UnitsOfferReply(False)
        started_at = now()
        outcome = peers.call(
            host.peer_address, "give_units", UnitsRequest(1), FETCH_TIMEOUT_SECONDS
        )
        reply = outcome.value_or(None)
        if reply is None or not reply.entries:
            return UnitsOfferReply(False)
        apply_transfer(reply, started_at)
        return UnitsOfferReply(True)

    def apply_transfer(reply, started_at):
        """Add a leaving host's entries, usable once its loans have expired.

        They are valid for as long as they were on the leaving host. Entries that had
        expired there are not used before a read of the ledger, and do not change the
        validity of this host's own entry.
        """
        wait_seconds = max(durations.loan_lapse_seconds, reply.lapse_seconds)
        usable_at = now() + wait_seconds
        if reply.valid_seconds <= wait_seconds:
            usable_at = float("inf")
        else:
            transfer_valid_until = started_at + reply.valid_seconds
            if state.units_by_entry:
                transfer_valid_until = min(transfer_valid_until, state.valid_until)
            state.valid_until = transfer_valid_until
        state.total = reply.total
        for entry, count in reply.entries:
            if entry in state.accepted_entries:
                continue
            state.accepted_entries.add(entry)
            state.units_by_entry[entry] = count
            state.usable_at_by_entry[entry] = usable_at
        state.last_increase_at = now() + wait_seconds
        state.next_read_at = now()

    def run_forever():
        while True:
            step()
            kernel.clock.sleep(STEP_INTERVAL_SECONDS)

    peers.serve("offer_units", handle_units_offer)
    peers.serve("give_units", handle_units_request)
    service = UnitHoldings(
        units, lambda: state.total, lambda: state.last_increase_at, step, hand_over
    )
    kernel.register("unit_holdings", service, lambda: kernel.spawn(run_forever))
    return service

"""The units this host holds: its entries of the ledger, and when it may use them.

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

__all__ = ["EntitlementState", "create"]

CANDIDATES_NAME = "limits/holders"
READ_TOPIC = "ledger-read"
STEP_SECONDS = 0.5
UNITS_NOTICE_SECONDS = 15.0
READ_NOTICE_SHARE = 0.8
HAND_OVER_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 0.4


class EntitlementState:
    """Entries this host answers for, and what it knows of the ledger.

    Attributes
    ----------
    units_by_entry : dict
        Its own entry, and those of hosts that handed theirs over.
    usable_at_by_entry : dict
        Instant from which an entry may be used.
    since : float
        Instant of the last increase.
    valid_until : float
    limit : int or None
        Units it restricts itself to, on the way to giving some up.
    limited_at : float
    offered_to, given_to : str or None
        The successor that may fetch everything, and the one that did; this host
        itself when there is none and the units are to be freed.
    is_handed_over : bool
        True once it is known to have them.
    accepted : set of str
        Entries that were handed over to this host at any time.
    seen_at_by_mark : dict
        Instant by (holder, mark), reset when certainty is lost.
    published : int
        Units that the last notice told of.
    publish_at : float
        Instant at which the notice is due again.
    """

    def __init__(self, now):
        self.units_by_entry: dict[str, int] = {}
        self.usable_at_by_entry: dict[str, float] = {}
        self.total = 0
        self.since = now
        self.valid_until = float("-inf")
        self.limit: int | None = None
        self.limited_at = now
        self.offered_to: str | None = None
        self.given_to: str | None = None
        self.is_handed_over = False
        self.accepted: set[str] = set()
        self.last_read = float("-inf")
        self.next_read = now
        self.seen_at_by_mark: dict[tuple[str, str], float] = {}
        self.marks_made = 0
        self.published = 0
        self.publish_at = float("inf")


def create(kernel, durations, total, holders):
    """Create the service ``unit_holdings``.

    Parameters
    ----------
    kernel : Kernel
    durations : LimitDurations
    total : int
        Units of a ledger that does not exist yet.
    holders : int
        Hosts that should hold units.

    Returns
    -------
    UnitHoldings
    """
    state = EntitlementState(kernel.clock.now())
    now = kernel.clock.now
    emit = kernel.find("events").emit
    store = kernel.find("store")
    memberships = kernel.find("memberships")
    notices = kernel.find("notices")
    peers = kernel.find("peers")
    own = memberships.own().incarnation

    def units():
        instant = now()
        if instant >= state.valid_until or state.given_to is not None:
            return 0
        held = 0
        for entry, count in state.units_by_entry.items():
            if instant >= state.usable_at_by_entry.get(entry, 0.0):
                held += count
        return held if state.limit is None else min(held, state.limit)

    def candidates():
        return [host.incarnation for host in memberships.ranked(CANDIDATES_NAME)][
            :holders
        ]

    def read_ledger():
        """Read the ledger and change it where a change is due."""
        asked = now()
        read = store.get(LEDGER_PATH)
        failure = read.swap().value_or(None)
        if failure is not None and failure.missing:
            empty = encode(Ledger(total, {}, {}))
            read = store.create(LEDGER_PATH, empty)
        stored = read.value_or(None)
        if stored is None:
            state.seen_at_by_mark.clear()
            return False
        if asked - state.last_read > 2 * durations.read_interval_seconds:
            state.seen_at_by_mark.clear()
        state.last_read = now()
        publish_read()
        ledger = decode(stored.value)
        adopt(ledger, asked)
        changed = plan(ledger, asked)
        if changed is ledger:
            return True
        written = store.update(LEDGER_PATH, encode(changed), stored.version)
        if written.value_or(None) is not None:
            adopt(changed, asked)
            report(ledger, changed)
        return True

    def report(before, after):
        for holder in before.units_by_holder | after.units_by_holder:
            count = after.units_by_holder.get(holder, 0)
            if count != before.units_by_holder.get(holder, 0):
                emit(events.UNITS_MOVED, holder=holder, units=count)

    def adopt(ledger, asked):
        """Take over what the ledger says of this host's entries."""
        state.total = ledger.total
        if ledger.units_by_holder.get(own):
            state.units_by_entry.setdefault(own, 0)
        if state.limit is not None:
            if ledger.units_by_holder.get(own, 0) <= state.limit:
                state.limit = None
        marked = False
        for entry, count in list(state.units_by_entry.items()):
            held = ledger.units_by_holder.get(entry, 0)
            marked = marked or entry in ledger.mark_by_holder
            if held > count:
                state.since = now()
            state.units_by_entry[entry] = held
            if not held:
                del state.units_by_entry[entry]
                state.usable_at_by_entry.pop(entry, None)
        if marked:
            return
        state.valid_until = max(state.valid_until, asked + durations.holding_seconds)
        for entry, usable_at in state.usable_at_by_entry.items():
            if usable_at == float("inf"):
                state.usable_at_by_entry[entry] = now() + durations.loan_lapse_seconds

    def plan(ledger, asked):
        """Return the ledger as it should be, the same one when nothing is due."""
        if state.given_to is not None:
            return ledger
        ledger = without_mark(ledger, own)
        ledger = claim_inherited(ledger)
        ledger = give_up(ledger)
        wanted = candidates()
        if own not in wanted:
            return ledger
        if own == wanted[0]:
            ledger = watch_holders(ledger, asked)
        return take_free(ledger, wanted)

    def claim_inherited(ledger):
        """Write units that were handed over under this host's own name."""
        for entry in list(state.units_by_entry):
            if entry == own or entry not in ledger.units_by_holder:
                continue
            if now() < state.usable_at_by_entry.get(entry, 0.0):
                ledger = without_mark(ledger, entry)
                continue
            both = ledger.units_by_holder[entry] + ledger.units_by_holder.get(own, 0)
            ledger = with_units(with_units(ledger, entry, 0), own, both)
        return ledger

    def give_up(ledger):
        """Free the units above a fair share when a candidate has none."""
        held = ledger.units_by_holder.get(own, 0)
        if state.limit is not None:
            if now() < state.limited_at + durations.loan_lapse_seconds:
                return ledger
            return with_units(ledger, own, state.limit)
        wanted = candidates()
        fair = fair_units(ledger.total, len(wanted))
        lacking = set(wanted) - set(ledger.units_by_holder)
        alone = set(state.units_by_entry) == {own}
        if held > fair and lacking and alone and free_units(ledger) < fair:
            state.limit, state.limited_at = fair, now()
            state.next_read = now() + durations.loan_lapse_seconds
        return ledger

    def take_free(ledger, wanted):
        held = ledger.units_by_holder.get(own, 0)
        fair = fair_units(ledger.total, len(wanted))
        more = min(free_units(ledger), fair - held)
        if more <= 0 or state.limit is not None:
            return ledger
        return with_units(ledger, own, held + more)

    def watch_holders(ledger, asked):
        """Mark holders that seem gone; free the units of those certainly gone."""
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
                state.marks_made += 1
                mark = f"{own}/{state.marks_made}"
                ledger = with_mark(ledger, holder, mark)
                continue
            seen_at = state.seen_at_by_mark.setdefault((holder, mark), now())
            if asked - seen_at >= durations.release_delay_seconds:
                ledger = with_units(ledger, holder, 0)
        return ledger

    def prolong():
        """Go on without the store while it answers nobody."""
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
        """Keep the units valid, read the ledger when it is time, publish."""
        prolong()
        if now() >= state.next_read:
            state.next_read = now() + durations.read_interval_seconds * (
                0.8 + 0.4 * kernel.rng.random()
            )
            if state.units_by_entry or own in candidates():
                read_ledger()
        elif (
            state.limit is not None
            and now() >= state.limited_at + durations.loan_lapse_seconds
        ):
            read_ledger()
        publish()

    def publish_read():
        """Have every host know that the store answers, unless it soon does."""
        enough = now() + READ_NOTICE_SHARE * durations.read_notice_seconds
        for notice in notices.read(READ_TOPIC):
            if notice.expires_at >= enough:
                return
        notices.publish(READ_TOPIC, "", "", durations.read_notice_seconds)

    def publish():
        """Have owners know that there are units here, when that changed or lapses."""
        held = units()
        if held == state.published and now() < state.publish_at:
            return
        state.published = held
        state.publish_at = now() + UNITS_NOTICE_SECONDS / 2 if held else float("inf")
        lifetime = UNITS_NOTICE_SECONDS if held else 0.0
        notices.publish(UNITS_TOPIC, "", str(held), lifetime)

    def hand_over(successor):
        """Give every unit to a successor, or free them; True once that is done."""
        if state.is_handed_over or not state.units_by_entry:
            return True
        if state.given_to not in (None, own):
            successor = memberships.find(state.given_to) or successor
        if successor is None or state.given_to == own:
            state.is_handed_over = free_own()
            return state.is_handed_over
        state.offered_to = successor.incarnation
        offer = UnitsOffer(sum(state.units_by_entry.values()))
        address = successor.peer_address
        called = peers.call(address, "offer_units", offer, HAND_OVER_TIMEOUT_SECONDS)
        reply = called.value_or(None)
        state.is_handed_over = reply is not None and reply.accepted
        return state.is_handed_over

    def free_own():
        """Write back units that no other host takes, once their loans ended."""
        if state.given_to is None:
            state.given_to = own
            kernel.clock.sleep(durations.loan_lapse_seconds)
        stored = store.get(LEDGER_PATH).value_or(None)
        if stored is None:
            return False
        ledger = with_units(decode(stored.value), own, 0)
        written = store.update(LEDGER_PATH, encode(ledger), stored.version)
        return written.value_or(None) is not None

    def give(sender, request):
        """Answer a successor's request; from here on the units are its own."""
        nothing = UnitsReply((), state.total, 0.0, 0.0)
        if state.offered_to != sender or state.given_to not in (None, sender):
            return nothing
        state.given_to = sender
        entries = tuple(HeldUnits(*item) for item in state.units_by_entry.items())
        valid_seconds = state.valid_until - now()
        return UnitsReply(
            entries, state.total, valid_seconds, durations.loan_lapse_seconds
        )

    def accept(sender, offer):
        """Fetch the units that a leaving host offers."""
        host = memberships.find(sender)
        if host is None or state.given_to is not None:
            return UnitsOfferReply(False)
        asked = now()
        called = peers.call(
            host.peer_address, "give_units", UnitsRequest(1), FETCH_TIMEOUT_SECONDS
        )
        reply = called.value_or(None)
        if reply is None or not reply.entries:
            return UnitsOfferReply(False)
        inherit(reply, asked)
        return UnitsOfferReply(True)

    def inherit(reply, asked):
        """Use a leaver's entries once its loans ended, for as long as it could.

        Entries that the leaver itself could use no longer wait for a read of the
        ledger, and leave this host's own ones as they are.
        """
        lapse = max(durations.loan_lapse_seconds, reply.lapse_seconds)
        usable_at = now() + lapse
        if reply.valid_seconds <= lapse:
            usable_at = float("inf")
        else:
            until = asked + reply.valid_seconds
            if state.units_by_entry:
                until = min(until, state.valid_until)
            state.valid_until = until
        state.total = reply.total
        for entry, count in reply.entries:
            if entry in state.accepted:
                continue
            state.accepted.add(entry)
            state.units_by_entry[entry] = count
            state.usable_at_by_entry[entry] = usable_at
        state.since = now() + lapse
        state.next_read = now()

    def run_forever():
        while True:
            step()
            kernel.clock.sleep(STEP_SECONDS)

    peers.serve("offer_units", accept)
    peers.serve("give_units", give)
    service = UnitHoldings(
        units, lambda: state.total, lambda: state.since, step, hand_over
    )
    kernel.register("unit_holdings", service, lambda: kernel.spawn(run_forever))
    return service

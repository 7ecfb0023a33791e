"""A lease in the store: at most one host at a time has the right that it stands for.

The lease is one object that names its holder. A holder's right ends a fixed time after
the moment before its last successful write was sent, by a clock that counts suspension.
Another host takes over only by a write on the condition that the object still has the
revision that this host read at least as long ago, in the same era of the store. A write
that succeeds so is preceded by the end of every earlier right: each earlier write was
sent before that revision was read. So no two rights overlap, whatever hosts know of
each other, and however late a write takes effect.

A host that finds its own object, written in the same era, goes on at once. After a
restore of the store the same revision may stand for another write, so what was read in
another era counts for nothing.

A holder that stops ends its right, and then writes that it has released the lease;
nobody waits after that write, as it replaced the last one of a right. Nor does a host
that finds no object while the system starts for the first time, in a store that was
never restored: nobody had a right.

Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.
"""

from typing import Any, Callable, NamedTuple

from returns.result import Failure

from trefoilpin import events
from trefoilpin.gateway.loops import repeat
from trefoilpin.gateway.store.stores import StoredObject

__all__ = [
    "COLD_UPSTREAMS",
    "LEASES",
    "LEASE_SECONDS",
    "LeaseHolder",
    "Leases",
    "create",
]

# Kind of the object in the store, and its name.
LEASES, COLD_UPSTREAMS = "leases", "cold-upstreams"
# Time for which others wait. It is as long as a failure of the holder may last unseen.
LEASE_SECONDS = 3.0
# A right ends sooner than others wait, as clocks differ in rate.
RIGHT_SECONDS = 0.97 * LEASE_SECONDS
RENEW_SECONDS = LEASE_SECONDS / 3.0
# A right that nobody has asked for in this time is not renewed.
WANTED_SECONDS = 2.0
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 0.2, 1.0
# Period in which a host that waits for the right of another one reads whether that one
# has released it.
REREAD_SECONDS = 0.3
# A right before which there was none counts as held for this time before it began.
NO_EARLIER_SECONDS = 3600.0
# Period in which a host looks whether it is the one that should hold the lease.
CHECK_SECONDS = 0.3


class LeaseHolder(NamedTuple):
    """A start of a host, as named in a lease."""

    address: str
    incarnation: int


class Leases(NamedTuple):
    """``leases``: the lease on a right that one host at a time may have.

    ``want()`` has this host hold the lease, or try to take it, for some seconds.
    ``held_since(time)`` returns since when this host has held it, without another
    holder in between, if it holds it at that time of the clock, else None.
    ``holder()`` is the address of the host that was last seen to hold it, or empty.
    ``end()`` has this host release the lease and never take it again. ``handover()`` is
    what the earlier holder handed over to this one by its release, or None.
    """

    want: Callable[[], None]
    held_since: Callable[[float], float | None]
    holder: Callable[[], str]
    end: Callable[[], None]
    handover: Callable[[], Any]


class LeaseState:
    """The object as last read or written, and this host's right.

    Attributes
    ----------
    seen_at : float
        Clock time by which the object had this era and revision.
    read_at : float
        Clock time before the last read.
    is_in_doubt : bool
        True when the object may have changed since, after a failed write.
    sequence : int
        Number of the last write, of all that this host sent.
    sent_at : float
        Clock time before the last write was sent.
    era, first_sequence : int
        Era in which the last write was meant, and the number of the first such write.
    is_calling : bool
        True while a call to the store is under way.
    is_ended : bool
        True when this host has released the lease, or is about to.
    handover : Any
        What the earlier holder handed over, untrusted.
    """

    def __init__(self):
        self.seen: StoredObject | None = None
        self.seen_at = float("-inf")
        self.read_at = float("-inf")
        self.is_in_doubt = True
        self.sequence = 0
        self.sent_at = float("-inf")
        self.era = -1
        self.first_sequence = 0
        self.right_until = float("-inf")
        self.began_at = float("-inf")
        self.wanted_at = float("-inf")
        self.failures = 0
        self.is_kept = False
        self.is_calling = False
        self.is_ended = False
        self.handover: Any = None


def read_holder(stored):
    """Return the ``LeaseHolder`` and the number of its write in an object, or None.

    Parameters
    ----------
    stored : StoredObject or None
    """
    spec: Any = None if stored is None else stored.spec
    if not isinstance(spec, dict):
        return None
    address, incarnation = spec.get("holder"), spec.get("incarnation")
    sequence = spec.get("sequence")
    if not isinstance(address, str) or not isinstance(incarnation, int):
        return None
    if not isinstance(sequence, int):
        return None
    return LeaseHolder(address, incarnation), sequence


def is_released(stored):
    """Tell whether the holder released the lease by this object, in the same era.

    Parameters
    ----------
    stored : StoredObject
    """
    return isinstance(stored.spec, dict) and stored.spec.get("released") == stored.era


def create(
    kernel,
    own,
    is_first,
    is_first_start=False,
    create_handover=lambda held_since: None,
    name=COLD_UPSTREAMS,
):
    """Create the service ``leases``.

    Parameters
    ----------
    kernel : Kernel
    own : LeaseHolder
    is_first : callable
        Tells whether this host is the one that others ask first. It takes the lease
        before it is wanted, so that it need not wait then.
    is_first_start : bool, optional
        True only when the whole system starts for the first time.
    create_handover : callable, optional
        ``create_handover(held_since)`` returns what the next holder has to know, as it
        stands in JSON; this host held the lease since that time of the clock.
    name : str, optional
        Name of the object in the store, one for each right.

    Returns
    -------
    Leases
    """
    state = LeaseState()
    now, sleep = kernel.clock.now, kernel.clock.sleep
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    store = kernel.find("store")
    started_at = now()

    def is_own(stored):
        """Tell whether this host wrote an object, in the era in which it meant to."""
        found = read_holder(stored)
        if found is None or found[0] != own or stored.era != state.era:
            return False
        return state.first_sequence <= found[1] <= state.sequence

    def is_wanted():
        return now() - state.wanted_at < WANTED_SECONDS

    def is_needed():
        if state.is_ended:
            return False
        return is_wanted() or (is_first() and not is_own(state.seen))

    def keep():
        """Hold the lease, or try to take it, while that is needed."""
        try:
            while is_needed():
                state.is_calling = True
                try:
                    seconds = advance()
                finally:
                    state.is_calling = False
                if state.is_ended:
                    release()
                else:
                    sleep(max(seconds, 0.0))
        finally:
            state.is_kept = False

    def advance():
        """Make the next call to the store if it is due; return when to go on."""
        if state.is_in_doubt or state.seen is None:
            return observe()
        if is_own(state.seen):
            due_at = state.sent_at + RENEW_SECONDS
            return due_at - now() if now() < due_at else write()
        if is_free(state.seen) or now() >= state.seen_at + LEASE_SECONDS:
            return write()
        if is_wanted() and now() >= state.read_at + REREAD_SECONDS:
            return observe()
        return min(state.seen_at + LEASE_SECONDS - now(), REREAD_SECONDS)

    def is_free(stored):
        """Tell whether no host can have a right, however recently it was read."""
        if stored.revision:
            return is_released(stored)
        is_new = is_first_start and now() < started_at + LEASE_SECONDS
        return is_new and stored.era == 0

    def observe():
        metrics.count("lease_reads")
        state.read_at = now()
        outcome = store.read_object(LEASES, name)
        if isinstance(outcome, Failure):
            return record_failure(outcome.failure())
        state.failures = 0
        see(outcome.unwrap())
        return 0.0

    def see(stored):
        """Take over what the store has now."""
        known = state.seen
        state.is_in_doubt = False
        if known is None or (known.era, known.revision) != (
            stored.era,
            stored.revision,
        ):
            state.seen, state.seen_at = stored, now()
            found = read_holder(stored)
            emit(
                events.LEASE_SEEN,
                lease=name,
                holder=None if found is None else found[0].address,
                revision=stored.revision,
                era=stored.era,
                own=is_own(stored),
            )
        if is_own(stored) and read_holder(stored)[1] == state.sequence:
            extend_right()

    def extend_right():
        if state.is_ended:
            return
        state.right_until = max(state.right_until, state.sent_at + RIGHT_SECONDS)

    def write():
        seen = state.seen
        was_own = is_own(seen)
        if state.era != seen.era:
            state.era, state.first_sequence = seen.era, state.sequence + 1
        state.sequence += 1
        state.sent_at = now()
        if not was_own:
            state.began_at = state.sent_at
            state.handover = seen.spec.get("handover") if is_released(seen) else None
            if not seen.revision and is_free(seen):
                state.began_at -= NO_EARLIER_SECONDS
        metrics.count("lease_writes")
        outcome = store.write_object(LEASES, name, own_spec(), seen.revision)
        if isinstance(outcome, Failure):
            state.is_in_doubt = True
            return record_failure(outcome.failure())
        state.failures = 0
        state.seen, state.seen_at = outcome.unwrap(), now()
        if not is_own(state.seen):
            # The store was restored since the object was read.
            return 0.0
        extend_right()
        if not was_own:
            emit(
                events.LEASE_TAKEN,
                lease=name,
                revision=state.seen.revision,
                era=state.seen.era,
                before=seen.revision,
            )
        return RENEW_SECONDS

    def own_spec():
        """Return the object that names this host, with the number of the write."""
        return {
            "holder": own.address,
            "incarnation": own.incarnation,
            "sequence": state.sequence,
        }

    def release():
        """Write that this host has no right any more, if nobody else has one."""
        seen = state.seen
        if seen is None or state.is_in_doubt or not is_own(seen):
            return
        state.sequence += 1
        state.is_in_doubt = True
        metrics.count("lease_writes")
        spec = {**own_spec(), "released": seen.era}
        spec["handover"] = create_handover(state.began_at)
        outcome = store.write_object(LEASES, name, spec, seen.revision)
        if isinstance(outcome, Failure):
            record_failure(outcome.failure())
            return
        emit(events.LEASE_RELEASED, lease=name, revision=outcome.unwrap().revision)

    def end():
        """Release the lease, after the call that is under way, if there is one."""
        state.is_ended = True
        state.right_until = float("-inf")
        if not state.is_calling:
            kernel.spawn(release)

    def record_failure(failure):
        """Log a failed call; return the seconds until the next one."""
        if failure.is_conflict:
            return 0.0
        state.failures += 1
        metrics.count("lease_calls_failed")
        if state.failures == 1:
            emit(events.LEASE_CALL_FAILED, lease=name, detail=failure.detail)
        longest = min(MIN_RETRY_SECONDS * 2**state.failures, MAX_RETRY_SECONDS)
        return longest * (0.5 + 0.5 * kernel.rng.random())

    def check():
        if is_needed() and not state.is_kept:
            state.is_kept = True
            kernel.spawn(keep)

    def want():
        state.wanted_at = now()
        check()

    def held_since(time):
        return state.began_at if time < state.right_until else None

    def holder():
        found = read_holder(state.seen)
        if found is None or state.is_ended or is_released(state.seen):
            return ""
        return found[0].address

    metrics.gauge("lease_held", lambda: int(now() < state.right_until))
    service = Leases(
        want,
        held_since,
        holder,
        end,
        lambda: state.handover,
    )
    kernel.register(
        "leases",
        service,
        lambda: kernel.spawn(repeat, sleep, lambda: CHECK_SECONDS, check),
    )
    return service

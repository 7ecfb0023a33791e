"""Orders of rollouts at this host: the order read, and the newest stage heard of it.

The stage of each pool travels from host to host as a record. A record names the order
by a generation, which rises with each order, and its coordinator by a term, so that
every host can tell the newer of two records, in whatever order they arrive.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.rollouts import evidence_counts
from trefoilpin.gateway.rollouts.records import (
    COMPLETE,
    RUNNING,
    WITHDRAWN,
    StageRecord,
    is_newer,
)
from trefoilpin.gateway.store.document_cache import ROLLOUTS

__all__ = ["OrderStates", "PoolRollout", "create"]

MAX_POOLS = 64
# Versions that were rolled back or withdrawn, of each pool.
MAX_BARRED = 8
# A record without an order is forgotten after this time.
MAX_RECORD_SECONDS = 3600.0
# After the store was restored from an older copy, an order that it lacks stays in force
# for this time, as operators write their orders again.
MAX_MISSING_SECONDS = 6.0
# An order is read up to this long after it was written: a period of the store's reader
# with its jitter. The time limit counts from the write.
MAX_READ_SECONDS = 0.7
# Changes of the share that other hosts are told at once; others go with the next
# regular message.
MIN_NOTIFIED_SHARE = 0.03


class OrderStates(NamedTuple):
    """Orders and stages by pool.

    ``find(pool)`` returns the ``PoolRollout`` of a pool or None, and ``list_all()``
    those of all pools. ``merge(record)`` takes a record from another host or this one's
    coordinator, and ``records()`` returns those to send, with their ages.
    ``check_missing()`` withdraws orders that stay missing after a restore.
    ``subscribe(function)`` has the function called after a change of stage or state.
    """

    find: Callable
    list_all: Callable
    merge: Callable[[StageRecord], None]
    records: Callable[[], tuple[StageRecord, ...]]
    check_missing: Callable[[], None]
    subscribe: Callable[[Callable[[], None]], None]


class PoolRollout:
    """Rollouts of one pool.

    Attributes
    ----------
    order : RolloutOrder or None
        As last read.
    record : StageRecord
        The newest one; its ages are those at ``issued_at``.
    issued_at, stage_at, ordered_at : float
        Clock times at which the record was issued, and its stage and order began.
    is_withdrawn : bool
        True once this host saw the order of the record removed.
    barred : list of str
        Other versions that were rolled back or withdrawn.
    missing_until : float or None
        Until when an order that the restored store lacks stays in force.
    counts : CountTable
    fraction_by_route : dict
        Where this host is in dividing the requests of each route.
    """

    def __init__(self, record, now, counts):
        self.order = None
        self.record = record
        self.issued_at = now - record.age
        self.stage_at = now - record.stage_age
        self.ordered_at = now - record.order_age
        self.is_withdrawn = False
        self.barred: list[str] = []
        self.missing_until: float | None = None
        self.counts = counts
        self.fraction_by_route: dict[str, float] = {}


def first_record(pool, target, generation):
    """Return the record of an order for which no coordinator issued one yet."""
    return StageRecord(
        pool,
        target,
        generation,
        0,
        0,
        RUNNING,
        0,
        0.0,
        0,
        0.0,
        MAX_READ_SECONDS,
        MAX_READ_SECONDS,
    )


def create(kernel, own_zone):
    """Create the functions that keep orders and stages.

    Parameters
    ----------
    kernel : Kernel
    own_zone : str

    Returns
    -------
    OrderStates
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    document_cache = kernel.find("document_cache")
    rollout_by_pool: dict[str, PoolRollout] = {}
    listeners: list[Callable[[], None]] = []
    last_era = [0]

    def update(order_by_pool):
        is_restored = has_new_era()
        for pool, order in order_by_pool.items():
            take_order(pool, order)
        for pool, rollout in rollout_by_pool.items():
            if pool in order_by_pool or rollout.order is None:
                continue
            if is_restored:
                rollout.missing_until = now() + MAX_MISSING_SECONDS
            if rollout.missing_until is None:
                withdraw(rollout)

    def has_new_era():
        era = document_cache.version(ROLLOUTS).era
        is_new, last_era[0] = era != last_era[0], era
        return is_new

    def take_order(pool, order):
        rollout = rollout_by_pool.get(pool)
        if rollout is None:
            if len(rollout_by_pool) >= MAX_POOLS:
                emit(events.ROLLOUT_LEFT_OUT, pool=pool, target=order.target_version)
                return
            record = first_record(pool, order.target_version, 1)
            rollout = start_tracking(record)
            log_order(order, 1)
        elif is_other_order(rollout, order):
            bar(rollout, rollout.record, order.target_version)
            generation = rollout.record.generation + 1
            record = first_record(pool, order.target_version, generation)
            set_record(rollout, record)
            restart_counts(rollout)
            log_order(order, generation)
        rollout.order = order
        rollout.is_withdrawn = False
        rollout.missing_until = None
        rollout.barred = [
            version for version in rollout.barred if version != order.target_version
        ]

    def is_other_order(rollout, order):
        """Tell whether an order is not the one that the known record concerns.

        A record may be ahead of the document that this host has.
        """
        if rollout.order is not None and (
            rollout.order.target_version == order.target_version
        ):
            return False
        return rollout.is_withdrawn or rollout.record.target != order.target_version

    def log_order(order, generation):
        emit(
            events.ROLLOUT_ORDERED,
            pool=order.pool,
            target=order.target_version,
            duration=order.duration,
            state=order.state or None,
            generation=generation,
        )

    def start_tracking(record):
        counts = evidence_counts.create(own_zone)
        rollout = PoolRollout(record, now(), counts)
        rollout_by_pool[record.pool] = rollout
        return rollout

    def restart_counts(rollout):
        rollout.counts = evidence_counts.create(own_zone)
        rollout.fraction_by_route = {}

    def bar(rollout, record, next_target):
        """Keep the version of an earlier order from getting requests."""
        is_complete = record.state == COMPLETE or (
            rollout.order is not None and rollout.order.state == COMPLETE
        )
        if is_complete or record.target in (next_target, *rollout.barred):
            return
        rollout.barred = [*rollout.barred, record.target][-MAX_BARRED:]

    def withdraw(rollout):
        order = rollout.order
        rollout.order, rollout.missing_until = None, None
        rollout.is_withdrawn = True
        is_complete = COMPLETE in (order.state, rollout.record.state)
        emit(
            events.ROLLOUT_WITHDRAWN,
            pool=order.pool,
            target=order.target_version,
            complete=is_complete,
        )
        state = COMPLETE if is_complete else WITHDRAWN
        if order.target_version == rollout.record.target:
            record = rollout.record._replace(state=state, share=0.0)
            set_record(rollout, record)

    def check_missing():
        for pool, rollout in list(rollout_by_pool.items()):
            if rollout.missing_until is not None and now() > rollout.missing_until:
                withdraw(rollout)
            is_old = now() - rollout.ordered_at > MAX_RECORD_SECONDS
            if rollout.order is None and is_old:
                del rollout_by_pool[pool]

    def merge(record):
        rollout = rollout_by_pool.get(record.pool)
        if rollout is None:
            is_old = record.order_age > MAX_RECORD_SECONDS
            if not is_old and len(rollout_by_pool) < MAX_POOLS:
                start_tracking(record)
                notify()
            return
        known = rollout.record
        if record[:5] == known[:5]:
            rollout.issued_at = max(rollout.issued_at, now() - record.age)
        if not is_newer(record, known):
            return
        if record.generation != known.generation:
            bar(rollout, known, record.target)
            restart_counts(rollout)
        set_record(rollout, record)
        if (record.state, record.stage) != (known.state, known.stage):
            log_stage(record)
            notify()
        elif abs(record.share - known.share) > MIN_NOTIFIED_SHARE:
            notify()

    def set_record(rollout, record):
        rollout.record = record
        rollout.issued_at = now() - record.age
        rollout.stage_at = now() - record.stage_age
        # Ages grow with every host that passes a record on, so that the time of the
        # order is taken from newer records only, never from one that comes back.
        rollout.ordered_at = now() - record.order_age

    def log_stage(record):
        emit(
            events.ROLLOUT_STAGE,
            pool=record.pool,
            target=record.target,
            state=record.state,
            stage=record.stage,
            share=round(record.share, 4),
            canaries=record.canaries,
            term=record.term,
            seconds=round(record.order_age, 3),
        )

    def records():
        aged = []
        for rollout in rollout_by_pool.values():
            aged.append(
                rollout.record._replace(
                    age=now() - rollout.issued_at,
                    stage_age=now() - rollout.stage_at,
                    order_age=now() - rollout.ordered_at,
                )
            )
        return tuple(aged)

    def notify():
        for function in listeners:
            function()

    document_cache.subscribe(ROLLOUTS, update)
    return OrderStates(
        rollout_by_pool.get,
        lambda: tuple(rollout_by_pool.items()),
        merge,
        records,
        check_missing,
        listeners.append,
    )

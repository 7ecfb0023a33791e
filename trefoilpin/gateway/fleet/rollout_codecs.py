"""Conversion of what hosts tell each other of rollouts to and from generated structs.

Everything is checked for range and size, as it decides where requests go.
"""

import math

from trefoilpin.gateway.rollouts.decisions import FULL_STAGE
from trefoilpin.gateway.rollouts.records import (
    STATES,
    CountKey,
    CountRow,
    Counts,
    StageRecord,
)
from trefoilpin.thrift_gen.bulletins.ttypes import (
    RolloutCountStruct,
    RolloutStageStruct,
)

__all__ = ["read_counts", "read_stages", "write_counts", "write_stages"]

MAX_STAGES = 64
MAX_ROWS = 2000
MAX_TEXT = 300
MAX_NUMBER = 1 << 53


def write_stages(records):
    """Return stage records as structs, or None to leave the field out."""
    return [RolloutStageStruct(*record) for record in records] or None


def write_counts(rows):
    """Return count rows as structs, or None to leave the field out."""
    structs = []
    for row in rows[:MAX_ROWS]:
        labels = (row.pool, row.target, row.generation, row.zone)
        structs.append(RolloutCountStruct(*labels, *row.key, *row.counts))
    return structs or None


def read_stages(structs):
    """Return the stage records of structs; None stands for none.

    Raises
    ------
    ValueError, TypeError
        When a field is missing or out of range.
    """
    records = []
    for struct in structs or ():
        record = StageRecord(
            struct.pool,
            struct.target,
            struct.generation,
            struct.term,
            struct.sequence,
            struct.state,
            struct.stage,
            struct.share,
            struct.canaries,
            struct.age,
            struct.stage_age,
            struct.order_age,
        )
        check_texts(record.pool, record.target)
        check_numbers(record.generation, record.term, record.sequence, record.stage)
        check_numbers(record.canaries)
        for seconds in (record.age, record.stage_age, record.order_age):
            if not 0.0 <= seconds < math.inf:
                raise ValueError("an age of a rollout's stage is out of range")
        if record.state not in STATES or not 0.0 <= record.share <= 1.0:
            raise ValueError("the state or share of a rollout is out of range")
        if record.stage > FULL_STAGE:
            raise ValueError("there is no such stage of a rollout")
        records.append(record)
    if len(records) > MAX_STAGES:
        raise ValueError("too many stages of rollouts")
    return tuple(records)


def read_counts(structs):
    """Return the count rows of structs; None stands for none.

    Raises
    ------
    ValueError, TypeError
        When a field is missing or out of range.
    """
    rows = []
    for struct in structs or ():
        check_texts(struct.pool, struct.target, struct.zone)
        check_texts(struct.route, struct.upstream)
        check_numbers(struct.generation, struct.sent, struct.ended, struct.bad)
        key = CountKey(bool(struct.is_target), struct.route, struct.upstream)
        counts = Counts(struct.sent, struct.ended, struct.bad)
        labels = (struct.pool, struct.target, struct.generation, struct.zone)
        rows.append(CountRow(*labels, key, counts))
    if len(rows) > MAX_ROWS:
        raise ValueError("too many counts of rollouts")
    return tuple(rows)


def check_texts(*texts):
    """Raise ``ValueError`` for a text that is missing or too long."""
    for text in texts:
        if text is None or len(text) > MAX_TEXT:
            raise ValueError("a name in a rollout is missing or too long")


def check_numbers(*numbers):
    """Raise ``ValueError`` for a number that is missing or out of range."""
    for number in numbers:
        if number is None or not 0 <= number <= MAX_NUMBER:
            raise ValueError("a number in a rollout is missing or out of range")

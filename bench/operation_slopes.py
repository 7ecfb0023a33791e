"""Memory and processor time of idempotency keys, for the capacity page.

Keys of requests that ran are kept for the lifetime of their issuer, so their memory is
the state that grows. A hand-over is encoded and decoded as between hosts. Processor
time is measured, so that other processes on the machine do not affect the figures.
"""

import time
import tracemalloc

from bench.results import Result, finish
from trefoilpin import key_tables, peer_codecs, table_transfers
from trefoilpin.operation_messages import Claim, Report
from trefoilpin.verdicts import Verdict

KEY_COUNT = 110_000
TRACED_KEY_COUNT = 30_000
KEY_BYTES = 16
MAX_KEYS = 10_000_000
MAX_BYTES_PER_KEY = 250
MAX_HAND_OVER_SECONDS = 5.0
MAX_PART_MILLISECONDS = 5.0


def create_table(count):
    """Return a table of keys whose requests ran."""
    table = key_tables.KeyTable()
    for number in range(count):
        key = number.to_bytes(KEY_BYTES, "big")
        fingerprint = (number + count).to_bytes(KEY_BYTES, "big")
        attempt_id = f"0123456789abcdef/{number:x}"
        claim = Claim("0123456789abcdef", key, fingerprint, attempt_id)
        key_tables.claim(table, claim, MAX_KEYS, lambda incarnation: True)
        report = Report("0123456789abcdef", key, attempt_id, Verdict.RAN.value)
        key_tables.report(table, report, MAX_KEYS)
    return table


def measure_memory():
    """Return the memory of one key, in bytes."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    table = create_table(TRACED_KEY_COUNT)
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    return used_bytes / len(table.fingerprint_by_key)


def measure_transfer(table):
    """Return the seconds to create, encode, decode and add each part of a table."""
    method = peer_codecs.METHODS[table_transfers.PART]
    incoming = table_transfers.IncomingTable()
    part_seconds = []
    started_at = time.process_time()
    for part in table_transfers.split_table("0123456789abcdef", table, ()):
        encoded = peer_codecs.encode(part, method.request_struct)
        decoded = peer_codecs.decode(encoded, method.request, method.request_struct)
        assert table_transfers.add_part(incoming, decoded.unwrap())
        part_seconds.append(time.process_time() - started_at)
        started_at = time.process_time()
    assert incoming.table.fingerprint_by_key == table.fingerprint_by_key
    return part_seconds


def results():
    """Yield the memory of a key, and the times of claims and of a hand-over."""
    yield Result(
        "operation_bytes_per_key", round(measure_memory()), "B", MAX_BYTES_PER_KEY
    )
    started_at = time.process_time()
    table = create_table(KEY_COUNT)
    seconds = (time.process_time() - started_at) / KEY_COUNT
    yield Result("operation_claim_and_report", round(seconds * 1e6, 2), "us")
    part_seconds = measure_transfer(table)
    total_seconds = sum(part_seconds)
    yield Result(
        "operation_hand_over_110000_keys",
        round(total_seconds, 3),
        "s",
        MAX_HAND_OVER_SECONDS,
    )
    p99_milliseconds = sorted(part_seconds)[-len(part_seconds) // 100] * 1000
    yield Result(
        "operation_hand_over_part_p99",
        round(p99_milliseconds, 1),
        "ms",
        MAX_PART_MILLISECONDS,
    )


if __name__ == "__main__":
    finish(list(results()))

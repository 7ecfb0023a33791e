"""Memory and time of idempotency keys, for the capacity page.

Keys that ran are kept as long as their issuer lives, so their memory is the state
that grows. A hand-over goes through the codec, as it does between hosts. Times are
processor time, so that other processes of the machine do not enter.
"""

import time
import tracemalloc

from bench.results import Result, finish
from trefoilpin import key_tables, peer_codecs, table_transfers
from trefoilpin.operation_messages import Claim, Report
from trefoilpin.verdicts import Verdict

KEYS = 110_000
TRACED_KEYS = 30_000
KEY_BYTES = 16
MAX_KEYS = 10_000_000
MAX_BYTES_PER_KEY = 250
MAX_HAND_OVER_SECONDS = 5.0
MAX_PART_MILLISECONDS = 5.0


def fill(count):
    """Return a table of keys that ran."""
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
    """Return the bytes that one key takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = fill(TRACED_KEYS)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / len(table.fingerprint_by_key)


def transfer(table):
    """Return the seconds that each part takes to be made, sent and taken."""
    method = peer_codecs.METHODS[table_transfers.PART]
    incoming = table_transfers.IncomingTable()
    seconds = []
    started = time.process_time()
    for part in table_transfers.split_table("0123456789abcdef", table, ()):
        data = peer_codecs.encode(part, method.request_struct)
        decoded = peer_codecs.decode(data, method.request, method.request_struct)
        assert table_transfers.add_part(incoming, decoded.unwrap())
        seconds.append(time.process_time() - started)
        started = time.process_time()
    assert incoming.table.fingerprint_by_key == table.fingerprint_by_key
    return seconds


def results():
    """Yield the slopes."""
    yield Result(
        "operation_bytes_per_key", round(measure_memory()), "B", MAX_BYTES_PER_KEY
    )
    started = time.process_time()
    table = fill(KEYS)
    seconds = (time.process_time() - started) / KEYS
    yield Result("operation_claim_and_report", round(seconds * 1e6, 2), "us")
    parts = transfer(table)
    total = sum(parts)
    yield Result(
        "operation_hand_over_110000_keys", round(total, 3), "s", MAX_HAND_OVER_SECONDS
    )
    longest = sorted(parts)[-len(parts) // 100] * 1000
    yield Result(
        "operation_hand_over_part_p99",
        round(longest, 1),
        "ms",
        MAX_PART_MILLISECONDS,
    )


if __name__ == "__main__":
    finish(list(results()))

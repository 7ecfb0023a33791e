"""Decisions on one issuer's keys: invariants of random histories, and examples."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpin import key_tables
from trefoilpin.operation_messages import Claim, Decision, Report
from trefoilpin.verdicts import Verdict

KEYS = st.sampled_from((b"k1", b"k2"))
ATTEMPTS = st.sampled_from([f"h{host}/{count}" for host in (1, 2) for count in (1, 2)])
MAX_KEYS = 1000


def claim(
    table,
    key,
    attempt_id,
    max_keys=MAX_KEYS,
    is_running=lambda host: True,
    fingerprint=b"f",
):
    message = Claim("issuer", key, fingerprint, attempt_id)
    return key_tables.claim(table, message, max_keys, is_running)


def report(table, key, attempt_id, verdict, max_keys=MAX_KEYS):
    message = Report("issuer", key, attempt_id, verdict.value)
    return key_tables.report(table, message, max_keys)


class History:
    """A table with its grants and reports, as an observer recorded them."""

    def __init__(self):
        self.table = key_tables.KeyTable()
        self.granted = set()
        self.reported = {}


def step_claim(history, key, attempt, is_gone):
    decision = claim(history.table, key, attempt, is_running=lambda host: not is_gone)
    if decision is not Decision.GRANTED:
        return
    assert (key, attempt) not in history.reported
    for other in {a for k, a in history.granted if k == key} - {attempt}:
        assert history.reported.get((key, other)) is Verdict.NOT_RUN
    history.granted.add((key, attempt))


def step_report(history, key, attempt, verdict):
    if verdict is not Verdict.NOT_RUN and (key, attempt) not in history.granted:
        return
    verdict = history.reported.setdefault((key, attempt), verdict)
    report(history.table, key, attempt, verdict)


def step_transfer(history):
    found = list(key_tables.rows(history.table))
    cancelled = history.table.cancelled_attempts
    history.table = key_tables.KeyTable()
    history.table.cancelled_attempts = set(cancelled)
    for row in found:
        key_tables.add_row(history.table, row)
    assert sorted(key_tables.rows(history.table)) == sorted(found)


STEPS = st.one_of(
    st.tuples(st.just(step_claim), KEYS, ATTEMPTS, st.booleans()),
    st.tuples(st.just(step_report), KEYS, ATTEMPTS, st.sampled_from(Verdict)),
    st.tuples(st.just(step_transfer)),
)


@settings(derandomize=True, max_examples=600, deadline=None)
@given(st.lists(STEPS, min_size=5, max_size=40))
def test_key_is_granted_again_only_after_not_run_was_reported(steps):
    history = History()
    for function, *arguments in steps:
        function(history, *arguments)
    known = history.table.fingerprint_by_key
    assert {key for key, _ in history.granted} <= known.keys()


def test_repeated_claim_of_the_same_attempt_is_granted():
    table = key_tables.KeyTable()
    assert claim(table, b"k", "h1/1") is Decision.GRANTED
    assert claim(table, b"k", "h1/1") is Decision.GRANTED
    assert claim(table, b"k", "h2/1") is Decision.RUNNING
    assert (
        claim(table, b"k", "h2/1", is_running=lambda host: False) is Decision.UNCERTAIN
    )


def test_late_claim_of_a_cancelled_attempt_holds_nothing():
    table = key_tables.KeyTable()
    report(table, b"k", "h1/1", Verdict.NOT_RUN)
    assert claim(table, b"k", "h1/1") is Decision.CANCELLED
    assert claim(table, b"k", "h2/1") is Decision.GRANTED


def test_key_reused_for_another_request_is_refused():
    table = key_tables.KeyTable()
    claim(table, b"k", "h1/1")
    assert claim(table, b"k", "h1/2", fingerprint=b"g") is Decision.REUSED


def test_full_table_refuses_new_keys_and_keeps_known_ones():
    table = key_tables.KeyTable()
    for number in range(5):
        claim(table, b"%d" % number, f"h1/{number}", max_keys=5)
        report(table, b"%d" % number, f"h1/{number}", Verdict.RAN, max_keys=5)
    assert claim(table, b"new", "h1/9", max_keys=5) is Decision.FULL
    assert claim(table, b"0", "h1/10", max_keys=5) is Decision.RAN
    for number in range(100):
        report(table, b"new", f"h2/{number}", Verdict.NOT_RUN, max_keys=5)
    assert not table.cancelled_attempts

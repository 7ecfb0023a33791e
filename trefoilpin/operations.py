"""Runs non-idempotent requests at most once: idempotency keys, permits and reports.

A key of the form ``<incarnation>.<nonce>`` was issued by a host, which decides on it or
has handed it over to a successor. Any other key is opaque, and the store decides on it.
The form alone determines which of the two decides, so that all hosts agree on it
whatever they know of the fleet.
"""

import hashlib
import re

from returns.result import Failure, Success

from trefoilpin import answers
from trefoilpin.messages import OperationKey, Permit
from trefoilpin.operation_messages import DIGEST_BYTES, Decision, Report
from trefoilpin.services import Operations
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["KEY_HEADER", "create", "fingerprint"]

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
ISSUED_KEY = re.compile(r"([0-9a-f]{16,32})\.[!-~]+")
RETRY_AFTER_SECONDS = 1.0
FLUSH_POLL_INTERVAL_SECONDS = 0.1

KEY_REQUIRED = Refusal(
    Reason.OPERATION_KEY_REQUIRED,
    Verdict.NOT_RUN,
    "the route needs an idempotency key",
)
KEY_MALFORMED = Refusal(
    Reason.BAD_REQUEST,
    Verdict.NOT_RUN,
    f"an idempotency key has 1 to {MAX_KEY_LENGTH} printable ASCII characters",
)
REFUSAL_BY_DECISION = {
    Decision.RUNNING: Refusal(
        Reason.OPERATION_RUNNING,
        Verdict.MAY_HAVE_RUN,
        "an earlier send of this key is still running",
        RETRY_AFTER_SECONDS,
    ),
    Decision.RAN: Refusal(
        Reason.OPERATION_ANSWER_GONE,
        Verdict.RAN,
        "the operation ran and its answer is not kept any more",
    ),
    Decision.UNCERTAIN: Refusal(
        Reason.OPERATION_UNCERTAIN,
        Verdict.MAY_HAVE_RUN,
        "the operation may have run at an earlier send and is not run again",
    ),
    Decision.REUSED: Refusal(
        Reason.OPERATION_KEY_REUSED,
        Verdict.NOT_RUN,
        "the key belongs to another request; this one did not run",
    ),
    Decision.FULL: Refusal(
        Reason.OVERLOADED,
        Verdict.NOT_RUN,
        "this issuer takes no more keys; this send did not run, ask for a new issuer",
        RETRY_AFTER_SECONDS,
    ),
    Decision.UNREACHABLE: Refusal(
        Reason.ISSUER_UNREACHABLE,
        Verdict.NOT_RUN,
        "this send did not run; of earlier sends of the key nothing is known now",
        RETRY_AFTER_SECONDS,
    ),
}
STORE_UNREACHABLE = REFUSAL_BY_DECISION[Decision.UNREACHABLE]._replace(
    reason=Reason.STORE_UNAVAILABLE
)


class OperationState:
    """Number of attempt ids that this host has used."""

    def __init__(self):
        self.attempts = 0


def fingerprint(account, request):
    """Return a hexadecimal digest by which repeats of a request are recognized.

    Parameters
    ----------
    account : ClientAccount or None
    request : CallerRequest
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    account_id = account.id if account else ""
    for part in (account_id, request.method, request.path, request.query):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(request.body)
    return digest.hexdigest()


def digest_key(account, key_text):
    """Return the digest that stands for an account's key in tables and messages."""
    account_id = account.id if account else ""
    scoped_key = f"{len(account_id)}:{account_id}{key_text}".encode()
    return hashlib.blake2b(scoped_key, digest_size=DIGEST_BYTES).digest()


def create(kernel, max_answer_bytes, flush_seconds):
    """Create the service ``operations``.

    Parameters
    ----------
    kernel : Kernel
    max_answer_bytes : int
        Maximum size of a saved answer.
    flush_seconds : float
        Time for which a stopping host waits until its reports are delivered.

    Returns
    -------
    Operations
    """
    claims = kernel.find("claims")
    opaque_keys = kernel.find("opaque_keys")
    transfers = kernel.find("table_transfers")
    own = kernel.find("memberships").own().incarnation
    state = OperationState()

    def pending_reports():
        return claims.outbox.size() + opaque_keys.outbox.size()

    def parse(account, request):
        key_text = request.header(KEY_HEADER)
        if key_text is None:
            return Success(None)
        key_text = key_text.strip().strip('"')
        is_printable = key_text.isascii() and key_text.isprintable()
        if not 0 < len(key_text) <= MAX_KEY_LENGTH or not is_printable:
            return Failure(KEY_MALFORMED)
        issued_key = ISSUED_KEY.fullmatch(key_text)
        issuer = issued_key.group(1) if issued_key else ""
        return Success(OperationKey(issuer, key_text, fingerprint(account, request)))

    def begin(key, route, account, deadline):
        if key is None and route.key_required:
            return Failure(KEY_REQUIRED)
        state.attempts += 1
        attempt_id = f"{own}/{state.attempts:x}"
        if key is None:
            return Success(Permit(None, attempt_id, route, account))
        key_digest, fingerprint_bytes = (
            digest_key(account, key.text),
            bytes.fromhex(key.fingerprint),
        )
        if key.issuer:
            reply = claims.claim(
                key.issuer, key_digest, fingerprint_bytes, attempt_id, deadline
            )
        else:
            reply = opaque_keys.claim(
                key_digest, fingerprint_bytes, attempt_id, deadline
            )
        decision = Decision(reply.decision)
        if decision is Decision.GRANTED:
            return Success(Permit(key, attempt_id, route, account))
        if decision is Decision.RAN and reply.answer is not None:
            return Success(answers.restore(reply.answer))
        return Failure(build_refusal(decision, key))

    def build_refusal(decision, key):
        if decision is Decision.UNREACHABLE and not key.issuer:
            return STORE_UNREACHABLE
        unreachable = REFUSAL_BY_DECISION[Decision.UNREACHABLE]
        return REFUSAL_BY_DECISION.get(decision, unreachable)

    def finish(permit, attempt):
        key = permit.key
        if key is None:
            return
        verdict = attempt.verdict if attempt else Verdict.NOT_RUN
        saved_answer = None
        if verdict is Verdict.RAN:
            saved_answer = answers.to_saved(attempt.answer, max_answer_bytes)
        key_digest = digest_key(permit.account, key.text)
        message = Report(
            key.issuer, key_digest, permit.attempt_id, verdict.value, saved_answer
        )
        if key.issuer:
            claims.report(message)
        else:
            opaque_keys.report(message)

    def hand_over(successor):
        give_up_at = kernel.clock.now() + flush_seconds
        while pending_reports() and kernel.clock.now() < give_up_at:
            kernel.clock.sleep(FLUSH_POLL_INTERVAL_SECONDS)
        all_delivered = pending_reports() == 0
        return transfers.hand_over(successor) and all_delivered

    kernel.find("metrics").gauge("operation_reports_waiting", pending_reports)
    service = Operations(parse, begin, finish, hand_over)
    kernel.register("operations", service)
    return service

"""Authentication of callers by key.

A key is ``id.secret``, sent as ``Authorization: Bearer`` or ``X-Api-Key``. The check
is one look-up and one constant-time comparison. It is made for every request, so that a
withdrawn key stops working on open connections too. A host that may lack a recently
accepted ticket refuses every key.
"""

import hashlib
import hmac

from returns.result import Failure, Success

from trefoilpin.services import Keys
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["KEY_HEADERS", "create", "digest_secret"]

KEY_HEADERS = frozenset(("authorization", "x-api-key", "proxy-authorization"))
BEARER_PREFIX = "bearer "
RETRY_AFTER_SECONDS = 1.0

KEY_MISSING = Refusal(Reason.KEY_MISSING, Verdict.NOT_RUN, "the route needs a key")
KEY_UNKNOWN = Refusal(Reason.KEY_UNKNOWN, Verdict.NOT_RUN, "the key is not valid")
NOT_CURRENT = Refusal(
    Reason.NOT_CURRENT,
    Verdict.NOT_RUN,
    "this host can't tell whether the key is still valid",
    RETRY_AFTER_SECONDS,
)
ROUTE_FORBIDDEN = Refusal(
    Reason.ROUTE_FORBIDDEN, Verdict.NOT_RUN, "the account may not use this route"
)


def digest_secret(salt, secret):
    """Return the hexadecimal digest of a key's secret.

    Parameters
    ----------
    salt : str
        Hexadecimal.
    secret : str
    """
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def read_key(request):
    """Return the key in the headers of a request, or None."""
    authorization = request.header("authorization")
    if authorization is not None and authorization.lower().startswith(BEARER_PREFIX):
        return authorization[len(BEARER_PREFIX) :].strip()
    return request.header("x-api-key")


def strip(headers):
    """Return headers without those that carry a key."""
    return tuple(header for header in headers if header[0] not in KEY_HEADERS)


def create(kernel):
    """Create the service ``keys``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Keys
    """
    configurations = kernel.find("configurations")
    memberships = kernel.find("memberships")

    def check(route, request):
        if route.open:
            return Success(None)
        key_text = read_key(request)
        if not key_text:
            return Failure(KEY_MISSING)
        if not memberships.is_current():
            return Failure(NOT_CURRENT)
        key_id, _, secret = key_text.partition(".")
        key = configurations.keys_by_id.get(key_id)
        if key is None:
            return Failure(KEY_UNKNOWN)
        if not hmac.compare_digest(digest_secret(key.salt, secret), key.digest):
            return Failure(KEY_UNKNOWN)
        account = configurations.accounts_by_id.get(key.account)
        if account is None:
            return Failure(KEY_UNKNOWN)
        if route.accounts and account.id not in route.accounts:
            return Failure(ROUTE_FORBIDDEN)
        return Success(account)

    service = Keys(check, strip)
    kernel.register("keys", service)
    return service

"""Conversion of asks for retries and of grants to and from generated structs.

Everything is checked for range and size, as it decides how many retries are sent.
"""

from trefoilpin.gateway.admission.retry_pools import (
    MAX_GIVEN,
    MAX_GIVEN_SECONDS,
    MAX_TOKENS,
    MAX_WANTS,
    GrantedRetries,
    RetryAsk,
    RetryGrant,
    RetryWant,
)
from trefoilpin.gateway.fleet.grant_checks import (
    check_address,
    check_amount,
    check_length,
    check_number,
    check_request_number,
    check_text,
)
from trefoilpin.thrift_gen.bulletins.ttypes import (
    GrantedRetriesStruct,
    RetryAskStruct,
    RetryGrantStruct,
    RetryWantStruct,
)

__all__ = ["read_ask", "read_grant", "write_ask", "write_grant"]

MAX_LEFT = 1e9
MAX_RESERVED = 1000.0


def write_ask(ask):
    """Return an ask as a struct, or None to leave the field out."""
    if ask is None:
        return None
    return RetryAskStruct(ask.number, [RetryWantStruct(*want) for want in ask.wants])


def write_grant(grant):
    """Return a grant as a struct, or None to leave the field out."""
    if grant is None:
        return None
    granted = [GrantedRetriesStruct(*item) for item in grant.granted]
    return RetryGrantStruct(grant.number, grant.is_holder, grant.holder, granted)


def read_ask(struct):
    """Return the ask of a struct; None stands for none.

    Raises
    ------
    ValueError, TypeError
        When a field is missing or out of range.
    """
    if struct is None:
        return None
    check_request_number(struct.number)
    check_length(struct.wants, MAX_WANTS)
    wants = []
    for item in struct.wants:
        check_text(item.pool)
        check_number(item.tokens, MAX_TOKENS)
        check_amount(item.reserved, MAX_RESERVED)
        check_length(item.given, MAX_GIVEN_SECONDS)
        for count in item.given:
            check_number(count, MAX_GIVEN)
        paying = [other.pool for other in wants if other.given]
        if item.given and item.pool in paying:
            raise ValueError("an ask gives requests for a pool twice")
        wants.append(
            RetryWant(item.pool, item.tokens, item.reserved, tuple(item.given))
        )
    return RetryAsk(struct.number, tuple(wants))


def read_grant(struct):
    """Return the grant of a struct; None stands for none.

    Raises
    ------
    ValueError, TypeError
        When a field is missing or out of range.
    """
    if struct is None:
        return None
    check_request_number(struct.number)
    check_address(struct.holder)
    check_length(struct.granted, MAX_WANTS)
    granted = []
    for item in struct.granted:
        check_text(item.pool)
        check_number(item.tokens, MAX_TOKENS)
        check_amount(item.left, MAX_LEFT)
        granted.append(GrantedRetries(item.pool, item.tokens, item.left))
    return RetryGrant(
        struct.number, bool(struct.is_holder), struct.holder, tuple(granted)
    )

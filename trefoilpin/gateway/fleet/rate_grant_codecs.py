"""Conversion of asks for parts of rates and of grants to and from generated structs.

Everything is checked for range and size, as it decides how many requests are admitted.
"""

from trefoilpin.gateway.admission.rate_pools import (
    MAX_AMOUNT,
    MAX_WANTS,
    WHOLE,
    GrantedPart,
    RateAsk,
    RateGrant,
    RateWant,
)
from trefoilpin.gateway.fleet.grant_checks import (
    check_length,
    check_number,
    check_request_number,
    check_text,
)
from trefoilpin.thrift_gen.bulletins.ttypes import (
    GrantedPartStruct,
    RateAskStruct,
    RateGrantStruct,
    RateWantStruct,
)

__all__ = ["read_ask", "read_grant", "write_ask", "write_grant"]


def write_ask(ask):
    """Return an ask as a struct, or None to leave the field out."""
    if ask is None:
        return None
    wants = [RateWantStruct(*want) for want in ask.wants]
    return RateAskStruct(ask.number, ask.incarnation, wants)


def write_grant(grant):
    """Return a grant as a struct, or None to leave the field out."""
    if grant is None:
        return None
    granted = [GrantedPartStruct(*item) for item in grant.granted]
    return RateGrantStruct(grant.number, grant.is_holder, grant.holder, granted)


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
    check_request_number(struct.incarnation)
    check_length(struct.wants, MAX_WANTS)
    wants = []
    for item in struct.wants:
        check_text(item.account)
        check_number(item.held, WHOLE)
        check_number(item.used, MAX_AMOUNT)
        check_number(item.wanted, MAX_AMOUNT)
        wants.append(RateWant(item.account, item.held, item.used, item.wanted))
    return RateAsk(struct.number, struct.incarnation, tuple(wants))


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
    check_text(struct.holder)
    check_length(struct.granted, MAX_WANTS)
    granted = []
    for item in struct.granted:
        check_text(item.account)
        check_number(item.part, WHOLE)
        granted.append(GrantedPart(item.account, item.part, bool(item.is_scarce)))
    return RateGrant(
        struct.number, bool(struct.is_holder), struct.holder, tuple(granted)
    )

"""Conversion of asks for tokens and of grants to and from generated structs.

Everything is checked for range and size, as it decides what cold upstreams get.
"""

from trefoilpin.gateway.balancing.cold_grants import (
    MAX_WANTS,
    ColdAsk,
    ColdGrant,
    GrantedTokens,
    Want,
)
from trefoilpin.gateway.fleet.grant_checks import (
    check_address,
    check_length,
    check_number,
    check_request_number,
    check_text,
)
from trefoilpin.thrift_gen.bulletins.ttypes import (
    ColdAskStruct,
    ColdGrantStruct,
    ColdTokensStruct,
    ColdWantStruct,
)

__all__ = ["read_ask", "read_grant", "write_ask", "write_grant"]

MAX_BORN = 1 << 53
MAX_TOKENS = 1000


def write_ask(ask):
    """Return an ask as a struct, or None to leave the field out."""
    if ask is None:
        return None
    return ColdAskStruct(ask.number, [ColdWantStruct(*want) for want in ask.wants])


def write_grant(grant):
    """Return a grant as a struct, or None to leave the field out."""
    if grant is None:
        return None
    granted = [ColdTokensStruct(*item) for item in grant.granted]
    return ColdGrantStruct(grant.number, grant.is_holder, grant.holder, granted)


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
        check_text(item.upstream)
        check_text(item.pool)
        check_number(item.born, MAX_BORN)
        check_number(item.tokens, MAX_TOKENS)
        wants.append(Want(item.upstream, item.born, item.pool, item.tokens))
    return ColdAsk(struct.number, tuple(wants))


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
        check_text(item.upstream)
        check_number(item.born, MAX_BORN)
        check_number(item.tokens, MAX_TOKENS)
        granted.append(GrantedTokens(item.upstream, item.born, item.tokens))
    return ColdGrant(
        struct.number, bool(struct.is_holder), struct.holder, tuple(granted)
    )

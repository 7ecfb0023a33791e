"""Encoding of the messages between hosts with thrift.

A message is a ``NamedTuple``; the thrift struct of the same name with the suffix
``Struct`` has the same fields. ``METHODS`` lists the message types of each method.
"""

import functools
import types
import typing
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer

from trefoilpin import (
    coordinator_handovers,
    health,
    limit_messages,
    operation_messages,
    reports,
    rosters,
    snapshots,
    tickets,
)
from trefoilpin.thrift_gen.health import ttypes as health_types
from trefoilpin.thrift_gen.limits import ttypes as limit_types
from trefoilpin.thrift_gen.memberships import ttypes as membership_types
from trefoilpin.thrift_gen.operations import ttypes as operation_types
from trefoilpin.thrift_gen.tickets import ttypes as ticket_types

__all__ = ["METHODS", "Method", "decode", "encode"]

MAX_STRING_BYTES = 4_194_304
MAX_ITEMS = 1_000_000


class Method(NamedTuple):
    """Message types of a method.

    Attributes
    ----------
    request, reply : type
        ``NamedTuple`` types.
    request_struct, reply_struct : type
        Generated thrift classes.
    """

    request: type
    reply: type
    request_struct: type
    reply_struct: type


METHODS: dict[str, Method] = {
    # Peers, membership and configuration.
    "memberships.pull": Method(
        rosters.PullRequest,
        rosters.PullReply,
        membership_types.PullRequestStruct,
        membership_types.PullReplyStruct,
    ),
    "memberships.sync": Method(
        rosters.SyncRequest,
        rosters.SyncReply,
        membership_types.SyncRequestStruct,
        membership_types.SyncReplyStruct,
    ),
    "snapshots.part": Method(
        snapshots.PartRequest,
        snapshots.PartReply,
        ticket_types.PartRequestStruct,
        ticket_types.PartReplyStruct,
    ),
    "snapshots.tail": Method(
        snapshots.TailRequest,
        snapshots.TailReply,
        ticket_types.TailRequestStruct,
        ticket_types.TailReplyStruct,
    ),
    "tickets.announce": Method(
        tickets.AnnounceRequest,
        tickets.AnnounceReply,
        ticket_types.AnnounceRequestStruct,
        ticket_types.AnnounceReplyStruct,
    ),
    # Operations.
    "operations.claim": Method(
        operation_messages.Claim,
        operation_messages.ClaimReply,
        operation_types.ClaimStruct,
        operation_types.ClaimReplyStruct,
    ),
    "operations.report": Method(
        operation_messages.Report,
        operation_messages.ReportReply,
        operation_types.ReportStruct,
        operation_types.ReportReplyStruct,
    ),
    "operations.table_part": Method(
        operation_messages.TablePart,
        operation_messages.TableReply,
        operation_types.TablePartStruct,
        operation_types.TableReplyStruct,
    ),
    "operations.table_end": Method(
        operation_messages.TableEnd,
        operation_messages.TableReply,
        operation_types.TableEndStruct,
        operation_types.TableReplyStruct,
    ),
    # Limits.
    "borrow_units": Method(
        limit_messages.LoanRequest,
        limit_messages.LoanReply,
        limit_types.LoanRequestStruct,
        limit_types.LoanReplyStruct,
    ),
    "reserve_tokens": Method(
        limit_messages.ReservationRequest,
        limit_messages.ReservationReply,
        limit_types.ReservationRequestStruct,
        limit_types.ReservationReplyStruct,
    ),
    "offer_units": Method(
        limit_messages.UnitsOffer,
        limit_messages.UnitsOfferReply,
        limit_types.UnitsOfferStruct,
        limit_types.UnitsOfferReplyStruct,
    ),
    "give_units": Method(
        limit_messages.UnitsRequest,
        limit_messages.UnitsReply,
        limit_types.UnitsRequestStruct,
        limit_types.UnitsReplyStruct,
    ),
    # Health and balancing.
    health.METHOD: Method(
        reports.HealthReport,
        reports.HealthReply,
        health_types.HealthReportStruct,
        health_types.HealthReplyStruct,
    ),
    health.EJECTION_METHOD: Method(
        reports.PoolReply,
        reports.Told,
        health_types.PoolReplyStruct,
        health_types.ToldStruct,
    ),
    coordinator_handovers.METHOD: Method(
        reports.TakeOverRequest,
        reports.TakeOverReply,
        health_types.TakeOverRequestStruct,
        health_types.TakeOverReplyStruct,
    ),
}


@functools.cache
def type_hints(message_type):
    """Return name and type hint of each field of a message type."""
    return tuple(typing.get_type_hints(message_type).items())


@functools.cache
def struct_fields(struct_type):
    """Return the type arguments of each field of a generated class, by name."""
    return {spec[2]: spec[3] for spec in struct_type.thrift_spec if spec}


def is_message(hint):
    """Tell whether a type is a ``NamedTuple``."""
    return isinstance(hint, type) and hasattr(hint, "_fields")


def to_struct(value, struct_type):
    """Convert a message to its thrift struct."""
    struct = struct_type()
    arguments_by_name = struct_fields(struct_type)
    for name, item in zip(value._fields, value):
        setattr(struct, name, to_field(item, arguments_by_name[name]))
    return struct


def to_field(item, type_arguments):
    """Convert the value of one message field to its thrift form."""
    if hasattr(item, "_fields"):
        return to_struct(item, type_arguments[0])
    if isinstance(item, tuple):
        return [to_field(part, type_arguments[1]) for part in item]
    return item


def from_struct(struct, message_type):
    """Convert a thrift struct to its message; ``ValueError`` for a missing field."""
    values = []
    for name, hint in type_hints(message_type):
        values.append(from_field(getattr(struct, name), hint, name))
    return message_type(*values)


def from_field(item, hint, name):
    """Convert the value of one struct field to its message form."""
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        if item is None:
            return None
        hint = typing.get_args(hint)[0]
    if item is None:
        raise ValueError(f"field {name!r} is missing")
    if typing.get_origin(hint) is tuple:
        part = typing.get_args(hint)[0]
        return tuple(from_field(value, part, name) for value in item)
    if is_message(hint):
        return from_struct(item, hint)
    return item


def encode(message, struct_type):
    """Encode a message in thrift's binary protocol."""
    transport = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(transport, fallback=False)
    to_struct(message, struct_type).write(protocol)
    return transport.getvalue()


def decode(data, message_type, struct_type) -> Result[Any, str]:
    """Decode a message; the failure is a description of the error."""
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(data),
        fallback=False,
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_ITEMS,
    )
    struct = struct_type()
    try:
        struct.read(protocol)
        return Success(from_struct(struct, message_type))
    except (
        TProtocolException,
        EOFError,
        ValueError,
        TypeError,
        OverflowError,
    ) as error:
        return Failure(f"{type(error).__name__}: {error}")

"""JSON encoding of records, tickets, snapshots and refusals.

Decoding validates every field; errors name the object and the field.
"""

import functools
import hashlib
import json
import types
import typing
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from trefoilpin.records import (
    KINDS,
    AvailabilityZone,
    ChangeTicket,
    ClientAccount,
    Key,
    ObjectChange,
    Pool,
    Route,
)

__all__ = [
    "DecodeError",
    "decode_changes",
    "decode_record",
    "decode_ticket",
    "decode_ticket_text",
    "decode_versions",
    "digest_changes",
    "encode_changes",
    "encode_record",
    "encode_refusal",
    "encode_ticket",
    "encode_ticket_text",
    "encode_versions",
    "has_valid_digest",
]

RECORD_BY_KIND = {
    "account": ClientAccount,
    "key": Key,
    "pool": Pool,
    "route": Route,
    "zone": AvailabilityZone,
}
assert tuple(RECORD_BY_KIND) == KINDS


class DecodeError(NamedTuple):
    """A value that can't be decoded; ``where`` names the object and the field."""

    where: str
    detail: str

    def __str__(self):
        """Return the error message shown to operators."""
        return f"{self.where}: {self.detail}"


def is_record(value):
    """Tell whether a value is a ``NamedTuple``."""
    return isinstance(value, tuple) and hasattr(value, "_fields")


def encode_record(record) -> Any:
    """Return a record as a value that can be written as JSON."""
    if is_record(record):
        return {name: encode_record(item) for name, item in record._asdict().items()}
    if isinstance(record, tuple):
        return [encode_record(item) for item in record]
    return record


@functools.cache
def record_hints(record_type):
    """Return the type hint of each field of a record by name."""
    return typing.get_type_hints(record_type)


def is_unicode(text):
    """Tell whether a text can be encoded as UTF-8; lone surrogates can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def decode_record(record_type, row, where) -> Result[Any, DecodeError]:
    """Decode a record from a parsed JSON value.

    Parameters
    ----------
    record_type : type
        A ``NamedTuple`` type.
    row : object
        Parsed JSON.
    where : str
        Name of the object for error messages.

    Returns
    -------
    Result
        The record or a ``DecodeError``.
    """
    if not isinstance(row, dict):
        return Failure(DecodeError(where, "must be an object"))
    hints = record_hints(record_type)
    for name in row:
        if name not in hints:
            return Failure(DecodeError(f"{where}.{name}", "is not a known field"))
    value_by_name = {}
    for name, hint in hints.items():
        if name not in row:
            if name in record_type._field_defaults:
                continue
            return Failure(DecodeError(f"{where}.{name}", "is missing"))
        decoded = decode_value(hint, row[name], f"{where}.{name}")
        if isinstance(decoded, Failure):
            return decoded
        value_by_name[name] = decoded.unwrap()
    return Success(record_type(**value_by_name))


def decode_value(hint, value, where):
    """Decode a value of the type of one hint."""
    if typing.get_origin(hint) is tuple:
        return decode_list(typing.get_args(hint)[0], value, where)
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        if value is None:
            return Success(None)
        return decode_value(typing.get_args(hint)[0], value, where)
    if hasattr(hint, "_fields"):
        return decode_record(hint, value, where)
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return Success(float(value))
    if type(value) is not hint:
        return Failure(DecodeError(where, f"must be of type {hint.__name__}"))
    if hint is str and not is_unicode(value):
        return Failure(DecodeError(where, "must be valid Unicode"))
    if hint is float and not abs(value) < float("inf"):
        return Failure(DecodeError(where, "must be finite"))
    return Success(value)


def decode_list(hint, value, where):
    """Decode a list to a tuple whose items have the type of one hint."""
    if not isinstance(value, list):
        return Failure(DecodeError(where, "must be a list"))
    items = []
    for position, item in enumerate(value):
        decoded = decode_value(hint, item, f"{where}[{position}]")
        if isinstance(decoded, Failure):
            return decoded
        items.append(decoded.unwrap())
    return Success(tuple(items))


def encode_changes(changes):
    """Return the changes of a ticket as a value that can be written as JSON."""
    rows = []
    for change in changes:
        state = None if change.state is None else encode_record(change.state)
        row = {"kind": change.kind, "id": change.id, "state": state}
        if change.base is not None:
            row["base"] = change.base
        rows.append(row)
    return rows


def decode_changes(rows) -> Result[tuple[ObjectChange, ...], DecodeError]:
    """Decode the changes of a ticket from a parsed JSON value."""
    if not isinstance(rows, list):
        return Failure(DecodeError("changes", "must be a list"))
    changes = []
    for position, row in enumerate(rows):
        decoded = decode_change(row, f"changes[{position}]")
        if isinstance(decoded, Failure):
            return decoded
        changes.append(decoded.unwrap())
    return Success(tuple(changes))


def decode_change(row, where):
    """Decode one ``ObjectChange`` from a parsed JSON value."""
    if not isinstance(row, dict):
        return Failure(DecodeError(where, "must be an object"))
    unknown = set(row) - {"kind", "id", "state", "base"}
    if unknown:
        return Failure(DecodeError(f"{where}.{min(unknown)}", "is not a known field"))
    kind, identifier, base = row.get("kind"), row.get("id"), row.get("base")
    if not isinstance(kind, str) or kind not in RECORD_BY_KIND:
        return Failure(DecodeError(f"{where}.kind", f"must be one of {KINDS}"))
    if not isinstance(identifier, str) or not identifier or not is_unicode(identifier):
        return Failure(DecodeError(f"{where}.id", "must be a non-empty string"))
    if base is not None and (type(base) is not int or base < 0):
        return Failure(DecodeError(f"{where}.base", "must be a ticket number"))
    if "state" not in row:
        return Failure(DecodeError(f"{where}.state", "is missing"))
    if row["state"] is None:
        return Success(ObjectChange(kind, identifier, None, base))
    name = f"{kind} {identifier!r}"
    decoded = decode_record(RECORD_BY_KIND[kind], row["state"], name)
    if isinstance(decoded, Failure):
        return decoded
    record = decoded.unwrap()
    if record.id != identifier:
        return Failure(DecodeError(f"{name}.id", "differs from the id of the change"))
    return Success(ObjectChange(kind, identifier, record, base))


def digest_changes(changes):
    """Return the hexadecimal SHA-256 of a ticket's changes."""
    return digest_rows(encode_changes(changes))


def digest_rows(rows):
    """Return the hexadecimal SHA-256 of a ticket's encoded changes."""
    text = json.dumps(rows, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def encode_ticket(ticket):
    """Return a ticket as a value that can be written as JSON."""
    return {
        "number": ticket.number,
        "digest": ticket.digest,
        "changes": encode_changes(ticket.changes),
    }


def decode_ticket(row) -> Result[ChangeTicket, DecodeError]:
    """Decode a ticket from a parsed JSON value; a missing digest is computed.

    A digest that does not match the changes is an error.
    """
    if not isinstance(row, dict):
        return Failure(DecodeError("ticket", "must be an object"))
    number = row.get("number")
    if type(number) is not int or number < 1:
        return Failure(DecodeError("number", "must be a whole number from 1"))
    unknown = set(row) - {"number", "digest", "changes"}
    if unknown:
        return Failure(DecodeError(min(unknown), "is not a known field"))
    decoded = decode_changes(row.get("changes"))
    if isinstance(decoded, Failure):
        return decoded
    changes = decoded.unwrap()
    digest = digest_changes(changes)
    if row.get("digest", digest) != digest:
        return Failure(DecodeError("digest", "does not fit the changes"))
    return Success(ChangeTicket(number, digest, changes))


def has_valid_digest(row):
    """Tell whether a stored value is a ticket whose digest matches its changes.

    Such a ticket was written by a host, possibly by a later version of the software.
    """
    if not isinstance(row, dict) or not isinstance(row.get("changes"), list):
        return False
    return row.get("digest") == digest_rows(row["changes"])


def encode_ticket_text(ticket):
    """Return a ticket as JSON text."""
    return json.dumps(encode_ticket(ticket), separators=(",", ":"))


def decode_ticket_text(text) -> Result[ChangeTicket, DecodeError]:
    """Decode a ticket from JSON text."""
    try:
        return decode_ticket(json.loads(text))
    except (ValueError, RecursionError) as error:
        return Failure(DecodeError("ticket", f"not JSON: {error}"))


def encode_versions(versions):
    """Return object versions as JSON text and its hexadecimal SHA-256."""
    rows = []
    for version in versions:
        state = None if version.state is None else encode_record(version.state)
        rows.append([version.kind, version.id, version.number, state])
    text = json.dumps(rows, separators=(",", ":"))
    return text, hashlib.sha256(text.encode()).hexdigest()


def decode_versions(text, digest) -> Result[tuple, DecodeError]:
    """Decode rows of kind, id, number and record from JSON text.

    A digest that does not match the text is an error.
    """
    if hashlib.sha256(text.encode()).hexdigest() != digest:
        return Failure(DecodeError("digest", "does not fit the text"))
    try:
        rows = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure(DecodeError("text", f"not JSON: {error}"))
    if not isinstance(rows, list):
        return Failure(DecodeError("text", "must be a list"))
    versions = []
    for position, row in enumerate(rows):
        where = f"[{position}]"
        if not isinstance(row, list) or len(row) != 4:
            return Failure(DecodeError(where, "must be a list of four"))
        kind, identifier, number, state = row
        if type(number) is not int or number < 1:
            return Failure(DecodeError(where, "must have a ticket number"))
        decoded = decode_change({"kind": kind, "id": identifier, "state": state}, where)
        if isinstance(decoded, Failure):
            return decoded
        versions.append((kind, identifier, number, decoded.unwrap().state))
    return Success(tuple(versions))


def encode_refusal(refusal, request_id):
    """Return a refusal as a value that can be written as JSON."""
    row = {
        "request_id": request_id,
        "reason": refusal.reason.value.code,
        "verdict": refusal.verdict.value,
        "detail": refusal.detail,
        "retry": refusal.reason.value.retryable,
    }
    if refusal.retry_after is not None:
        row["retry_after"] = refusal.retry_after
    return row

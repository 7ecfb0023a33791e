"""JSON encoding of the claims in the store."""

import base64

from trefoilpin.opaque_keys import StoredClaim
from trefoilpin.operation_messages import SavedAnswer

__all__ = ["decode", "encode"]


def encode(claim):
    """Return a ``StoredClaim`` as a JSON value."""
    row = claim._asdict()
    if claim.answer is not None:
        row["answer"] = {
            "status": claim.answer.status,
            "headers": [list(header) for header in claim.answer.headers],
            "body": base64.b64encode(claim.answer.body).decode(),
        }
    return row


def decode(row):
    """Return the ``StoredClaim`` of a JSON value.

    Raises
    ------
    KeyError, TypeError, ValueError
        When the row was not written by ``encode``.
    """
    claim = StoredClaim(**row)
    if claim.answer is None:
        return claim
    answer = SavedAnswer(
        claim.answer["status"],
        tuple(tuple(header) for header in claim.answer["headers"]),
        base64.b64decode(claim.answer["body"]),
    )
    return claim._replace(answer=answer)

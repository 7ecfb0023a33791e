"""Interface through which the gateway reads the store and writes to it."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

__all__ = ["Listing", "Store", "StoreFailure", "StoredObject"]


class StoreFailure(NamedTuple):
    """A failed call to the store, with the reason.

    Attributes
    ----------
    detail : str
    is_conflict : bool
        True when the object is no longer the one for which a write was meant.
    """

    detail: str
    is_conflict: bool = False


class Listing(NamedTuple):
    """All objects of a kind at one revision.

    Attributes
    ----------
    content_by_name : dict
    revision : int
    era : int
        Number of times that the store was restored from an older copy. Revisions are
        comparable within an era only; a later era is newer.
    """

    content_by_name: dict[str, Any]
    revision: int
    era: int = 0


class StoredObject(NamedTuple):
    """An object of a kind of this system's own, as the store has it.

    Attributes
    ----------
    spec : Any
        None when there is no such object.
    revision : int
        Of its last change; 0 when there is no such object.
    era : int
        As in ``Listing``.
    """

    spec: Any
    revision: int
    era: int = 0


class Store(NamedTuple):
    """``store``: lists of objects, the status of an object, and objects of our own.

    ``list_all(kind)`` returns a ``Listing`` or a ``StoreFailure`` within its time
    limit. ``write_status(kind, name, content, status)`` writes the status of an object
    if it still has the revision of ``content``; it returns ``Success(None)`` or a
    ``StoreFailure``. ``read_object(kind, name)`` returns a ``StoredObject``, and
    ``write_object(kind, name, spec, revision)`` replaces the object with that revision,
    or creates it for 0, and returns the ``StoredObject`` as written. A failed write may
    have taken effect, or may do so seconds later.
    """

    list_all: Callable[[str], Result]
    write_status: Callable[..., Result] | None = None
    read_object: Callable[[str, str], Result] | None = None
    write_object: Callable[..., Result] | None = None

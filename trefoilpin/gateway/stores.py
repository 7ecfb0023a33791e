"""Interface of the store as the gateway reads it."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

__all__ = ["Listing", "Store", "StoreFailure"]


class StoreFailure(NamedTuple):
    """A call that brought nothing, and why."""

    detail: str


class Listing(NamedTuple):
    """All objects of a kind at one revision."""

    content_by_name: dict[str, Any]
    revision: int


class Store(NamedTuple):
    """``store``: calls that end within their time in a value or a ``StoreFailure``.

    ``list_all(kind)`` gives a ``Listing``.
    """

    list_all: Callable[[str], Result]

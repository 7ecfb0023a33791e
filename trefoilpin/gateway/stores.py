"""Interface of the store as the gateway reads it."""

from typing import Any, Callable, NamedTuple

from returns.result import Result

__all__ = ["Change", "Changes", "Listing", "Store", "StoreFailure"]


class StoreFailure(NamedTuple):
    """A call that brought nothing.

    Attributes
    ----------
    detail : str
    may_have_run : bool
        False when the store says that nothing was done, or was never reached.
    is_compacted : bool
        True when the history that a watch asked for is gone.
    """

    detail: str
    may_have_run: bool = False
    is_compacted: bool = False


class Listing(NamedTuple):
    """All objects of a kind at one revision."""

    content_by_name: dict[str, Any]
    revision: int


class Change(NamedTuple):
    """One object that changed; ``content`` is None when it was removed."""

    name: str
    content: Any


class Changes(NamedTuple):
    """What changed between two revisions, in order."""

    changes: tuple[Change, ...]
    revision: int


class Store(NamedTuple):
    """``store``: calls that end within their time in a value or a ``StoreFailure``.

    ``list_all(kind)`` gives a ``Listing``, ``watch(kind, revision, seconds)`` the
    ``Changes`` since a revision, empty after the given time without any.
    ``create(kind, name, content)`` and ``delete(kind, name)`` change one object.
    """

    list_all: Callable[[str], Result]
    watch: Callable[[str, int, float], Result]
    create: Callable[[str, str, Any], Result]
    delete: Callable[[str, str], Result]

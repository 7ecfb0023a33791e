"""Soft state that every host publishes and gossip carries to all.

Only what a host learned lately and the puller does not name as known goes into a
reply, so the cost is proportional to the changes. A digest of everything known tells
whether something was missed; it is then asked for by identifiers.
"""

import hashlib
from typing import NamedTuple

from trefoilpin.services import Notice, Notices

__all__ = ["ID_BYTES", "NoticeItem", "create"]

ID_BYTES = 8
RECENT_SECONDS = 12.0
FORGET_SECONDS = 60.0
MAX_NOTICES = 20_000
MAX_ITEMS_PER_REPLY = 500


class NoticeItem(NamedTuple):
    """A notice on its way between hosts.

    Attributes
    ----------
    topic, key, value, publisher : str
    sequence : int
        Grows with each notice of the publisher.
    remaining : float
        Seconds of its lifetime that are left; negative once it ended, so that
        an ended notice is forgotten everywhere and doesn't go round for ever.
    """

    topic: str
    key: str
    value: str
    publisher: str
    sequence: int
    remaining: float


class Entry(NamedTuple):
    """A notice as kept."""

    notice: Notice
    sequence: int
    identifier: bytes
    learned_at: float


class NoticeState:
    """Every notice known, by identifier and by what it replaces."""

    def __init__(self):
        self.entry_by_name: dict[tuple[str, str, str], Entry] = {}
        self.entries_by_topic: dict[str, dict] = {}
        self.entry_by_id: dict[bytes, Entry] = {}
        self.digest = 0
        self.sequence = 0
        self.functions_by_topic: dict[str, list] = {}


def identify(topic, key, publisher, sequence):
    """Return the identifier of one version of a notice."""
    text = f"{topic}\0{key}\0{publisher}\0{sequence}".encode()
    return hashlib.blake2b(text, digest_size=ID_BYTES).digest()


def keep(state, name, entry):
    """Put an entry in place of an earlier version."""
    drop(state, name)
    state.entry_by_name[name] = entry
    state.entries_by_topic.setdefault(name[0], {})[name] = entry
    state.entry_by_id[entry.identifier] = entry
    state.digest ^= int.from_bytes(entry.identifier)


def drop(state, name):
    """Forget the entry of a name, when there is one."""
    entry = state.entry_by_name.pop(name, None)
    if entry is None:
        return
    del state.entries_by_topic[name[0]][name]
    del state.entry_by_id[entry.identifier]
    state.digest ^= int.from_bytes(entry.identifier)


def split(identifiers):
    """Return the set of identifiers that stand one after the other."""
    starts = range(0, len(identifiers) - ID_BYTES + 1, ID_BYTES)
    return {identifiers[start : start + ID_BYTES] for start in starts}


def create(kernel, incarnation):
    """Create the service ``notices``.

    Parameters
    ----------
    kernel : Kernel
    incarnation : str

    Returns
    -------
    Notices
    """
    state = NoticeState()
    now = kernel.clock.now

    def publish(topic, key, value, lifetime):
        state.sequence += 1
        item = NoticeItem(topic, key, value, incarnation, state.sequence, lifetime)
        accept(item)

    def accept(item):
        name = (item.topic, item.key, item.publisher)
        known = state.entry_by_name.get(name)
        if known is not None and known.sequence >= item.sequence:
            return
        if item.remaining < -FORGET_SECONDS:
            return
        if known is None and len(state.entry_by_name) >= MAX_NOTICES:
            return
        expires_at = now() + item.remaining
        notice = Notice(item.topic, item.key, item.value, item.publisher, expires_at)
        identifier = identify(*name, item.sequence)
        keep(state, name, Entry(notice, item.sequence, identifier, now()))
        for function in state.functions_by_topic.get(item.topic, ()):
            function(notice)

    def merge_items(items, elapsed):
        for item in items:
            accept(item._replace(remaining=item.remaining - elapsed))

    def read(topic):
        instant = now()
        found = []
        for entry in state.entries_by_topic.get(topic, {}).values():
            if entry.notice.expires_at > instant:
                found.append(entry.notice)
        return tuple(found)

    def subscribe(topic, function):
        state.functions_by_topic.setdefault(topic, []).append(function)

    def expire():
        limit = now() - FORGET_SECONDS
        for name, entry in list(state.entry_by_name.items()):
            if entry.notice.expires_at < limit:
                drop(state, name)

    def recent():
        limit = now() - RECENT_SECONDS
        found = []
        for entry in reversed(state.entry_by_name.values()):
            if entry.learned_at < limit:
                break
            found.append(entry)
        return found

    def recent_ids():
        return b"".join(entry.identifier for entry in recent())

    def to_items(entries):
        instant = now()
        items = []
        for entry in entries:
            remaining = entry.notice.expires_at - instant
            items.append(NoticeItem(*entry.notice[:4], entry.sequence, remaining))
        return tuple(items[:MAX_ITEMS_PER_REPLY])

    def recent_missing(known_ids):
        known = split(known_ids)
        return to_items(entry for entry in recent() if entry.identifier not in known)

    def missing(known_ids):
        known = split(known_ids)
        wanted = state.entry_by_id.keys() - known
        return to_items(state.entry_by_id[identifier] for identifier in sorted(wanted))

    def own_items(topic):
        found = state.entries_by_topic.get(topic, {}).values()
        return to_items(item for item in found if item.notice.publisher == incarnation)

    service = Notices(
        publish,
        read,
        subscribe,
        merge_items,
        recent_ids,
        recent_missing,
        missing,
        own_items,
        all_ids=lambda: b"".join(state.entry_by_id),
        digest=lambda: state.digest.to_bytes(ID_BYTES),
        expire=expire,
    )
    kernel.register("notices", service)
    return service

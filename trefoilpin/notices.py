"""Soft state that every host publishes, replicated to all hosts by gossip.

A reply to a pull holds only notices that were learned recently and that the puller
does not list as known, so its cost is proportional to the changes. Digests of all
known notices show whether one was missed; a sync by identifiers then fetches it.
"""

import hashlib
from typing import NamedTuple

from trefoilpin.services import Notice, Notices

__all__ = ["ID_BYTES", "NoticeItem", "create"]

ID_BYTES = 8
MAX_RECENT_AGE_SECONDS = 12.0
EXPIRED_RETENTION_SECONDS = 60.0
MAX_NOTICES = 20_000
MAX_ITEMS_PER_REPLY = 500


class NoticeItem(NamedTuple):
    """A notice as sent between hosts.

    Attributes
    ----------
    topic, key, value, publisher : str
    sequence : int
        Increases with each notice of the publisher.
    remaining : float
        Remaining lifetime in seconds. Negative after expiry, so that every host can
        tell when to remove an expired notice and hosts don't pass it on forever.
    """

    topic: str
    key: str
    value: str
    publisher: str
    sequence: int
    remaining: float


class StoredNotice(NamedTuple):
    """A known notice with the version that its publisher gave it."""

    notice: Notice
    sequence: int
    identifier: bytes
    learned_at: float


class NoticeState:
    """All known notices.

    Attributes
    ----------
    entry_by_name : dict
        By topic, key and publisher, in the order in which they were learned.
    digest : int
        Exclusive or of all identifiers.
    """

    def __init__(self):
        self.entry_by_name: dict[tuple[str, str, str], StoredNotice] = {}
        self.entry_by_name_by_topic: dict[str, dict] = {}
        self.entry_by_id: dict[bytes, StoredNotice] = {}
        self.digest = 0
        self.sequence = 0
        self.subscribers_by_topic: dict[str, list] = {}


def identify(topic, key, publisher, sequence):
    """Return the identifier of one version of a notice."""
    text = f"{topic}\0{key}\0{publisher}\0{sequence}".encode()
    return hashlib.blake2b(text, digest_size=ID_BYTES).digest()


def replace_entry(state, name, entry):
    """Store an entry in place of an earlier version."""
    remove_entry(state, name)
    state.entry_by_name[name] = entry
    state.entry_by_name_by_topic.setdefault(name[0], {})[name] = entry
    state.entry_by_id[entry.identifier] = entry
    state.digest ^= int.from_bytes(entry.identifier)


def remove_entry(state, name):
    """Remove the entry of a name, if there is one."""
    entry = state.entry_by_name.pop(name, None)
    if entry is None:
        return
    del state.entry_by_name_by_topic[name[0]][name]
    del state.entry_by_id[entry.identifier]
    state.digest ^= int.from_bytes(entry.identifier)


def split_ids(identifiers):
    """Return the set of identifiers in their concatenation."""
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
        merge_item(item)

    def merge_item(item):
        name = (item.topic, item.key, item.publisher)
        known = state.entry_by_name.get(name)
        if known is not None and known.sequence >= item.sequence:
            return
        if item.remaining < -EXPIRED_RETENTION_SECONDS:
            return
        if known is None and len(state.entry_by_name) >= MAX_NOTICES:
            return
        expires_at = now() + item.remaining
        notice = Notice(item.topic, item.key, item.value, item.publisher, expires_at)
        identifier = identify(*name, item.sequence)
        replace_entry(
            state, name, StoredNotice(notice, item.sequence, identifier, now())
        )
        for function in state.subscribers_by_topic.get(item.topic, ()):
            function(notice)

    def merge_items(items, elapsed):
        for item in items:
            merge_item(item._replace(remaining=item.remaining - elapsed))

    def read(topic):
        instant = now()
        live = []
        for entry in state.entry_by_name_by_topic.get(topic, {}).values():
            if entry.notice.expires_at > instant:
                live.append(entry.notice)
        return tuple(live)

    def subscribe(topic, function):
        state.subscribers_by_topic.setdefault(topic, []).append(function)

    def expire():
        earliest = now() - EXPIRED_RETENTION_SECONDS
        for name, entry in list(state.entry_by_name.items()):
            if entry.notice.expires_at < earliest:
                remove_entry(state, name)

    def recent_entries():
        earliest = now() - MAX_RECENT_AGE_SECONDS
        entries = []
        for entry in reversed(state.entry_by_name.values()):
            if entry.learned_at < earliest:
                break
            entries.append(entry)
        return entries

    def recent_ids():
        return b"".join(entry.identifier for entry in recent_entries())

    def to_items(entries):
        instant = now()
        items = []
        for entry in entries:
            remaining = entry.notice.expires_at - instant
            items.append(NoticeItem(*entry.notice[:4], entry.sequence, remaining))
        return tuple(items[:MAX_ITEMS_PER_REPLY])

    def recent_missing(known_ids):
        known = split_ids(known_ids)
        return to_items(
            entry for entry in recent_entries() if entry.identifier not in known
        )

    def missing(known_ids):
        known = split_ids(known_ids)
        wanted = state.entry_by_id.keys() - known
        return to_items(state.entry_by_id[identifier] for identifier in sorted(wanted))

    def own_items(topic):
        entries = state.entry_by_name_by_topic.get(topic, {}).values()
        return to_items(
            entry for entry in entries if entry.notice.publisher == incarnation
        )

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

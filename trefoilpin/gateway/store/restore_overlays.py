"""Rows of one document that a host uses, as they differ from those of the store.

The rules are in ``store_restores``; this module holds the state that they need and
applies their verdicts.
"""

from collections import deque
from typing import Any, Callable, Mapping, NamedTuple

from returns.result import Failure, Result

from trefoilpin.gateway.store.rows import digest
from trefoilpin.gateway.store.store_outages import NO_READS, may_lack_entries
from trefoilpin.gateway.store.store_restores import (
    HEARTBEATS_UNTIL_REMOVED,
    NO_OVERLAY,
    InForce,
    Listed,
    Overlay,
    Reads,
    rows_in_force,
)

__all__ = ["RestoreOverlay", "Rules", "create"]

# Removed rows that are remembered; the oldest are dropped first.
MAX_LEFT_ROWS = 2048
# Digests of overlays that this host had or examined, and need not fetch. Hosts end
# their periods at slightly different times, so others still have earlier own ones.
MAX_KNOWN_DIGESTS = 64


class Rules(NamedTuple):
    """Rules of a kind, as in ``store_restores``.

    Attributes
    ----------
    keep, learn : callable
    periods : tuple of float
        Seconds since the restore after which ``keep`` is applied again.
    remembers_removed : bool
        Whether the rules need the rows that were removed.
    """

    keep: Callable
    learn: Callable
    periods: tuple[float, ...] = ()
    remembers_removed: bool = False


class RestoreOverlay(NamedTuple):
    """Functions for one document; those with a result return one with the value.

    ``take(rows, reads)`` applies the rules to newly listed rows, with ``reads`` from
    ``reads(document, span, is_new_era)``. ``settle(reads)`` applies them again, and
    ``learn(overlay, reads)`` with what another host with the same rows retains and
    withholds; both return None when nothing changes. ``start_with(rows, overlay)``
    takes over the rows and overlay of another host, at a host without a document.

    ``overlay()`` is the current difference, ``shared()`` the one for other hosts and
    ``shared_digest()`` its digest, 0 when there is none. ``is_unknown(digest)`` tells
    whether the overlay with a digest was neither the own one nor learned, and
    ``sleep_until(span)`` is when to apply the rules again, or None.
    """

    take: Callable[..., Result]
    settle: Callable
    learn: Callable
    start_with: Callable[..., Result]
    reads: Callable[..., Reads]
    overlay: Callable[[], Overlay]
    shared: Callable[[], Overlay]
    shared_digest: Callable[[], int]
    is_unknown: Callable[[int], bool]
    sleep_until: Callable


class OverlayState:
    """What is listed and in use, and what was removed."""

    def __init__(self, value):
        self.listed = Listed({}, None)
        self.rows: Mapping[str, str] = {}
        self.value: Any = value
        self.overlay = NO_OVERLAY
        self.left_rows: dict[str, str] = {}
        self.listed_names: frozenset[str] = frozenset()
        self.is_restored = False
        self.digest = 0
        self.known_digests: deque[int] = deque(maxlen=MAX_KNOWN_DIGESTS)


def overlay_digest(overlay):
    """Return the digest of an overlay; 0 when it is empty."""
    marked = {f"+{name}": text for name, text in overlay.retained.items()}
    marked.update((f"-{name}", "") for name in overlay.withheld)
    return digest(marked)


def create(now, rules, decode, initial_value, heartbeat_seconds):
    """Create the functions for one document.

    Parameters
    ----------
    now : callable
        Seconds of the kernel's clock.
    rules : Rules
    decode : callable
        From rows to a ``Result`` with the value.
    initial_value : object
        In use before the first document.
    heartbeat_seconds : float
        Period in which upstreams renew their entries in the store.

    Returns
    -------
    RestoreOverlay
    """
    state = OverlayState(initial_value)
    removal_seconds = HEARTBEATS_UNTIL_REMOVED * heartbeat_seconds

    def reads(document, span, is_new_era=False):
        is_restored = is_new_era or state.is_restored
        known_since = document.known_since
        lacks_entries = known_since is not None and may_lack_entries(
            span, known_since, now()
        )
        if span == NO_READS:
            return Reads(is_new_era, is_restored, False, 0.0, 0.0, removal_seconds)
        return Reads(
            is_new_era,
            is_restored,
            lacks_entries,
            now() - span.started_at,
            span.last_read_at - span.started_at,
            removal_seconds,
        )

    def in_force(needs_left):
        left_value = {}
        if needs_left and state.left_rows:
            left_value = decode(state.left_rows).value_or({})
        return InForce(
            state.rows,
            state.value,
            state.overlay,
            state.left_rows,
            left_value,
            state.listed_names,
        )

    def take(rows, taken_reads):
        if taken_reads.is_new_era:
            state.known_digests.clear()
        decoded = decode(rows)
        listed = Listed(rows, decoded.value_or(None))
        needs_left = taken_reads.is_new_era or bool(state.overlay.withheld)
        overlay = rules.keep(in_force(needs_left), listed, taken_reads)
        if overlay != NO_OVERLAY:
            decoded = decode(rows_in_force(rows, overlay))
        if isinstance(decoded, Failure):
            return decoded
        names = frozenset(rows)
        if not taken_reads.is_new_era:
            names |= state.listed_names
        state.listed_names = names if taken_reads.is_restored else frozenset()
        state.is_restored = taken_reads.is_restored
        commit(listed, overlay, decoded.unwrap())
        return decoded

    def commit(listed, overlay, value):
        rows = rows_in_force(listed.rows, overlay)
        if rules.remembers_removed:
            remember_removed(rows)
        state.listed, state.rows, state.value = listed, rows, value
        state.overlay = overlay
        state.digest = overlay_digest(overlay) if state.is_restored else 0
        if state.digest:
            state.known_digests.append(state.digest)

    def remember_removed(rows):
        for name, text in state.rows.items():
            if name not in rows:
                state.left_rows.pop(name, None)
                state.left_rows[name] = text
        for name in rows:
            state.left_rows.pop(name, None)
        while len(state.left_rows) > MAX_LEFT_ROWS:
            del state.left_rows[next(iter(state.left_rows))]

    def settle(settled_reads):
        if state.overlay == NO_OVERLAY or not rules.periods:
            return None
        needs_left = bool(state.overlay.withheld)
        return change(in_force(needs_left), settled_reads)

    def change(before, changed_reads):
        """Apply the rules to the listed rows; return None when nothing changes."""
        overlay = rules.keep(before, state.listed, changed_reads)
        if overlay == state.overlay:
            return None
        decoded = decode(rows_in_force(state.listed.rows, overlay))
        if not isinstance(decoded, Failure):
            commit(state.listed, overlay, decoded.unwrap())
        return decoded

    def learn(overlay, learned_reads):
        state.known_digests.append(overlay_digest(overlay))
        if overlay == state.overlay:
            return None
        rows = rows_in_force(state.listed.rows, overlay)
        remote_value = decode(rows).value_or(None)
        remote = in_force(False)._replace(
            rows=rows, value=remote_value, overlay=overlay
        )
        before = rules.learn(in_force(True), state.listed, remote)
        state.is_restored = True
        state.left_rows = dict(before.left_rows)
        return change(before, learned_reads._replace(is_restored=True))

    def start_with(rows, overlay):
        decoded = decode(rows_in_force(rows, overlay))
        if isinstance(decoded, Failure):
            return decoded
        state.is_restored = True
        state.listed_names = frozenset(rows)
        listed = Listed(rows, decode(rows).value_or(None))
        commit(listed, overlay, decoded.unwrap())
        if rules.remembers_removed:
            withheld = {name: rows[name] for name in overlay.withheld if name in rows}
            state.left_rows.update(withheld)
        return decoded

    def sleep_until(span):
        if state.overlay == NO_OVERLAY or span == NO_READS:
            return None
        ends = (span.started_at + seconds for seconds in rules.periods)
        return min((end for end in ends if end > now()), default=None)

    def is_unknown(remote_digest):
        return remote_digest != 0 and remote_digest not in state.known_digests

    return RestoreOverlay(
        take,
        settle,
        learn,
        start_with,
        reads,
        lambda: state.overlay,
        lambda: state.overlay if state.is_restored else NO_OVERLAY,
        lambda: state.digest,
        is_unknown,
        sleep_until,
    )

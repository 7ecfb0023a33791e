"""Which share of every rate a host may use, by what it knows of the other hosts.

A host may use a whole rate only while it knows what all others admit: each serving
host reported to it a moment ago, had reported all that it admitted in the last window,
and says that it hears this host as well. Otherwise the rate is divided. Each zone has
an equal part, which its serving hosts divide among them, also those that are silent:
whether a silent host has died or goes on beyond a cut can't be told from here.

Hosts in touch use their parts together, but for those that go on hearing a host that
this one lacks: it may use their parts as well. So the parts in use add up to one on all
sides of a partition whose hosts agree on who serves. The division by zone needs no such
agreement, as the zones are settings: it holds for hosts that started within a cut and
for cuts that last longer than hosts are remembered.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.admission.rate_reports import RateReport, ServingHost

__all__ = ["RateShares", "Share", "create"]

# Serving hosts report in periods of 0.1 s within a zone and of 0.4 s between zones. A
# host that is silent for longer is taken for cut off.
MAX_REPORT_AGE_SECONDS = 1.0
# A silent host keeps its part for this time. It outlives the cut of a part of a zone;
# a zone that is cut off as a whole keeps its part for as long as that lasts.
MAX_SILENCE_SECONDS = 60.0
# A host that begins to serve is in touch with all others within this time.
MAX_JOINING_SECONDS = 1.5
# Ages of hosts of other zones, which pass through relays.
MAX_RELAYED_AGE_SECONDS = 3.5
MAX_CACHE_AGE_SECONDS = 0.1
# Of a host that is known only from another one's report.
UNKNOWN_INCARNATION = 0
# After a start, the serving hosts discover each other and exchange counts. Until no
# further host has been discovered for DISCOVERY_QUIET_SECONDS, each host uses an equal
# part of every rate. As callers may have been sent to further hosts, the rate is
# divided among at least SETTLING_HOSTS_FACTOR times the planned hosts.
MIN_SETTLING_SECONDS = 0.5
DISCOVERY_QUIET_SECONDS = 0.4
MAX_SETTLING_SECONDS = 1.5
SETTLING_HOSTS_FACTOR = 2


class Share(NamedTuple):
    """The share of every rate that this host may use.

    Attributes
    ----------
    value : float
    group : frozenset of str or None
        Addresses of the other hosts whose requests count against the share; None when
        it is the whole rate, against which all requests count.
    part : float
        This host's own part of the value.
    silence : float
        Age in seconds of the oldest of the last reports of these hosts.
    """

    value: float
    group: frozenset[str] | None
    part: float
    silence: float = 0.0


class RateShares(NamedTuple):
    """Functions that keep track of the reports of other hosts.

    ``share()`` returns the current ``Share``. ``receive(host, incarnation, report,
    age)`` takes a report that is ``age`` seconds old, and returns False when it is of
    an earlier start. ``is_complete(host, incarnation)`` tells whether all that the host
    admitted in the window before its last report is known, and ``report_for(host,
    has_all)`` returns a ``RateReport`` for a host, without counts. ``is_settling()``
    tells whether the hosts still discover each other after the start, ``ages()``
    returns the ages of the last reports, and ``host_count()`` the number of serving
    hosts, this one included.
    """

    share: Callable[[], Share]
    receive: Callable[[str, int, RateReport, float], bool]
    is_complete: Callable[[str, int], bool]
    report_for: Callable[[str, bool], RateReport]
    is_settling: Callable[[], bool]
    ages: Callable[[], list[float]]
    host_count: Callable[[], int]


class Reporter:
    """A host that reports to this one, since its start.

    Attributes
    ----------
    reported_at : float
        When it sent its last report, on this host's clock.
    is_complete : bool
        True when no request that it admitted in the last window is missing.
    hears_this : bool
    missing : frozenset of str
        As in ``RateReport``.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.reported_at = float("-inf")
        self.is_complete = False
        self.hears_this = False
        self.missing: frozenset[str] = frozenset()


class RateShareState:
    """Reporters and serving hosts by address, and the share as last computed.

    Attributes
    ----------
    idle : frozenset of str
        Addresses of the other hosts at the last view.
    joining_until_by_address : dict
        Until when a host that began to serve counts like the others.
    missing_since : dict
        When this host lost touch with a serving host, by address.
    """

    def __init__(self, now):
        self.started_at = now
        self.reporter_by_address: dict[str, Reporter] = {}
        self.serving_by_address: dict[str, ServingHost] = {}
        self.changed_at = now
        self.computed_at = float("-inf")
        self.share = Share(0.0, frozenset(), 0.0)
        self.idle: frozenset[str] = frozenset()
        self.joining_until_by_address: dict[str, float] = {}
        self.missing_since: dict[str, float] = {}


def parts_by_address(zone_by_address, zones):
    """Return each host's part: an equal one of its zone's, which is an equal one.

    Parameters
    ----------
    zone_by_address : dict
        Zones of the hosts that serve, silent ones included.
    zones : frozenset of str
    """
    counts: dict[str, int] = {}
    for zone in zone_by_address.values():
        counts[zone] = counts.get(zone, 0) + 1
    all_zones = len(zones | set(counts))
    return {
        address: 1.0 / (all_zones * counts[zone])
        for address, zone in zone_by_address.items()
    }


def create(kernel, settings, sender_view):
    """Create the functions for one host.

    Parameters
    ----------
    kernel : Kernel
    settings : RateLimitSettings
    sender_view : callable
        Returns the current ``SenderView``.

    Returns
    -------
    RateShares
    """
    now = kernel.clock.now
    emit = kernel.find("events").emit
    own = settings.address
    zones = frozenset((*settings.zones, settings.zone))
    state = RateShareState(now())

    def share():
        if now() - state.computed_at >= MAX_CACHE_AGE_SECONDS:
            view = sender_view()
            update_serving(view)
            state.computed_at = now()
            before, state.share = state.share, compute_share(view.live_zones)
            if state.share.value != before.value:
                log_change(before)
        return state.share

    def log_change(before):
        group = state.share.group
        silent = [host for host in state.serving_by_address if not is_in_touch(host)]
        emit(
            events.RATE_SHARE_CHANGED,
            share=round(state.share.value, 3),
            before=round(before.value, 3),
            hosts=len(state.serving_by_address) + 1,
            group=None if group is None else len(group),
            silent=",".join(sorted(silent)),
        )

    def update_serving(view):
        """Follow the membership, and keep those that it has forgotten for a while."""
        serving = state.serving_by_address
        before = set(serving)
        serving.update(view.serving_by_address)
        for address, host in list(serving.items()):
            is_forgotten = now() - host.alive_at > MAX_SILENCE_SECONDS
            idle_at = view.idle_at_by_address.get(address, float("-inf"))
            if is_forgotten or idle_at > host.alive_at:
                del serving[address]
        if now() - state.computed_at <= MAX_REPORT_AGE_SECONDS:
            note_joining(state.idle.intersection(serving))
        state.idle = frozenset(view.idle_at_by_address)
        if set(serving) != before:
            state.changed_at = now()

    def note_joining(addresses):
        """Like any idle host, one that was live till now uses just its own part."""
        for address in addresses:
            if (
                now() - state.serving_by_address[address].alive_at
                <= MAX_RELAYED_AGE_SECONDS
            ):
                state.joining_until_by_address[address] = now() + MAX_JOINING_SECONDS

    def is_settling():
        uptime = now() - state.started_at
        if settings.starts_full or uptime >= MAX_SETTLING_SECONDS:
            return False
        is_quiet = now() - state.changed_at >= DISCOVERY_QUIET_SECONDS
        return uptime < MIN_SETTLING_SECONDS or not is_quiet

    def update_missing():
        """Follow the touch with the serving hosts, and return those in touch."""
        touched = set()
        for address in state.serving_by_address:
            if is_in_touch(address):
                touched.add(address)
                continue
            if now() >= state.joining_until_by_address.get(address, now()):
                state.missing_since.setdefault(address, now())
        for address in list(state.missing_since):
            if address in touched or address not in state.serving_by_address:
                del state.missing_since[address]
        for address, until in list(state.joining_until_by_address.items()):
            if now() >= until:
                del state.joining_until_by_address[address]
        return touched

    def compute_share(live_zones):
        serving = state.serving_by_address
        touched = update_missing()
        planned = settings.planned_hosts
        if is_settling():
            hosts = max(len(serving) + 1, planned * SETTLING_HOSTS_FACTOR)
            return Share(1.0 / hosts, frozenset(), 1.0 / hosts)
        zone_by_address = {
            address: serving[address].zone
            for address in (*touched, *state.missing_since)
        }
        parts = parts_by_address(zone_by_address | {own: settings.zone}, zones)
        if not state.missing_since and zones <= live_zones:
            if serving or settings.starts_full:
                # Zones in which no host serves leave their parts to the others.
                part = parts[own] / sum(parts.values())
                return Share(1.0, None, part, oldest_age(touched))
            return Share(1.0 / planned, frozenset(), 1.0 / planned)
        group = find_group(touched)
        value = parts[own] + sum(parts[address] for address in group)
        return Share(value, group, parts[own], oldest_age(group))

    def find_group(touched):
        """Return the hosts in touch that lack the same hosts, or more."""
        lacking = set()
        for address, since in state.missing_since.items():
            if now() - since >= MAX_JOINING_SECONDS:
                lacking.add(address)
        return frozenset(
            address
            for address in touched
            if lacking <= state.reporter_by_address[address].missing
        )

    def is_in_touch(address):
        reporter = state.reporter_by_address.get(address)
        if reporter is None or not (reporter.is_complete and reporter.hears_this):
            return False
        host = state.serving_by_address[address]
        is_same_start = reporter.incarnation >= host.incarnation
        return is_same_start and age(reporter) <= MAX_REPORT_AGE_SECONDS

    def age(reporter):
        return now() - reporter.reported_at

    def oldest_age(addresses):
        return max(
            (age(state.reporter_by_address[address]) for address in addresses),
            default=0.0,
        )

    def receive(address, incarnation, report, report_age):
        reporter = state.reporter_by_address.get(address)
        if reporter is not None and incarnation < reporter.incarnation:
            return False
        if reporter is None or incarnation > reporter.incarnation:
            reporter = Reporter(incarnation)
            state.reporter_by_address[address] = reporter
        if age(reporter) - report_age > MAX_REPORT_AGE_SECONDS:
            reporter.is_complete = False
        if report.has_all or report.in_window is None:
            reporter.is_complete = True
        reporter.hears_this = report.hears_receiver or report.in_window is None
        reporter.missing = report.missing
        reporter.reported_at = max(reporter.reported_at, now() - report_age)
        learn_serving(report.zone_by_serving, now() - report_age)
        return True

    def learn_serving(zone_by_serving, alive_at):
        """Add hosts that another one knows, which the membership may hear of later."""
        for address, zone in zone_by_serving.items():
            if address != own and address not in state.serving_by_address:
                host = ServingHost(zone, UNKNOWN_INCARNATION, alive_at)
                state.serving_by_address[address] = host

    def is_complete(address, incarnation):
        reporter = state.reporter_by_address.get(address)
        if reporter is None or reporter.incarnation != incarnation:
            return False
        return reporter.is_complete and age(reporter) <= MAX_REPORT_AGE_SECONDS

    def report_for(address, has_all):
        reporter = state.reporter_by_address.get(address)
        is_heard = reporter is not None and is_complete(address, reporter.incarnation)
        return RateReport(
            {},
            wants_all=not is_heard,
            hears_receiver=is_heard,
            has_all=has_all,
            missing=frozenset(state.missing_since),
            zone_by_serving=serving_zones() if has_all else {},
        )

    def serving_zones():
        return {
            address: host.zone for address, host in state.serving_by_address.items()
        }

    def ages():
        found = []
        for reporter in state.reporter_by_address.values():
            if age(reporter) <= MAX_REPORT_AGE_SECONDS:
                found.append(age(reporter))
        return found

    return RateShares(
        share,
        receive,
        is_complete,
        report_for,
        is_settling,
        ages,
        lambda: len(state.serving_by_address) + 1,
    )

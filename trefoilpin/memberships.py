"""Membership and failure detection by pull gossip with ages.

The age of a host is an upper bound on the seconds since any host had direct evidence
that it is alive. A reply is such evidence and is at most as old as the whole round
trip; the puller adds the round trip to every age it receives and keeps the smallest.
Ages grow by the local clock, so clocks need not be synchronized, however late a
message arrives.

A host is current when every ticket accepted more than ``MAX_FRESH_AGE_SECONDS`` ago is
certain to be in force here: either its ``store_age`` is at most that, or it has fresh
ages of a majority and every ticket that any of them knew of. The latter is enough
because a ticket is accepted only once a majority of the hosts knows its number.
"""

from returns.result import Failure, Success

from trefoilpin import events, hashes
from trefoilpin.rosters import (
    NEVER,
    MembershipState,
    PullReply,
    PullRequest,
    SyncReply,
    SyncRequest,
    apply_reached_heads,
    decode_host,
    encode_ages,
    encode_host,
    merge_ages,
    record_store_head,
    update_order,
)
from trefoilpin.services import Memberships

__all__ = ["MAX_FRESH_AGE_SECONDS", "create"]

MAX_FRESH_AGE_SECONDS = 4.0
MAX_LIVE_AGE_SECONDS = 8.0
MIN_REMOVAL_AGE_SECONDS = 900.0
RECORD_LIFETIME_SECONDS = 1800.0
DEPARTED_LIFETIME_SECONDS = 21600.0
PULL_INTERVAL_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 0.3
FAILED_PULL_RETRY_SECONDS = 0.05
BEHIND_PULL_INTERVAL_SECONDS = 0.15
SYNC_TIMEOUT_SECONDS = 2.0
SYNC_INTERVAL_SECONDS = 5.0
ENROLL_INTERVAL_SECONDS = 10.0
SWEEP_INTERVAL_SECONDS = 10.0
MAX_PARTNERS = 24
PULLS_PER_PARTNER_CHANGE = 20
WATCHERS_PER_ZONE = 2
MAX_RANKED_NAMES = 512
MEMBER_TOPIC = "members"
DEPARTED_TOPIC = "departed"
ROSTER_PREFIX = "roster/"


def create(kernel, own, seeds=()):
    """Create the service ``memberships``.

    Parameters
    ----------
    kernel : Kernel
    own : Host
    seeds : sequence of str
        Peer addresses to contact while no other host is known.

    Returns
    -------
    Memberships
    """
    state = MembershipState(own)
    now, rng = kernel.clock.now, kernel.rng
    emit = kernel.find("events").emit
    peers = kernel.find("peers")
    store = kernel.find("store")
    notices = kernel.find("notices")
    configurations = kernel.find("configurations")

    def add_host(host):
        known = state.host_by_incarnation
        if host.incarnation in known or host.incarnation in state.successor_by_departed:
            return
        known[host.incarnation] = host
        state.expires_at.setdefault(host.incarnation, now() + RECORD_LIFETIME_SECONDS)
        state.order_is_stale = True
        emit(
            events.HOST_JOINED,
            host=host.name,
            incarnation=host.incarnation,
            zone=host.zone,
            address=host.peer_address,
        )

    def remove_host(incarnation, successor):
        if incarnation == own.incarnation:
            return
        state.last_alive_at.pop(incarnation, None)
        state.expires_at.pop(incarnation, None)
        if state.host_by_incarnation.pop(incarnation, None) is None:
            return
        state.order_is_stale = True
        state.removed.add(incarnation)
        update_live()
        emit(events.HOST_LEFT, incarnation=incarnation, successor=successor or None)

    def on_member_notice(notice):
        host = decode_host(notice.value)
        if host is not None and host.incarnation == notice.key:
            state.expires_at[host.incarnation] = notice.expires_at
            add_host(host)

    def on_departed_notice(notice):
        if notice.key == own.incarnation and not state.leaving:
            return
        if notice.value or notice.key not in state.successor_by_departed:
            state.successor_by_departed[notice.key] = notice.value
        remove_host(notice.key, notice.value)

    def join(hosts):
        state.joined = True
        for host in hosts:
            add_host(host)

    def age(incarnation):
        if incarnation == own.incarnation:
            return 0.0
        return now() - state.last_alive_at.get(incarnation, NEVER)

    def update_live():
        update_order(state)
        earliest, live_hosts = now() - MAX_LIVE_AGE_SECONDS, []
        for incarnation in state.order:
            if state.last_alive_at.get(incarnation, NEVER) >= earliest:
                live_hosts.append(state.host_by_incarnation[incarnation])
            elif incarnation == own.incarnation:
                live_hosts.append(own)
        if tuple(live_hosts) == state.live:
            return
        state.live = tuple(live_hosts)
        state.ranked_by_name.clear()
        for function in state.subscribers:
            function()

    def ranked(name):
        hosts = state.ranked_by_name.get(name)
        if hosts is not None:
            return hosts
        ordered = hashes.rank(name, [host.incarnation for host in state.live])
        hosts = tuple(state.host_by_incarnation[item] for item in ordered)
        if len(state.ranked_by_name) >= MAX_RANKED_NAMES:
            state.ranked_by_name.clear()
        state.ranked_by_name[name] = hosts
        return hosts

    def successor(incarnation):
        last_successor = None
        for _ in range(len(state.successor_by_departed)):
            next_successor = state.successor_by_departed.get(
                last_successor or incarnation
            )
            if not next_successor:
                break
            last_successor = next_successor
        return last_successor

    def has_majority():
        if not state.joined:
            return False
        earliest = now() - MAX_FRESH_AGE_SECONDS
        fresh = sum(1 for at in state.last_alive_at.values() if at >= earliest)
        return 2 * (fresh + state.caught_up) > len(state.host_by_incarnation)

    def store_age():
        apply_reached_heads(state, configurations.head())
        return now() - state.store_read_at

    def is_current():
        if store_age() <= MAX_FRESH_AGE_SECONDS:
            return True
        return configurations.head() >= state.known_number and has_majority()

    def update_caught_up():
        """Count this host towards majorities once it was current for the first time."""
        state.caught_up = state.caught_up or is_current()

    def report_head(head, began_at):
        record_store_head(state, head, began_at)
        update_caught_up()

    def report_number(number):
        state.known_number = max(state.known_number, number)

    def pull(sender, request):
        update_order(state)
        apply_reached_heads(state, configurations.head())
        return PullReply(
            state.digest,
            encode_ages(state, now()),
            state.order if request.explain else (),
            configurations.head(),
            state.known_number,
            state.store_head,
            store_age() if state.store_read_at > NEVER else -1.0,
            notices.digest(),
            notices.recent_missing(request.recent_notices),
            state.joined,
            sender in state.host_by_incarnation,
        )

    def sync(sender, request):
        notices.merge_items(request.notices, 0.0)
        return SyncReply(notices.missing(request.notice_ids))

    def choose_partner():
        known = state.host_by_incarnation
        state.partners = [item for item in state.partners if item in known]
        if state.pulls % PULLS_PER_PARTNER_CHANGE == 0 and state.partners:
            state.partners.pop(rng.randrange(len(state.partners)))
        wanted = min(MAX_PARTNERS, len(state.order) - 1) - len(state.partners)
        if wanted > 0:
            excluded = {own.incarnation, *state.partners}
            candidates = [item for item in state.order if item not in excluded]
            state.partners += rng.sample(candidates, wanted)
        hosts = [state.host_by_incarnation[item] for item in state.partners]
        other_zones = [host for host in hosts if host.zone != own.zone]
        return rng.choice(other_zones if other_zones and state.pulls % 2 else hosts)

    def choose_target():
        if len(state.order) > 1:
            host = choose_partner()
            return host, host.peer_address
        others = [seed for seed in seeds if seed != own.peer_address]
        return None, rng.choice(others) if others else None

    def pull_once():
        update_order(state)
        state.pulls += 1
        host, address = choose_target()
        succeeded = address is None or pull_from(host, address)
        update_live()
        pause = PULL_INTERVAL_SECONDS if succeeded else FAILED_PULL_RETRY_SECONDS
        is_behind = state.known_number > configurations.head()
        if address is not None and (is_behind or not has_majority()):
            pause = min(pause, BEHIND_PULL_INTERVAL_SECONDS)
        return pause * (0.5 + rng.random())

    def pull_from(host, address):
        request = PullRequest(
            state.digest, state.explain, notices.digest(), notices.recent_ids()
        )
        began_at = now()
        result = peers.call(address, "memberships.pull", request, PULL_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return False
        merge_reply(address, result.unwrap(), began_at)
        if host is not None and result.unwrap().head > configurations.head():
            for function in state.newer_ticket_listeners:
                function(host)
        return True

    def merge_reply(address, reply, began_at):
        state.known_number = max(state.known_number, reply.known_number, reply.head)
        if reply.store_age >= 0:
            record_store_head(state, reply.store_head, began_at - reply.store_age)
        notices.merge_items(reply.notices, now() - began_at)
        order = reply.incarnations or state.rosters_by_digest.get(reply.roster_digest)
        state.explain = order is None
        if order is not None:
            merge_ages(state, order, reply.ages, began_at)
        sync_due = now() - state.last_sync_at >= SYNC_INTERVAL_SECONDS
        lacks_notices = sync_due and reply.notice_digest != notices.digest()
        if lacks_notices or not (reply.knows_sender or state.leaving):
            sync_with(address)
        if (
            not state.joined
            and reply.joined
            and order
            and set(order) <= state.host_by_incarnation.keys()
        ):
            state.joined = True
        update_caught_up()

    def sync_with(address):
        state.last_sync_at = began_at = now()
        request = SyncRequest(notices.all_ids(), notices.own_items(MEMBER_TOPIC))
        result = peers.call(address, "memberships.sync", request, SYNC_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return
        notices.merge_items(result.unwrap().notices, now() - began_at)

    def renew_once():
        if now() - state.last_sweep_at > SWEEP_INTERVAL_SECONDS:
            notices.expire()
        enroll_due = now() - state.last_enroll_at > ENROLL_INTERVAL_SECONDS
        if not state.enrolled and not state.leaving and enroll_due:
            enroll_once()
        if (
            not state.leaving
            and now() - state.last_renewal_at > RECORD_LIFETIME_SECONDS / 2
        ):
            state.last_renewal_at = now()
            text = encode_host(own)
            notices.publish(
                MEMBER_TOPIC, own.incarnation, text, RECORD_LIFETIME_SECONDS
            )
        if now() - state.last_sweep_at < SWEEP_INTERVAL_SECONDS or not has_majority():
            return
        state.last_sweep_at = now()
        for incarnation in list(state.host_by_incarnation):
            expired = now() > state.expires_at.get(incarnation, float("inf"))
            if expired and age(incarnation) > MIN_REMOVAL_AGE_SECONDS:
                remove_host(incarnation, None)
        delete_records()

    def delete_records():
        """Delete removed hosts' records from the store.

        Only the first host in rendezvous order does so.
        """
        removed, state.removed = state.removed, set()
        if ranked("roster")[0] != own:
            return
        for incarnation in sorted(removed):
            read = store.get(ROSTER_PREFIX + incarnation)
            if isinstance(read, Success):
                store.delete(read.unwrap().path, read.unwrap().version)

    def enroll_once():
        """Read the roster from the store and add this host to it.

        Records of earlier starts of this host are deleted.
        """
        state.last_enroll_at = now()
        listed = store.list(ROSTER_PREFIX)
        if isinstance(listed, Failure):
            return False
        hosts = [decode_host(str(stored.value)) for stored in listed.unwrap()]
        join([host for host in hosts if host is not None])
        for stored, host in zip(listed.unwrap(), hosts):
            replaced = host is not None and host.name == own.name
            if replaced and host.incarnation != own.incarnation:
                notices.publish(
                    DEPARTED_TOPIC, host.incarnation, "", DEPARTED_LIFETIME_SECONDS
                )
                store.delete(stored.path, stored.version)
        created = store.create(ROSTER_PREFIX + own.incarnation, encode_host(own))
        state.enrolled = isinstance(created, Success) or created.failure().conflict
        return state.enrolled

    def leave(incarnation):
        state.leaving = True
        text = incarnation or ""
        notices.publish(
            DEPARTED_TOPIC, own.incarnation, text, DEPARTED_LIFETIME_SECONDS
        )

    def is_store_watcher():
        zone = [host.incarnation for host in state.live if host.zone == own.zone]
        watchers = hashes.rank("watchers", zone)[:WATCHERS_PER_ZONE]
        return own.incarnation in watchers

    def log_current_change():
        current = is_current()
        if current == state.last_reported_current or not state.caught_up:
            return
        state.last_reported_current = current
        emit(
            events.CURRENT_CHANGED,
            current=current,
            store_age=round(store_age(), 1),
            majority=has_majority(),
            ticket=configurations.head(),
        )

    def start():
        enroll_once()
        kernel.spawn(pull_forever)

    def pull_forever():
        while True:
            renew_once()
            pause = pull_once()
            log_current_change()
            kernel.clock.sleep(pause)

    update_order(state)
    notices.subscribe(MEMBER_TOPIC, on_member_notice)
    notices.subscribe(DEPARTED_TOPIC, on_departed_notice)
    peers.serve("memberships.pull", pull)
    peers.serve("memberships.sync", sync)
    service = Memberships(
        own=lambda: own,
        live=lambda: state.live,
        find=state.host_by_incarnation.get,
        age=age,
        is_current=is_current,
        has_majority=has_majority,
        first=lambda name: ranked(name)[0],
        ranked=ranked,
        successor=successor,
        subscribe=state.subscribers.append,
        roster=lambda: tuple(state.host_by_incarnation.values()),
        leave=leave,
        pull_once=pull_once,
        renew_once=renew_once,
        report_head=report_head,
        report_number=report_number,
        known_number=lambda: state.known_number,
        store_age=store_age,
        is_store_watcher=is_store_watcher,
        on_newer_tickets=state.newer_ticket_listeners.append,
        join=join,
    )
    kernel.register("memberships", service, start)
    return service

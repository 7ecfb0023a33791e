"""The fleet as one host sees it: pull gossip with ages.

Every age is an upper bound on the seconds since someone had direct evidence that a
host runs. A reply is such evidence, as old as the whole round trip at most; the
puller adds that round trip to every age it is told and keeps the least. Ages grow by
the host's own clock and need no agreement between clocks, however late a message.

A host is current when it is sure that every ticket accepted more than
``FRESH_SECONDS`` ago is in force here: either its ``store_age`` is below that, or it
has fresh ages of a majority and every ticket that any of them had heard of, for a
ticket counts as accepted only once a majority had heard of it.
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
    decode_host,
    encode_ages,
    encode_host,
    merge_ages,
    note_head,
    settle_heads,
    update_order,
)
from trefoilpin.services import Memberships

__all__ = ["FRESH_SECONDS", "create"]

FRESH_SECONDS = 4.0
LIVE_SECONDS = 8.0
FORGET_SECONDS = 900.0
RECORD_SECONDS = 1800.0
DEPARTED_SECONDS = 21600.0
PULL_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 0.3
FAILED_PULL_SECONDS = 0.05
BEHIND_PULL_SECONDS = 0.15
SYNC_TIMEOUT_SECONDS = 2.0
SYNC_SECONDS = 5.0
ENROLL_SECONDS = 10.0
SWEEP_SECONDS = 10.0
PARTNERS = 24
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
        Peer addresses asked while the roster is unknown.

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

    def add(host):
        known = state.host_by_incarnation
        if host.incarnation in known or host.incarnation in state.successor_by_departed:
            return
        known[host.incarnation] = host
        state.expires_at.setdefault(host.incarnation, now() + RECORD_SECONDS)
        state.is_stale = True
        emit(
            events.HOST_JOINED,
            host=host.name,
            incarnation=host.incarnation,
            zone=host.zone,
            address=host.peer_address,
        )

    def remove(incarnation, successor):
        if incarnation == own.incarnation:
            return
        state.heard_at.pop(incarnation, None)
        state.expires_at.pop(incarnation, None)
        if state.host_by_incarnation.pop(incarnation, None) is None:
            return
        state.is_stale = True
        state.removed.add(incarnation)
        refresh_live()
        emit(events.HOST_LEFT, incarnation=incarnation, successor=successor or None)

    def learn_member(notice):
        host = decode_host(notice.value)
        if host is not None and host.incarnation == notice.key:
            state.expires_at[host.incarnation] = notice.expires_at
            add(host)

    def learn_departed(notice):
        if notice.key == own.incarnation and not state.leaving:
            return
        if notice.value or notice.key not in state.successor_by_departed:
            state.successor_by_departed[notice.key] = notice.value
        remove(notice.key, notice.value)

    def join(hosts):
        state.joined = True
        for host in hosts:
            add(host)

    def age(incarnation):
        if incarnation == own.incarnation:
            return 0.0
        return now() - state.heard_at.get(incarnation, NEVER)

    def refresh_live():
        update_order(state)
        limit, found = now() - LIVE_SECONDS, []
        for incarnation in state.order:
            if state.heard_at.get(incarnation, NEVER) >= limit:
                found.append(state.host_by_incarnation[incarnation])
            elif incarnation == own.incarnation:
                found.append(own)
        if tuple(found) == state.live:
            return
        state.live = tuple(found)
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
        found = None
        for _ in range(len(state.successor_by_departed)):
            following = state.successor_by_departed.get(found or incarnation)
            if not following:
                break
            found = following
        return found

    def has_majority():
        if not state.joined:
            return False
        limit = now() - FRESH_SECONDS
        fresh = sum(1 for instant in state.heard_at.values() if instant >= limit)
        return 2 * (fresh + state.caught_up) > len(state.host_by_incarnation)

    def store_age():
        settle_heads(state, configurations.head())
        return now() - state.store_seen_at

    def is_current():
        if store_age() <= FRESH_SECONDS:
            return True
        return configurations.head() >= state.known_number and has_majority()

    def note_caught_up():
        """Let this host count for majorities from the first time it is current."""
        state.caught_up = state.caught_up or is_current()

    def report_head(head, began_at):
        note_head(state, head, began_at)
        note_caught_up()

    def report_number(number):
        state.known_number = max(state.known_number, number)

    def pull(sender, request):
        update_order(state)
        settle_heads(state, configurations.head())
        return PullReply(
            state.digest,
            encode_ages(state, now()),
            state.order if request.explain else (),
            configurations.head(),
            state.known_number,
            state.store_head,
            store_age() if state.store_seen_at > NEVER else -1.0,
            notices.digest(),
            notices.recent_missing(request.recent_notices),
            state.joined,
            sender in state.host_by_incarnation,
        )

    def sync(sender, request):
        notices.merge_items(request.notices, 0.0)
        return SyncReply(notices.missing(request.notice_ids))

    def draw_partner():
        known = state.host_by_incarnation
        state.partners = [item for item in state.partners if item in known]
        if state.pulls % PULLS_PER_PARTNER_CHANGE == 0 and state.partners:
            state.partners.pop(rng.randrange(len(state.partners)))
        wanted = min(PARTNERS, len(state.order) - 1) - len(state.partners)
        if wanted > 0:
            taken = {own.incarnation, *state.partners}
            left = [item for item in state.order if item not in taken]
            state.partners += rng.sample(left, wanted)
        hosts = [state.host_by_incarnation[item] for item in state.partners]
        distant = [host for host in hosts if host.zone != own.zone]
        return rng.choice(distant if distant and state.pulls % 2 else hosts)

    def choose_address():
        if len(state.order) > 1:
            host = draw_partner()
            return host, host.peer_address
        others = [seed for seed in seeds if seed != own.peer_address]
        return None, rng.choice(others) if others else None

    def pull_once():
        update_order(state)
        state.pulls += 1
        host, address = choose_address()
        pulled = address is None or pull_from(host, address)
        refresh_live()
        pause = PULL_SECONDS if pulled else FAILED_PULL_SECONDS
        is_behind = state.known_number > configurations.head()
        if address is not None and (is_behind or not has_majority()):
            pause = min(pause, BEHIND_PULL_SECONDS)
        return pause * (0.5 + rng.random())

    def pull_from(host, address):
        request = PullRequest(
            state.digest, state.explain, notices.digest(), notices.recent_ids()
        )
        began_at = now()
        result = peers.call(address, "memberships.pull", request, PULL_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return False
        merge(address, result.unwrap(), began_at)
        if host is not None and result.unwrap().head > configurations.head():
            for function in state.behind_functions:
                function(host)
        return True

    def merge(address, reply, began_at):
        state.known_number = max(state.known_number, reply.known_number, reply.head)
        if reply.store_age >= 0:
            note_head(state, reply.store_head, began_at - reply.store_age)
        notices.merge_items(reply.notices, now() - began_at)
        order = reply.incarnations or state.rosters_by_digest.get(reply.roster_digest)
        state.explain = order is None
        if order is not None:
            merge_ages(state, order, reply.ages, began_at)
        is_due = now() - state.synced_at >= SYNC_SECONDS
        is_behind = is_due and reply.notice_digest != notices.digest()
        if is_behind or not (reply.knows_sender or state.leaving):
            sync_with(address)
        if (
            not state.joined
            and reply.joined
            and order
            and set(order) <= state.host_by_incarnation.keys()
        ):
            state.joined = True
        note_caught_up()

    def sync_with(address):
        state.synced_at = began_at = now()
        request = SyncRequest(notices.all_ids(), notices.own_items(MEMBER_TOPIC))
        result = peers.call(address, "memberships.sync", request, SYNC_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return
        notices.merge_items(result.unwrap().notices, now() - began_at)

    def renew_once():
        if now() - state.swept_at > SWEEP_SECONDS:
            notices.expire()
        due = now() - state.enroll_tried_at > ENROLL_SECONDS
        if not state.enrolled and not state.leaving and due:
            enroll_once()
        if not state.leaving and now() - state.renewed_at > RECORD_SECONDS / 2:
            state.renewed_at = now()
            text = encode_host(own)
            notices.publish(MEMBER_TOPIC, own.incarnation, text, RECORD_SECONDS)
        if now() - state.swept_at < SWEEP_SECONDS or not has_majority():
            return
        state.swept_at = now()
        for incarnation in list(state.host_by_incarnation):
            ended = now() > state.expires_at.get(incarnation, float("inf"))
            if ended and age(incarnation) > FORGET_SECONDS:
                remove(incarnation, None)
        delete_records()

    def delete_records():
        """Delete the store's records of removed hosts, if it is this host's turn."""
        removed, state.removed = state.removed, set()
        if ranked("roster")[0] != own:
            return
        for incarnation in sorted(removed):
            found = store.get(ROSTER_PREFIX + incarnation)
            if isinstance(found, Success):
                store.delete(found.unwrap().path, found.unwrap().version)

    def enroll_once():
        """Read the roster in the store and add this host to it."""
        state.enroll_tried_at = now()
        listed = store.list(ROSTER_PREFIX)
        if isinstance(listed, Failure):
            return False
        hosts = [decode_host(str(stored.value)) for stored in listed.unwrap()]
        join([host for host in hosts if host is not None])
        for stored, host in zip(listed.unwrap(), hosts):
            replaced = host is not None and host.name == own.name
            if replaced and host.incarnation != own.incarnation:
                notices.publish(DEPARTED_TOPIC, host.incarnation, "", DEPARTED_SECONDS)
                store.delete(stored.path, stored.version)
        created = store.create(ROSTER_PREFIX + own.incarnation, encode_host(own))
        state.enrolled = isinstance(created, Success) or created.failure().conflict
        return state.enrolled

    def leave(incarnation):
        state.leaving = True
        text = incarnation or ""
        notices.publish(DEPARTED_TOPIC, own.incarnation, text, DEPARTED_SECONDS)

    def is_store_watcher():
        zone = [host.incarnation for host in state.live if host.zone == own.zone]
        watchers = hashes.rank("watchers", zone)[:WATCHERS_PER_ZONE]
        return own.incarnation in watchers

    def report_current():
        current = is_current()
        if current == state.was_current or not state.caught_up:
            return
        state.was_current = current
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
            report_current()
            kernel.clock.sleep(pause)

    update_order(state)
    notices.subscribe(MEMBER_TOPIC, learn_member)
    notices.subscribe(DEPARTED_TOPIC, learn_departed)
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
        on_newer_tickets=state.behind_functions.append,
        join=join,
    )
    kernel.register("memberships", service, start)
    return service

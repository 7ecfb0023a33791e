"""Contacts with seeds and random hosts, by which hosts and partitions find others."""

from trefoilpin.gateway.store.document_cache import CONFIGURATION

__all__ = ["create", "order_by_proximity"]

MIN_SEED_PAUSE_SECONDS = 0.15
# Once other hosts are known, the pause between contacts of seeds doubles up to this.
MAX_SEED_PAUSE_SECONDS = 2.4
# The first seeds that answer may know few hosts, so a host contacts seeds for this time
# after its start; hosts that start together find each other meanwhile.
BOOTSTRAP_SECONDS = 5.0
# Contacts of the nearest seed before the first one of a farther seed. Seeds take some
# tenths of a second to answer when many hosts start together.
NEAR_SEED_ATTEMPTS = 4
RANDOM_PERIOD_SECONDS = 1.0
# Share of the random messages that go to a seed: with 460 hosts, some tens per second
# for each seed.
SEED_PROBABILITY = 0.25
# Share of the others that go to a host of the own zone, as traffic between zones costs.
OWN_ZONE_PROBABILITY = 0.75


def shared_octets(address, other):
    """Return how many leading parts two dotted addresses have in common."""
    count = 0
    for part, other_part in zip(address.split("."), other.split(".")):
        if part != other_part:
            break
        count += 1
    return count


def order_by_proximity(addresses, own_address, offset):
    """Return addresses with those that are probably near a host first.

    The zone of a host is not known before it answers. Hosts of a zone mostly share a
    subnet, so the addresses with the longest common prefix come first. Equally near
    ones start at a position given by ``offset``, which spreads hosts over them.

    Parameters
    ----------
    addresses : sequence of str
    own_address : str
    offset : int

    Returns
    -------
    list of str
    """
    count = len(addresses)
    start = offset % count if count else 0
    rotated = [*addresses[start:], *addresses[:start]]
    return sorted(
        rotated, key=lambda address: shared_octets(address, own_address), reverse=True
    )


class DiscoveryState:
    """When seeds and a random host were last contacted, and how often seeds were."""

    def __init__(self, now):
        self.seeds_contacted_at = float("-inf")
        self.seed_pause = MIN_SEED_PAUSE_SECONDS
        self.seed_attempts = 0
        self.random_sent_at = now


def create(kernel, seeds, send):
    """Create the function that makes contact with other hosts.

    Parameters
    ----------
    kernel : Kernel
    seeds : callable
        Returns the IP addresses of the hosts to contact first.
    send : callable
        ``send(address, message)`` sends a datagram.

    Returns
    -------
    callable
        ``discover(is_relay)`` makes the contacts that are due; it is called often.
    """
    now = kernel.clock.now
    state = DiscoveryState(now())
    started_at = now()
    # Spreads the first contacts of all hosts evenly over the seeds.
    seed_offset = kernel.rng.getrandbits(8)
    document_cache = kernel.find("document_cache")
    members = kernel.find("members")
    gossip_builders = kernel.find("gossip_builders")
    own = members.own

    def discover(is_relay):
        """Contact seeds while few hosts are known, and periodically a random host."""
        live = members.live()
        is_isolated = len(live) == 1
        is_starting = now() - started_at < BOOTSTRAP_SECONDS
        needs_seeds = (
            is_starting
            or is_isolated
            or not document_cache.version(CONFIGURATION).revision
        )
        if (
            needs_seeds
            and seeds()
            and now() - state.seeds_contacted_at > state.seed_pause
        ):
            state.seeds_contacted_at = now()
            if not is_isolated:
                state.seed_pause = min(state.seed_pause * 2, MAX_SEED_PAUSE_SECONDS)
            contact_seeds(is_isolated)
        if now() - state.random_sent_at < RANDOM_PERIOD_SECONDS:
            return
        state.random_sent_at = now()
        address = choose_random_host()
        if address is not None:
            is_informed = address in {
                host.address for host in live if host.zone != own.zone
            }
            tells_members = is_relay and not is_informed
            records = gossip_builders.member_records() if tells_members else ()
            send(address, gossip_builders.build(False, records))

    def choose_random_host():
        """Return a random known host or seed; a silent host may know no other host.

        Seeds are included so that partitions that do not know of each other merge.
        """
        targets = other_seeds()
        if targets and kernel.rng.random() < SEED_PROBABILITY:
            return kernel.rng.choice(targets)
        addresses, zone_addresses = [], []
        for host in members.records():
            if host.address == own.address:
                continue
            addresses.append(host.address)
            if host.zone == own.zone:
                zone_addresses.append(host.address)
        if zone_addresses and kernel.rng.random() < OWN_ZONE_PROBABILITY:
            return kernel.rng.choice(zone_addresses)
        return kernel.rng.choice(addresses) if addresses else None

    def other_seeds():
        return [address for address in seeds() if address != own.address]

    def contact_seeds(is_isolated):
        """Contact the next seed, or all of them once each was tried without an answer.

        A seed contacts all others, as each may know different hosts.
        """
        targets = order_by_proximity(other_seeds(), own.address, seed_offset)
        try_all = (
            is_isolated and state.seed_attempts >= len(targets) + NEAR_SEED_ATTEMPTS
        )
        if own.address not in seeds() and not try_all:
            targets = [choose_seed(targets)]
        state.seed_attempts += 1
        for address in targets:
            send(address, gossip_builders.build_request())

    def choose_seed(ordered_seeds):
        """Return the nearest seed that is known to run, or else the next one to try.

        An introduction holds documents and member records, so that those of seeds in
        other zones were most of the traffic between zones when a whole fleet started.
        """
        live = {host.address for host in members.live()}
        for address in ordered_seeds:
            if address in live:
                return address
        distances = [shared_octets(address, own.address) for address in ordered_seeds]
        has_nearest = distances.count(distances[0]) < len(distances)
        near_attempts = NEAR_SEED_ATTEMPTS - 1 if has_nearest else 0
        position = max(state.seed_attempts - near_attempts, 0)
        return ordered_seeds[position % len(ordered_seeds)]

    return discover

"""Asks for tokens for cold upstreams, and the responses, between hosts.

A host asks the one that last granted tokens, or the one that another host named as the
holder of the lease, or the first hosts in the order of store readers in turn. Each host
that is asked and doesn't hold the lease tries to take it, which the lease makes safe.
Nothing is sent while no request lacks a token.
"""

from typing import Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.balancing.cold_grants import ColdGrant

__all__ = ["GrantExchanges", "create"]

# A response takes milliseconds; without one the next host is asked.
RESPONSE_SECONDS = 0.3
# Purposes of messages; at most one message per purpose and host is queued.
ASK, GRANT = "ask", "grant"


class GrantExchanges(NamedTuple):
    """``grant_exchanges``: ``receive(address, message)`` takes a host's message.

    ``target()`` is the address of the host that is asked next.
    """

    receive: Callable
    target: Callable[[], str]


class ExchangeState:
    """Who is asked, and since when there is no response.

    Attributes
    ----------
    holder : str
        Host that is said to hold the lease, or empty.
    position : int
        Position in the order of readers of the host that is asked otherwise.
    waiting_since : float or None
        Clock time of the first ask without a response.
    """

    def __init__(self):
        self.holder = ""
        self.position = 0
        self.waiting_since: float | None = None


def create(kernel, gossip, is_peer):
    """Create the service ``grant_exchanges``.

    Parameters
    ----------
    kernel : Kernel
    gossip : Gossip
    is_peer : callable
        Tells whether this host sends to an address regularly.

    Returns
    -------
    GrantExchanges
    """
    state = ExchangeState()
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    cold_grants = kernel.find("cold_grants")
    gossip_builders = kernel.find("gossip_builders")
    send_queues = kernel.find("send_queues")
    own_address = kernel.find("members").own.address

    def order():
        """Return the first hosts in the order of store readers."""
        addresses = list(gossip.first_readers())
        if gossip.reader_rank() <= len(addresses):
            addresses.insert(gossip.reader_rank(), own_address)
        return addresses

    def target():
        if state.holder:
            return state.holder
        addresses = order()
        return addresses[state.position % len(addresses)] if addresses else own_address

    def pass_over_silent_host():
        """Ask another host when there is no response for too long."""
        if state.waiting_since is None:
            return
        seconds = now() - state.waiting_since
        if seconds < RESPONSE_SECONDS:
            return
        metrics.count("cold_asks_unanswered")
        emit(events.COLD_ASKS_UNANSWERED, host=target(), seconds=round(seconds, 3))
        state.waiting_since = None
        if state.holder:
            state.holder = ""
        else:
            state.position += 1

    def send_ask(ask):
        pass_over_silent_host()
        address = target()
        if address == own_address:
            take_grant(own_address, answer(ask))
            return
        if state.waiting_since is None:
            state.waiting_since = now()
        send(address, ASK, cold_ask=ask)

    def send(address, purpose, **fields):
        def build():
            message = gossip_builders.build(with_versions=False)
            return message._replace(sends_regularly=is_peer(address), **fields)

        send_queues.enqueue(address, purpose, build)

    def answer(ask):
        """Return the response to an ask; have this host hold the lease from now on."""
        time = now()
        leases = kernel.find("leases")
        held_since = leases.held_since(time)
        leases.want()
        if held_since is None:
            return ColdGrant(ask.number, False, leases.holder(), ())
        granted = cold_grants.answer(ask, time, held_since)
        return ColdGrant(ask.number, True, own_address, granted)

    def take_grant(address, grant):
        state.waiting_since = None
        if grant.is_holder:
            state.holder, state.position = address, 0
        elif grant.holder and grant.holder != address:
            state.holder = grant.holder
        else:
            # One that can't take the lease answers all the same.
            state.holder = ""
            if address == target():
                state.position += 1
        cold_grants.receive(grant)

    def receive(address, message):
        if message.cold_ask is not None:
            send(address, GRANT, cold_grant=answer(message.cold_ask))
        if message.cold_grant is not None:
            take_grant(address, message.cold_grant)

    cold_grants.on_ask(send_ask)
    service = GrantExchanges(receive, target)
    kernel.register("grant_exchanges", service)
    return service

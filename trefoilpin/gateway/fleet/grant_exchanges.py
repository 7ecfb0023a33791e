"""Asks for what one host grants to the whole fleet, and the responses, between hosts.

There are several kinds of grants, and one lease stands for the right to give them. For
each kind a host asks the one that last granted, or the one that another host named as
the holder of the lease, or the first hosts in the order of store readers in turn. Each
host that is asked and doesn't hold the lease tries to take it, which the lease makes
safe. Nothing is sent while no request lacks a grant.
"""

from typing import Any, Callable, NamedTuple

from trefoilpin import events
from trefoilpin.gateway.admission.retry_pools import RetryGrant
from trefoilpin.gateway.balancing.cold_grants import ColdGrant
from trefoilpin.gateway.fleet.grant_checks import is_address

__all__ = ["GrantExchanges", "GrantKind", "create", "list_kinds"]

# A response takes milliseconds; without one the next host is asked.
RESPONSE_SECONDS = 0.3
# A holder whose right has run out, as nobody asked for some time, names itself and
# renews it within milliseconds; it is asked again so often.
MAX_RENEWALS = 3


class GrantKind(NamedTuple):
    """What hosts ask for, and the service that grants it.

    Attributes
    ----------
    name : str
        Prefix of the metrics.
    ask_field, grant_field : str
        Fields of ``GossipMessage`` with the ask and the response; at most one message
        per field and host is queued.
    on_ask : callable
        ``on_ask(function)`` has ``function(ask)`` called with each ask of this host.
    grant : callable
        ``grant(ask, time, held_since, own_address)`` returns the response of the holder
        of the lease.
    refuse : callable
        ``refuse(ask, holder)`` returns the response of another host, which names the
        holder, or the empty text.
    receive : callable
        ``receive(response)`` takes the response to an ask of this host.
    """

    name: str
    ask_field: str
    grant_field: str
    on_ask: Callable
    grant: Callable
    refuse: Callable
    receive: Callable


class GrantExchanges(NamedTuple):
    """``grant_exchanges``: ``receive(address, message)`` takes a host's message.

    ``target(name)`` is the address of the host that is asked next for a kind.
    """

    receive: Callable
    target: Callable[[str], str]


class ExchangeState:
    """Who is asked for a kind of grants, and since when there is no response.

    Attributes
    ----------
    holder : str
        Host that is said to hold the lease, or empty.
    position : int
        Position in the order of readers of the host that is asked otherwise.
    renewals : int
        Responses in a row of a holder that has to renew its right.
    waiting_since : float or None
        Clock time of the first ask without a response.
    """

    def __init__(self):
        self.holder = ""
        self.position = 0
        self.renewals = 0
        self.waiting_since: float | None = None


def create_kind(name, service, create_response):
    """Return the kind of the grants of a service.

    Parameters
    ----------
    name : str
    service : ColdGrants or RetryBudgets
    create_response : callable
        Creates the response from the number of the ask, whether this host grants, the
        address of the holder, and what is granted.

    Returns
    -------
    GrantKind
    """

    def grant(ask, time, held_since, own_address):
        granted = service.answer(ask, time, held_since)
        return create_response(ask.number, True, own_address, granted)

    def refuse(ask, holder):
        return create_response(ask.number, False, holder, ())

    return GrantKind(
        name,
        f"{name}_ask",
        f"{name}_grant",
        service.on_ask,
        grant,
        refuse,
        service.receive,
    )


def list_kinds(kernel):
    """Return the kinds of grants of a host.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    tuple of GrantKind
    """
    return (
        create_kind("cold", kernel.find("cold_grants"), ColdGrant),
        create_kind("retry", kernel.find("retry_budgets"), RetryGrant),
    )


def create(kernel, gossip, is_peer, kinds):
    """Create the service ``grant_exchanges``.

    Parameters
    ----------
    kernel : Kernel
    gossip : Gossip
    is_peer : callable
        Tells whether this host sends to an address regularly.
    kinds : sequence of GrantKind

    Returns
    -------
    GrantExchanges
    """
    state_by_name = {kind.name: ExchangeState() for kind in kinds}
    now = kernel.clock.now
    emit = kernel.find("events").emit
    metrics = kernel.find("metrics")
    gossip_builders = kernel.find("gossip_builders")
    send_queues = kernel.find("send_queues")
    own_address = kernel.find("members").own.address

    def order():
        """Return the first hosts in the order of store readers."""
        addresses = list(gossip.first_readers())
        if gossip.reader_rank() <= len(addresses):
            addresses.insert(gossip.reader_rank(), own_address)
        return addresses

    def target(name):
        state = state_by_name[name]
        if state.holder:
            return state.holder
        addresses = order()
        return addresses[state.position % len(addresses)] if addresses else own_address

    def pass_over_silent_host(kind):
        """Ask another host when there is no response for too long."""
        state = state_by_name[kind.name]
        if state.waiting_since is None:
            return
        seconds = now() - state.waiting_since
        if seconds < RESPONSE_SECONDS:
            return
        metrics.count(f"{kind.name}_asks_unanswered")
        emit(
            events.ASKS_UNANSWERED,
            kind=kind.name,
            host=target(kind.name),
            seconds=round(seconds, 3),
        )
        state.waiting_since = None
        if state.holder:
            state.holder = ""
        else:
            state.position += 1

    def send_ask(kind, ask):
        pass_over_silent_host(kind)
        address = target(kind.name)
        if address == own_address:
            take_response(kind, own_address, respond(kind, ask))
            return
        state = state_by_name[kind.name]
        if state.waiting_since is None:
            state.waiting_since = now()
        send(address, kind.ask_field, ask)

    def send(address, field, value):
        def build():
            message = gossip_builders.build(with_versions=False)
            fields: dict[str, Any] = {field: value}
            return message._replace(sends_regularly=is_peer(address), **fields)

        send_queues.enqueue(address, field, build)

    def respond(kind, ask):
        """Return the response to an ask; have this host hold the lease from now on."""
        time = now()
        leases = kernel.find("leases")
        held_since = leases.held_since(time)
        leases.want()
        if held_since is None:
            return kind.refuse(ask, leases.holder())
        return kind.grant(ask, time, held_since, own_address)

    def take_response(kind, address, response):
        state = state_by_name[kind.name]
        state.waiting_since = None
        is_renewing = response.holder == address and not response.is_holder
        state.renewals = state.renewals + 1 if is_renewing else 0
        if response.is_holder:
            state.holder, state.position = address, 0
        elif is_renewing and state.renewals <= MAX_RENEWALS:
            state.holder = address
        elif is_address(response.holder) and response.holder != address:
            state.holder = response.holder
        else:
            # One that can't take the lease answers all the same.
            state.holder = ""
            if address == target(kind.name):
                state.position += 1
        kind.receive(response)

    def receive(address, message):
        for kind in kinds:
            ask = getattr(message, kind.ask_field)
            if ask is not None:
                send(address, kind.grant_field, respond(kind, ask))
            response = getattr(message, kind.grant_field)
            if response is not None:
                take_response(kind, address, response)

    for kind in kinds:
        kind.on_ask(lambda ask, kind=kind: send_ask(kind, ask))
    service = GrantExchanges(receive, target)
    kernel.register("grant_exchanges", service)
    return service

"""Selection of the hosts that a caller should use, in order of preference.

Callers of one account get the same few hosts, the owner of its quota first, so that
most rate limit decisions need no other host.
"""

from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.records import Route
from trefoilpin.services import AddressAnswer, Addresses
from trefoilpin.shutdowns import LEAVING_TOPIC
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["create", "select"]

MAX_HOSTS = 3
RETRY_AFTER_SECONDS = 2.0
HOSTS_ROUTE = Route("hosts", "", "/v1/hosts", ("GET", "HEAD"), "")

NO_USABLE_HOST = Refusal(
    Reason.NO_UPSTREAM,
    Verdict.NOT_RUN,
    "every host is leaving or in an availability zone that is out",
    RETRY_AFTER_SECONDS,
)


def select(hosts, count):
    """Return the first hosts, of at least two availability zones if possible.

    Parameters
    ----------
    hosts : sequence of Host
        In order of preference.
    count : int

    Returns
    -------
    tuple of Host
    """
    chosen = list(hosts[:count])
    if count < 2 or len({host.zone for host in chosen}) > 1:
        return tuple(chosen)
    for host in hosts[count:]:
        if host.zone != chosen[0].zone:
            return (*chosen[: count - 1], host)
    return tuple(chosen)


def create(kernel, lifetime):
    """Create the service ``addresses``.

    Parameters
    ----------
    kernel : Kernel
    lifetime : float
        Seconds for which callers may cache an answer.

    Returns
    -------
    Addresses
    """
    emit = kernel.find("events").emit
    keys = kernel.find("keys")
    memberships = kernel.find("memberships")
    notices = kernel.find("notices")
    configurations = kernel.find("configurations")
    shutdowns = kernel.find("shutdowns")
    issuers = kernel.find("issuers")

    def is_usable(host, leaving):
        if host.incarnation in leaving:
            return False
        if host.region != memberships.own().region:
            return False
        zone = configurations.zones_by_id.get(host.zone)
        return zone is None or not zone.out

    def leaving_hosts():
        leaving = {notice.key for notice in notices.read(LEAVING_TOPIC)}
        if shutdowns.is_stopping():
            leaving.add(memberships.own().incarnation)
        return leaving

    def rank(account):
        if account is not None:
            return memberships.ranked(f"limits/{account.id}")
        hosts = list(memberships.live())
        kernel.rng.shuffle(hosts)
        return hosts

    def answer(request):
        checked = keys.check(HOSTS_ROUTE, request)
        account = checked.value_or(None)
        if isinstance(checked, Failure):
            if checked.failure().reason is not Reason.KEY_MISSING:
                return checked
        leaving = leaving_hosts()
        usable_hosts = [host for host in rank(account) if is_usable(host, leaving)]
        if not usable_hosts:
            return Failure(NO_USABLE_HOST)
        chosen = select(usable_hosts, MAX_HOSTS)
        own = memberships.own().incarnation
        issuer = own
        if own in leaving or not issuers.takes_keys():
            others = [host for host in chosen if host.incarnation != own]
            issuer = (others or chosen)[0].incarnation
        hosts = tuple((host.caller_address, host.zone) for host in chosen)
        emit(
            events.HOSTS_GIVEN,
            account=account and account.id,
            hosts=",".join(host.name for host in chosen),
            issuer=issuer,
        )
        return Success(AddressAnswer(hosts, lifetime, issuer))

    service = Addresses(answer)
    kernel.register("addresses", service)
    return service

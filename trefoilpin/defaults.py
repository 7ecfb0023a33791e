"""Definitions of all settings with their defaults and validators."""

import ipaddress
from typing import Any, Callable, NamedTuple

__all__ = ["DEFAULTS", "Setting"]


class Setting(NamedTuple):
    """One setting.

    Attributes
    ----------
    name : str
        ``section.name`` as in the TOML file.
    default : object
        None when the setting is required.
    allowed : str
        Description of valid values, for error messages and the reference.
    is_valid : callable
    meaning : str
        Description for operators.
    """

    name: str
    default: Any
    allowed: str
    is_valid: Callable[[Any], bool]
    meaning: str


def is_text(value):
    """Tell whether a value is a non-empty string."""
    return isinstance(value, str) and bool(value)


def is_address(value):
    """Tell whether a value is ``ip:port``."""
    if not isinstance(value, str) or ":" not in value:
        return False
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and int(port) < 65536


def is_address_list(value):
    """Tell whether a value is a list of ``ip:port``."""
    return isinstance(value, list) and all(is_address(item) for item in value)


def is_one_of(*choices):
    """Return a validator that accepts the given values."""
    return lambda value: value in choices


def is_number(low, high):
    """Return a validator that accepts a number between two bounds, both included."""

    def is_valid(value):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            return False
        return low <= value <= high

    return is_valid


def is_integer(low, high):
    """Return a validator that accepts an integer between two bounds, both included."""

    def is_valid(value):
        if isinstance(value, bool) or not isinstance(value, int):
            return False
        return low <= value <= high

    return is_valid


ADDRESS = "an IP number and port such as 10.0.0.1:8080"

DEFAULTS = (
    # Host.
    Setting("host.name", None, "a non-empty string", is_text, "Name of the host."),
    Setting(
        "host.zone",
        None,
        "the id of an availability zone",
        is_text,
        "Availability zone of the host.",
    ),
    Setting(
        "host.region", "default", "a non-empty string", is_text, "Region of the zone."
    ),
    Setting(
        "host.caller_address",
        None,
        ADDRESS,
        is_address,
        "Address to which callers connect.",
    ),
    Setting(
        "host.peer_address",
        None,
        ADDRESS,
        is_address,
        "Address to which other hosts connect.",
    ),
    Setting(
        "host.admin_address",
        None,
        ADDRESS,
        is_address,
        "Address to which operators connect; must not be reachable for callers.",
    ),
    Setting(
        "host.accepts_faults",
        False,
        "true or false",
        lambda value: isinstance(value, bool),
        "Whether operators may cut this host off from other hosts; only for tests.",
    ),
    # Store.
    Setting(
        "store.addresses",
        None,
        "a list of IP numbers and ports",
        lambda value: is_address_list(value) and bool(value),
        "Addresses of the platform's object store.",
    ),
    Setting(
        "store.timeout_seconds",
        2.0,
        "a number from 0.1 to 60",
        is_number(0.1, 60),
        "Timeout of a call to the store.",
    ),
    Setting(
        "store.calls_per_second",
        8.0,
        "a number from 0.1 to 1000",
        is_number(0.1, 1000),
        "Average rate of calls that this host may send to the store.",
    ),
    Setting(
        "store.call_burst",
        60,
        "a whole number from 1 to 10000",
        is_integer(1, 10_000),
        "Calls that this host may send to the store in a burst.",
    ),
    # Log.
    Setting(
        "log.format",
        "text",
        "'text' or 'json'",
        is_one_of("text", "json"),
        "Format of the log lines.",
    ),
    Setting(
        "log.level",
        "info",
        "'debug', 'info', 'warning' or 'error'",
        is_one_of("debug", "info", "warning", "error"),
        "Lowest level that is written.",
    ),
    Setting(
        "log.sample",
        1,
        "a whole number from 1 to 100000",
        is_integer(1, 100000),
        "One in this many lines of a sampled event is written.",
    ),
    # Callers.
    Setting(
        "proxy.max_body_bytes",
        1_048_576,
        "a whole number from 1024 to 67108864",
        is_integer(1024, 67_108_864),
        "Maximum size of a request body.",
    ),
    Setting(
        "proxy.max_buffered_answer_bytes",
        1_048_576,
        "a whole number from 1024 to 67108864",
        is_integer(1024, 67_108_864),
        "Answers up to this size are validated completely before they are forwarded.",
    ),
    Setting(
        "proxy.max_connections",
        4000,
        "a whole number from 1 to 65000",
        is_integer(1, 65_000),
        "Maximum concurrent connections of callers.",
    ),
    Setting(
        "proxy.idle_seconds",
        60.0,
        "a number from 1 to 3600",
        is_number(1, 3600),
        "Time after which a caller's idle connection is closed.",
    ),
    # Peers and membership.
    Setting(
        "peers.secret",
        None,
        "a string of at least 16 characters",
        lambda value: isinstance(value, str) and len(value) >= 16,
        "Secret shared by all hosts of the fleet and unknown to anyone else.",
    ),
    Setting(
        "peers.seeds",
        [],
        "a list of IP numbers and ports",
        is_address_list,
        "Peer addresses of some hosts, contacted at the start when the store is down.",
    ),
    # Shutdown.
    Setting(
        "shutdown.address_lifetime_seconds",
        10.0,
        "a number from 0.5 to 600",
        is_number(0.5, 600),
        "Time for which callers may cache an address answer.",
    ),
    Setting(
        "shutdown.drain_seconds",
        15.0,
        "a number from 1 to 3600",
        is_number(1, 3600),
        "Time a stopping host goes on serving; at least the address lifetime is kept.",
    ),
    Setting(
        "shutdown.spread_reconnects",
        True,
        "true or false",
        lambda value: isinstance(value, bool),
        "Whether a stopping host closes its connections one by one during the drain.",
    ),
    # Operations and retries.
    Setting(
        "operations.max_keys",
        120_000,
        "a whole number from 1000 to 10000000",
        is_integer(1000, 10_000_000),
        "Maximum idempotency keys this host decides on. No key is ever forgotten, so "
        "above this number new keys are refused until the daemon is replaced.",
    ),
    Setting(
        "operations.max_adopted_keys",
        240_000,
        "a whole number from 1000 to 10000000",
        is_integer(1000, 10_000_000),
        "Maximum keys kept for departed hosts; above it the oldest host's are dropped.",
    ),
    Setting(
        "operations.gone_seconds",
        10.0,
        "a number from 1 to 600",
        is_number(1, 600),
        "Time without contact after which a host is considered departed.",
    ),
    Setting(
        "operations.max_answer_bytes",
        65_536,
        "a whole number from 1024 to 1000000",
        is_integer(1024, 1_000_000),
        "Maximum size of an answer that is saved for repeated requests.",
    ),
    Setting(
        "operations.max_saved_bytes",
        8_388_608,
        "a whole number from 65536 to 1073741824",
        is_integer(65_536, 1_073_741_824),
        "Maximum total size of all saved answers.",
    ),
    Setting(
        "operations.saved_seconds",
        900.0,
        "a number from 1 to 86400",
        is_number(1, 86_400),
        "Time for which an answer is saved.",
    ),
    Setting(
        "operations.hand_over_seconds",
        10.0,
        "a number from 1 to 300",
        is_number(1, 300),
        "Time after which a stopping host gives up the hand-over of its keys.",
    ),
    Setting(
        "operations.store_calls_per_second",
        200.0,
        "a number from 1 to 2000",
        is_number(1, 2000),
        "Maximum rate of store calls for opaque keys over the whole fleet.",
    ),
    Setting(
        "operations.claim_days",
        7.0,
        "a number from 1 to 365",
        is_number(1, 365),
        "Minimum number of days for which an opaque key is remembered.",
    ),
    Setting(
        "retries.share",
        0.2,
        "a number from 0 to 1",
        is_number(0, 1),
        "Average number of retries allowed per request.",
    ),
    Setting(
        "retries.least_per_second",
        1.0,
        "a number from 0 to 100",
        is_number(0, 100),
        "Retries per second allowed for each pool regardless of its request rate.",
    ),
    Setting(
        "quarantine.seconds",
        300.0,
        "a number from 1 to 86400",
        is_number(1, 86_400),
        "Time for which a request that breaks upstreams is refused.",
    ),
    # Limits and queues.
    Setting(
        "limits.units",
        64,
        "a whole number from 1 to 4096",
        is_integer(1, 4096),
        "Number of units that all rates and bursts are divided into in a new ledger.",
    ),
    Setting(
        "limits.holders",
        16,
        "a whole number from 1 to 1024",
        is_integer(1, 1024),
        "Hosts that hold units; the share of a crashed host is unusable until the "
        "crash is certain.",
    ),
    Setting(
        "limits.loan_seconds",
        0.8,
        "a number from 0.5 to 60",
        is_number(0.5, 60),
        "Time for which units are lent; a host with a longer time gets no loans.",
    ),
    Setting(
        "limits.reservation_seconds",
        0.4,
        "a number from 0.1 to 10",
        is_number(0.1, 10),
        "Time for which another host may use tokens reserved for it by this one.",
    ),
    Setting(
        "limits.wait_seconds",
        0.25,
        "a number from 0 to 10",
        is_number(0, 10),
        "Maximum time a request waits for a token before it is refused.",
    ),
    Setting(
        "queues.max_waiting",
        256,
        "a whole number from 1 to 100000",
        is_integer(1, 100_000),
        "Maximum requests of all accounts queued for one pool on this host.",
    ),
)

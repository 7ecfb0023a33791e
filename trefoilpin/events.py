"""Catalogue of log events; ``docs/events.md`` is generated from it."""

import logging
from typing import NamedTuple

__all__ = ["CATALOGUE", "Event"]


class Event(NamedTuple):
    """A kind of log line.

    Attributes
    ----------
    number : int
    name : str
    level : int
        A level of ``logging``.
    fields : tuple of str
    meaning : str
        Description for operators.
    sampled : bool
        True for frequent events, of which lines may be left out.
    limited : bool
        True for events that others cause by what they write. Lines of such an event
        over a limit per minute are left out and counted.
    """

    number: int
    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str
    sampled: bool = False
    limited: bool = False


# 1xx: daemon, settings and callers.
DAEMON_STARTED = Event(
    100,
    "daemon_started",
    logging.INFO,
    ("host", "zone"),
    "The daemon started to serve callers.",
)
DAEMON_STOPPED = Event(
    101,
    "daemon_stopped",
    logging.INFO,
    ("host",),
    "The daemon ended after a graceful shutdown.",
)
REQUEST_ROUTED = Event(
    110,
    "request_routed",
    logging.INFO,
    ("request_id", "route", "account", "upstream", "status", "milliseconds"),
    "An upstream's answer was sent to the caller.",
    sampled=True,
)
REQUEST_REFUSED = Event(
    111,
    "request_refused",
    logging.WARNING,
    ("request_id", "route", "account", "reason", "verdict", "detail"),
    "A request was refused.",
)
REQUEST_MALFORMED = Event(
    112,
    "request_malformed",
    logging.WARNING,
    ("peer", "detail"),
    "A caller sent an invalid request.",
)
CALLER_GONE = Event(
    113,
    "caller_gone",
    logging.INFO,
    ("request_id",),
    "The caller closed its connection before the answer was complete.",
)
REQUEST_FAILED = Event(
    114,
    "request_failed",
    logging.ERROR,
    ("request_id", "detail"),
    "An internal error of the daemon ended a request.",
)
ANSWER_DROPPED = Event(
    115,
    "answer_dropped",
    logging.WARNING,
    ("request_id", "upstream", "detail"),
    "An upstream's answer was dropped because it was incomplete or belonged to"
    " another request.",
)

# 2xx: store, tickets and configuration.
STORE_UNAVAILABLE = Event(
    200,
    "store_unavailable",
    logging.WARNING,
    ("call", "path", "outcome", "detail"),
    "A call to the store failed.",
)
TICKET_IN_FORCE = Event(
    210,
    "ticket_in_force",
    logging.INFO,
    ("ticket", "changes"),
    "A change ticket took effect on this host.",
)
TICKET_ACCEPTED = Event(
    211,
    "ticket_accepted",
    logging.INFO,
    ("ticket", "changes"),
    "An operator's change ticket was accepted through this host.",
)
TICKET_REFUSED = Event(
    212,
    "ticket_refused",
    logging.WARNING,
    ("ticket", "outcome", "detail"),
    "An operator's change ticket was refused, or its outcome is unknown.",
)

TICKET_MALFORMED = Event(
    213,
    "ticket_malformed",
    logging.ERROR,
    ("path", "counts", "detail"),
    "A ticket in the store can't be decoded. A void one counts as empty; an"
    " unread one was written by a later version and keeps this host from being"
    " current.",
)
CONFIGURATION_RESTORED = Event(
    214,
    "configuration_restored",
    logging.INFO,
    ("ticket", "changes"),
    "The configuration was loaded from another host or from a snapshot in the store.",
)
SNAPSHOT_FAILED = Event(
    215,
    "snapshot_failed",
    logging.WARNING,
    ("source", "detail"),
    "A configuration could not be loaded, or a snapshot of it could not be written.",
)

# 3xx: peers, membership, addresses and shutdown.
PEER_REFUSED = Event(
    300,
    "peer_refused",
    logging.WARNING,
    ("peer", "detail"),
    "A connection was closed because the other side violated the protocol.",
)
HOST_JOINED = Event(
    310,
    "host_joined",
    logging.INFO,
    ("host", "incarnation", "zone", "address"),
    "A host was added to the roster.",
)
HOST_LEFT = Event(
    311,
    "host_left",
    logging.INFO,
    ("incarnation", "successor"),
    "A host was removed from the roster because it shut down, was replaced or had"
    " not responded for a long time.",
)
CURRENT_CHANGED = Event(
    320,
    "current_changed",
    logging.WARNING,
    ("current", "store_age", "majority", "ticket"),
    "The host became, or is no longer, certain that its configuration is up to date.",
)
# 35x: addresses and shutdown.
HOSTS_GIVEN = Event(
    350,
    "hosts_given",
    logging.INFO,
    ("account", "hosts", "issuer"),
    "A caller received the addresses of the hosts to use.",
    sampled=True,
)
STOP_BEGAN = Event(
    351,
    "stop_began",
    logging.INFO,
    ("connections", "drain_seconds"),
    "A graceful shutdown began; the host goes on serving during the drain period.",
)
LAST_REQUEST_ENDED = Event(
    352,
    "last_request_ended",
    logging.INFO,
    ("seconds",),
    "The listener is closed and no request is in progress.",
)
HANDED_OVER = Event(
    353,
    "handed_over",
    logging.INFO,
    ("successor",),
    "The host left the fleet; the successor took over its operations and units.",
)
HAND_OVER_FAILED = Event(
    354,
    "hand_over_failed",
    logging.WARNING,
    ("services",),
    "No other host took over the state of these services.",
)

# 4xx: operations, retries and forwarding.
OPERATION_DECIDED = Event(
    400,
    "operation_decided",
    logging.INFO,
    ("key", "attempt", "decision"),
    "This host decided a claim on an idempotency key.",
    sampled=True,
)
TABLE_ADOPTED = Event(
    410,
    "table_adopted",
    logging.INFO,
    ("issuer", "keys"),
    "This host took over the idempotency keys of an issuer that left and now"
    " decides on them.",
)
TABLE_HANDED_OVER = Event(
    411,
    "table_handed_over",
    logging.INFO,
    ("issuer", "successor", "keys", "arrived"),
    "This host sent an issuer's idempotency keys to its successor; arrived tells"
    " whether all were received.",
)
TABLE_DROPPED = Event(
    412,
    "table_dropped",
    logging.WARNING,
    ("issuer", "keys"),
    "Idempotency keys of an issuer that left were dropped to limit memory; their"
    " operations are not run again.",
)
CLAIMS_SWEPT = Event(
    413,
    "claims_swept",
    logging.INFO,
    ("claims",),
    "Expired claims on opaque keys were deleted from the store.",
)
REQUEST_RETRIED = Event(
    420,
    "request_retried",
    logging.INFO,
    ("request_id", "pool", "upstream", "verdict", "detail"),
    "A request is retried on another upstream after this one.",
)
REQUEST_QUARANTINED = Event(
    430,
    "request_quarantined",
    logging.WARNING,
    ("fingerprint", "account", "upstreams", "seconds"),
    "A request that broke several upstreams is refused for some time.",
)

# 5xx: limits and queues.
UNITS_MOVED = Event(
    500,
    "units_moved",
    logging.INFO,
    ("holder", "units"),
    "This host changed the number of units of a holder in the ledger.",
)
QUOTA_OPENED = Event(
    501,
    "quota_opened",
    logging.INFO,
    ("account", "lenders"),
    "This host started to borrow units as the quota owner of an account.",
    sampled=True,
)
QUOTA_CLOSED = Event(
    502,
    "quota_closed",
    logging.INFO,
    ("account", "reason"),
    "This host returned an account's units to their lenders.",
    sampled=True,
)
OWNER_SKIPPED = Event(
    503,
    "owner_skipped",
    logging.WARNING,
    ("account", "owner", "detail"),
    "An account's quota owner did not respond, so the next host in order is asked.",
)
REQUEST_QUEUED = Event(
    510,
    "request_queued",
    logging.INFO,
    ("pool", "account", "waiting"),
    "The pool is saturated, so a request was queued until its account's turn.",
    sampled=True,
)
REQUEST_SHED = Event(
    511,
    "request_shed",
    logging.WARNING,
    ("pool", "account", "waiting"),
    "A pool's queue is full, so a request of the account furthest over its share"
    " was shed.",
)

# 6xx: health, balancing, slow start, drain and zones.
UPSTREAM_CHOSEN = Event(
    600,
    "upstream_chosen",
    logging.INFO,
    ("pool", "upstream", "zone", "in_flight"),
    "An upstream was chosen for an attempt.",
    sampled=True,
)

UPSTREAM_EJECTED = Event(
    601,
    "upstream_ejected",
    logging.WARNING,
    (
        "pool",
        "upstream",
        "kind",
        "requests",
        "bad",
        "expected",
        "hosts",
        "zones",
        "times",
    ),
    "The coordinator ejected an upstream because it performs worse than its pool.",
)
UPSTREAM_READMITTED = Event(
    602,
    "upstream_readmitted",
    logging.INFO,
    ("pool", "upstream", "seconds", "times"),
    "An ejection ended; the upstream is in slow start.",
)
UPSTREAM_AVOIDED = Event(
    603,
    "upstream_avoided",
    logging.WARNING,
    ("pool", "upstream", "seconds", "failures"),
    "This host alone avoids an upstream that it could not reach.",
)
COMMON_CAUSE = Event(
    604,
    "common_cause",
    logging.WARNING,
    ("pool", "upstreams", "recent"),
    "Too many upstreams degraded at the same time; none was ejected because a"
    " common cause is likely.",
)
GRANT_GIVEN = Event(
    610,
    "grant_given",
    logging.INFO,
    ("pool", "upstream", "host", "units", "level"),
    "The coordinator granted a host concurrency on an upstream in slow start.",
    sampled=True,
)
SLOW_START_STEP = Event(
    611,
    "slow_start_step",
    logging.INFO,
    ("pool", "upstream", "step", "level"),
    "The slow start of an upstream went up or down a step, or ended.",
)
UPSTREAM_DRAINING = Event(
    620,
    "upstream_draining",
    logging.INFO,
    ("pool", "upstream", "source"),
    "An upstream is draining and gets no new requests.",
)

UPSTREAM_PAUSED = Event(
    621,
    "upstream_paused",
    logging.INFO,
    ("pool", "upstream", "seconds"),
    "An upstream asked this host for a pause and gets no requests from it meanwhile.",
)
RETRY_AFTER_LIMITED = Event(
    622,
    "retry_after_limited",
    logging.WARNING,
    ("upstream", "stated", "seconds"),
    "An upstream stated an invalid or very long pause; seconds is what is followed.",
)
UPSTREAM_DUE = Event(
    623,
    "upstream_due",
    logging.INFO,
    ("pool", "upstream", "reason"),
    "An upstream got a request as it joined, or was unused while many requests fail.",
    sampled=True,
)
WARMTH_UNKNOWN = Event(
    640,
    "warmth_unknown",
    logging.WARNING,
    ("pool", "age", "store_away", "upstreams"),
    "The list of upstreams is so old that some of a pool's may have turned cold since;"
    " these get no requests until they say that they are warm, or the list is recent.",
)
WARMTH_KNOWN = Event(
    641,
    "warmth_known",
    logging.INFO,
    ("pool", "seconds"),
    "Of each upstream of a pool it is known again whether it is cold.",
)
HEALTH_CHECKED = Event(
    642,
    "health_checked",
    logging.INFO,
    ("pool", "upstream", "cold_seconds", "milliseconds"),
    "An upstream was asked for its health and said how long it stays cold.",
    sampled=True,
)
HEALTH_CHECK_FAILED = Event(
    643,
    "health_check_failed",
    logging.INFO,
    ("pool", "upstream", "detail"),
    "An upstream that was asked for its health did not say how long it stays cold.",
    limited=True,
)

# 7xx: the gateway over a store that others write.
GATEWAY_ANSWERED = Event(
    700,
    "gateway_answered",
    logging.INFO,
    (
        "request_id",
        "route",
        "account",
        "pool",
        "upstream",
        "status",
        "attempts",
        "milliseconds",
    ),
    "An upstream's answer was sent to the caller.",
    sampled=True,
)
GATEWAY_REFUSED = Event(
    701,
    "gateway_refused",
    logging.WARNING,
    (
        "request_id",
        "route",
        "account",
        "reason",
        "verdict",
        "detail",
        "retry_after",
        "configuration_age",
        "milliseconds",
    ),
    "The gateway refused a request or answered it with an error of its own.",
)
ATTEMPT_ENDED = Event(
    702,
    "attempt_ended",
    logging.INFO,
    (
        "request_id",
        "pool",
        "upstream",
        "verdict",
        "status",
        "detail",
        "milliseconds",
        "number",
    ),
    "An attempt on an upstream ended with this outcome.",
    sampled=True,
)
REQUEST_WAITS = Event(
    703,
    "request_waits",
    logging.INFO,
    ("pool", "priority", "ahead", "expected"),
    "Every upstream of the pool is at its limit, so a request was queued.",
    sampled=True,
)
SUSPECT_REFUSED = Event(
    704,
    "suspect_refused",
    logging.WARNING,
    ("fingerprint", "upstreams", "seconds"),
    "A request that broke several upstreams is refused for some time.",
)
KNOWLEDGE_CHANGED = Event(
    710,
    "knowledge_changed",
    logging.INFO,
    ("kind", "revision", "age", "source", "rows"),
    "A newer document of the store took effect on this host; rows counts its"
    " changed rows.",
)
DOCUMENT_MALFORMED = Event(
    711,
    "document_malformed",
    logging.ERROR,
    ("kind", "revision", "detail"),
    "A document is invalid; the previous one stays in force.",
    limited=True,
)
OBJECT_MALFORMED = Event(
    712,
    "object_malformed",
    logging.WARNING,
    ("kind", "object", "detail"),
    "An object in the store does not have the expected form and is ignored.",
    limited=True,
)
STORE_LOST = Event(
    713,
    "store_lost",
    logging.WARNING,
    ("kind", "detail"),
    "A read of the store failed; the last known content stays in force.",
)
STORE_REGAINED = Event(
    714,
    "store_regained",
    logging.INFO,
    ("kind", "age"),
    "Reads of the store succeed again on this host.",
)
FETCH_FAILED = Event(
    716,
    "fetch_failed",
    logging.WARNING,
    ("host", "kind", "detail"),
    "A newer document could not be fetched from the host that announced it.",
    limited=True,
)
DOCUMENT_FETCHED = Event(
    717,
    "document_fetched",
    logging.INFO,
    ("host", "kind", "revision", "bytes", "milliseconds"),
    "A newer document was fetched from the host that announced it.",
)
DOCUMENT_SERVED = Event(
    718,
    "document_served",
    logging.INFO,
    ("host", "kind", "revision", "bytes", "under_way"),
    "Another host fetched a document from this one; under_way counts the open"
    " connections.",
    sampled=True,
)
STORE_READ = Event(
    719,
    "store_read",
    logging.INFO,
    ("kind", "revision", "objects", "milliseconds", "place"),
    "This host listed the store; place is its rank among the readers.",
    sampled=True,
)
MEMBER_FOUND = Event(
    720,
    "member_found",
    logging.INFO,
    ("host", "zone"),
    "Another host was discovered.",
)
MEMBER_LOST = Event(
    721,
    "member_lost",
    logging.INFO,
    ("host", "zone"),
    "A host was removed from the membership after a long silence.",
)
MEMBER_SILENT = Event(
    722,
    "member_silent",
    logging.INFO,
    ("host", "zone"),
    "A host that should send messages regularly did not, to this host or to a"
    " relay of its zone.",
)
KNOWLEDGE_STALE = Event(
    723,
    "knowledge_stale",
    logging.WARNING,
    ("kind", "age", "revision", "place"),
    "This host has had no confirmation for too long that its document is in force.",
)
KNOWLEDGE_FRESH = Event(
    724,
    "knowledge_fresh",
    logging.INFO,
    ("kind", "seconds", "revision"),
    "This host received confirmation again that its document is in force.",
)
HOST_LATE = Event(
    725,
    "host_late",
    logging.WARNING,
    ("seconds",),
    "A periodic task ran late, which indicates a shortage of processor time.",
)
ROWS_RETAINED = Event(
    726,
    "rows_retained",
    logging.INFO,
    ("kind", "revision", "rows", "seconds"),
    "The store was available again after an outage and some entries were missing;"
    " they stay in use for a while, as their writers may write them again.",
)
RETENTION_ENDED = Event(
    727,
    "retention_ended",
    logging.INFO,
    ("kind", "revision"),
    "Entries that are still missing are out of use.",
)
SOUNDNESS_CHANGED = Event(
    730,
    "soundness_changed",
    logging.INFO,
    ("pool", "upstream", "unsound", "before", "outcome", "source"),
    "An outcome moved an upstream across the failure probability above which it"
    " gets no requests while better upstreams have capacity.",
)
ADDRESSES_GIVEN = Event(
    740,
    "addresses_given",
    logging.INFO,
    ("zone", "hosts", "lifetime"),
    "A caller received the addresses of the hosts to use.",
    sampled=True,
)
GATEWAY_STARTED = Event(
    750,
    "gateway_started",
    logging.INFO,
    ("host", "zone", "incarnation"),
    "The host accepts connections of callers; it is ready once it has a configuration.",
)
GATEWAY_STOPPING = Event(
    751,
    "gateway_stopping",
    logging.INFO,
    ("signal", "under_way", "connections"),
    "A graceful shutdown began.",
)
GATEWAY_STOPPED = Event(
    752,
    "gateway_stopped",
    logging.INFO,
    ("seconds", "under_way"),
    "The graceful shutdown ended; requests still in progress were aborted.",
)
SETTINGS_RELOADED = Event(
    753,
    "settings_reloaded",
    logging.INFO,
    ("changed",),
    "The settings file was reloaded; changed lists the settings that differ.",
)
SETTINGS_REFUSED = Event(
    754,
    "settings_refused",
    logging.ERROR,
    ("detail",),
    "The settings file is invalid; the previous settings stay in force.",
)
LISTENER_FULL = Event(
    755,
    "listener_full",
    logging.WARNING,
    ("closed", "detail"),
    "A listener is at its limit or has no descriptor left; it closed this many idle"
    " connections to make room for new callers.",
    sampled=True,
)
LINES_LEFT_OUT = Event(
    760,
    "lines_left_out",
    logging.WARNING,
    ("lines",),
    "Lines of sampled events above the limit on log volume were not written.",
)
LIMITED_LINES_LEFT_OUT = Event(
    761,
    "limited_lines_left_out",
    logging.WARNING,
    ("limited_event", "lines"),
    "Lines of an event that others cause, above the limit per minute, were not"
    " written.",
)
GOSSIP_MALFORMED = Event(
    762,
    "gossip_malformed",
    logging.WARNING,
    ("host", "detail"),
    "A message between hosts can't be decoded and is ignored.",
    limited=True,
)

# 8xx: pools under pressure.
STORE_RESTORED = Event(
    770,
    "store_restored",
    logging.WARNING,
    ("kind", "era", "revision", "era_before", "revision_before"),
    "The store was restored from an older copy; a document of the new era was taken.",
)
STATE_KEPT = Event(
    771,
    "state_kept",
    logging.WARNING,
    ("kind", "era", "retained", "withheld"),
    "After a restore of the store, the host uses rows that the store lacks or holds"
    " differently (retained), and leaves listed ones unused (withheld).",
)
STATE_LEARNED = Event(
    772,
    "state_learned",
    logging.INFO,
    ("kind", "era", "source"),
    "Another host told this one what stays in force after a restore of the store.",
)
OLD_ERA_IGNORED = Event(
    773,
    "old_era_ignored",
    logging.WARNING,
    ("kind", "era", "current_era", "revision"),
    "A list of the store was from before its restore, or states no era, and was"
    " ignored; lasting occurrence means that a part of the store was not restored.",
    sampled=True,
)
ROLLOUT_ORDERED = Event(
    780,
    "rollout_ordered",
    logging.INFO,
    ("pool", "target", "duration", "state", "generation"),
    "An order to move a pool's requests to another version was read.",
)
ROLLOUT_STAGE = Event(
    781,
    "rollout_stage",
    logging.INFO,
    (
        "pool",
        "target",
        "state",
        "stage",
        "share",
        "canaries",
        "term",
        "seconds",
    ),
    "This host heard of a new stage of a rollout; share is the part of the requests"
    " that the version gets, on that many canaries, or on all of its upstreams for 0.",
)
ROLLOUT_DECIDED = Event(
    782,
    "rollout_decided",
    logging.INFO,
    (
        "pool",
        "target",
        "verdict",
        "stage",
        "reason",
        "seconds",
        "sent",
        "sent_old",
        "bad",
        "bad_old",
    ),
    "This host, which coordinates a rollout, started a stage or ended the rollout;"
    " counts are those of all hosts since the order.",
)
ROLLOUT_STATUS_WRITTEN = Event(
    783,
    "rollout_status_written",
    logging.INFO,
    ("pool", "target", "state"),
    "The store took the status of a rollout.",
)
ROLLOUT_STATUS_FAILED = Event(
    784,
    "rollout_status_failed",
    logging.WARNING,
    ("pool", "target", "state", "conflict", "detail"),
    "The status of a rollout could not be written; it is written again. A conflict"
    " means that the order changed since it was read.",
)
ROLLOUT_WITHDRAWN = Event(
    785,
    "rollout_withdrawn",
    logging.INFO,
    ("pool", "target", "complete"),
    "The order was removed; unless it was complete, its version gets nothing more.",
)
ROLLOUT_LEFT_OUT = Event(
    786,
    "rollout_left_out",
    logging.ERROR,
    ("pool", "target"),
    "There are too many orders; this one is not followed.",
)
ROLLOUT_TAKEN_OVER = Event(
    787,
    "rollout_taken_over",
    logging.INFO,
    ("pool", "target", "term", "stage", "silence"),
    "This host coordinates a rollout from now on, as no stage came for some time.",
)
DEPARTURE_LEARNED = Event(
    790,
    "departure_learned",
    logging.INFO,
    ("upstream", "born"),
    "Another host reported that an upstream said that it is leaving; this host sends"
    " that incarnation nothing more.",
)
DEPARTURE_DROPPED = Event(
    791,
    "departure_dropped",
    logging.WARNING,
    ("upstream", "born"),
    "More upstreams are leaving than a host remembers; it forgot this one.",
    sampled=True,
)
MEMORY_SHORT = Event(
    792,
    "memory_short",
    logging.WARNING,
    ("held", "limit"),
    "What the host holds for slow callers and upstreams is near its limit in bytes;"
    " responses to callers that read nothing for some seconds are terminated.",
)
MEMORY_REGAINED = Event(
    793,
    "memory_regained",
    logging.INFO,
    ("held", "limit"),
    "What the host holds for slow callers and upstreams is well below its limit again.",
)
RESPONSE_STREAMED = Event(
    794,
    "response_streamed",
    logging.INFO,
    ("request_id", "held"),
    "There was no memory to buffer a response; it is streamed, so that it can't be"
    " retried if it breaks off.",
    sampled=True,
)
RESPONSE_TERMINATED = Event(
    795,
    "response_terminated",
    logging.WARNING,
    ("caller", "bytes", "seconds"),
    "Memory was short, and the caller had read nothing for this time; its connection"
    " was closed.",
)
BODY_HELD_BACK = Event(
    796,
    "body_held_back",
    logging.INFO,
    ("request_id", "pool", "bytes"),
    "A request with a large body waits: no upstream of its pool has a free slot and"
    " room for the body beside those in flight to it.",
    sampled=True,
)
POOL_PRESSED = Event(
    800,
    "pool_pressed",
    logging.INFO,
    ("pool", "source"),
    "Requests wait for the pool here (own) or at another host, so the service of each"
    " account is counted and shared.",
)
POOL_RELIEVED = Event(
    801,
    "pool_relieved",
    logging.INFO,
    ("pool", "accounts"),
    "No request has waited for the pool for 2 s, so its counts were dropped.",
)
REQUEST_DISPLACED = Event(
    802,
    "request_displaced",
    logging.WARNING,
    ("pool", "account", "route", "priority", "waiting"),
    "The queue is full, so the newest request of the account furthest over its share"
    " was refused.",
    sampled=True,
)
POOL_LIMITED = Event(
    803,
    "pool_limited",
    logging.INFO,
    ("pool", "limit", "in_flight", "account"),
    "Requests at other hosts should be served first, so this host began to limit its"
    " requests in flight.",
)
POOL_UNLIMITED = Event(
    804,
    "pool_unlimited",
    logging.INFO,
    ("pool", "in_flight"),
    "This host no longer limits its requests in flight.",
)
USAGE_REPORT_REJECTED = Event(
    805,
    "usage_report_rejected",
    logging.WARNING,
    ("host", "pool"),
    "A report of accounts' service from another host is out of bounds and was left"
    " out.",
    sampled=True,
)
GUARANTEED_SERVED = Event(
    806,
    "guaranteed_served",
    logging.INFO,
    ("pool", "account", "route", "priority"),
    "A request was served before more urgent ones from the guaranteed share of its"
    " priority.",
    sampled=True,
)
ACCOUNT_LIMITED = Event(
    810,
    "account_limited",
    logging.INFO,
    ("account", "retry_after", "places", "used"),
    "Requests of an account are rejected by its rate limit; the last one was asked to"
    " return after retry_after seconds, and this many callers have a place to return.",
    sampled=True,
)
POOL_REJECTING = Event(
    811,
    "pool_rejecting",
    logging.INFO,
    (
        "pool",
        "waiting",
        "returning",
        "shed_share",
        "hosts",
        "wait",
        "retry_after",
    ),
    "A request was rejected as its pool is full; returning callers were asked to come"
    " back, hosts others report the pool, and wait is the time in which the requests"
    " ahead are served.",
    sampled=True,
)
PACING_STARTED = Event(
    812,
    "pacing_started",
    logging.WARNING,
    ("pool", "rate", "shed_share", "upstreams"),
    "Most upstreams of a pool shed; the host sends it at most rate requests a second.",
)
PACING_ENDED = Event(
    813,
    "pacing_ended",
    logging.INFO,
    ("pool", "rate", "made_no_difference"),
    "The pool is sent to without a bound again; made_no_difference when it shed the"
    " same share at a lower rate.",
)
DOCUMENTS_COMPLETE = Event(
    820,
    "documents_complete",
    logging.INFO,
    ("seconds",),
    "The host has the first configuration and upstreams, this long after its start.",
)
COLD_HELD = Event(
    830,
    "cold_held",
    logging.INFO,
    (
        "pool",
        "upstream",
        "born",
        "seconds",
        "before",
        "revision",
        "age",
        "rate",
        "senders",
    ),
    "This host holds an upstream for cold from now on, for this many seconds (before:"
    " how many were left by what it knew until now), by the document with this revision"
    " and age; rate is what the upstream bears from the fleet, senders how many hosts"
    " send requests as this one sees it.",
)
COLD_ENDED = Event(
    831,
    "cold_ended",
    logging.INFO,
    ("pool", "upstream", "born", "seconds", "sent", "reason"),
    "This host no longer holds an upstream for cold, for which it held it for this many"
    " seconds in which it sent it this many requests.",
)
COLD_SENDS = Event(
    832,
    "cold_sends",
    logging.INFO,
    ("pool", "upstream", "born", "sent", "seconds", "rate", "senders"),
    "Requests that this host sent a cold upstream in the last seconds.",
)
LEASE_SEEN = Event(
    833,
    "lease_seen",
    logging.INFO,
    ("lease", "holder", "revision", "era", "own"),
    "The store was read for who holds a lease; own when this start of the host does.",
)
LEASE_TAKEN = Event(
    834,
    "lease_taken",
    logging.INFO,
    ("lease", "revision", "era", "before"),
    "This host took a lease from another holder, or as the first one.",
)
LEASE_CALL_FAILED = Event(
    835,
    "lease_call_failed",
    logging.WARNING,
    ("lease", "detail"),
    "A call to the store for a lease failed; further failures in a row aren't logged.",
)
ASKS_UNANSWERED = Event(
    836,
    "cold_asks_unanswered",
    logging.WARNING,
    ("kind", "host", "seconds"),
    "A host that was asked for grants of a kind, as of tokens for cold upstreams, did"
    " not respond for this time; another one is asked.",
    sampled=True,
)
LEASE_RELEASED = Event(
    837,
    "lease_released",
    logging.INFO,
    ("lease", "revision"),
    "This host is stopping and released a lease, so that another one need not wait.",
)

CATALOGUE = tuple(value for value in globals().values() if isinstance(value, Event))

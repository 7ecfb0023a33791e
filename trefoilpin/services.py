"""Interfaces of the services, each found in the kernel under its name.

Every interface is a ``NamedTuple`` of plain functions. Decisions meet one another
only through these, so that a test can put a function of its own in place of any.
Expected failures are ``returns`` results.
"""

from trefoilpin.configuration_services import (
    Configurations,
    Events,
    Snapshots,
    Store,
    StoreChange,
    StoredObject,
    StoreFailure,
    StoreOutcome,
    Tickets,
)
from trefoilpin.fleet_services import (
    AddressAnswer,
    Addresses,
    Memberships,
    Notice,
    Notices,
    PeerFailure,
    Peers,
    Shutdowns,
)
from trefoilpin.request_services import (
    Entitlements,
    Forwarders,
    Keys,
    Lenders,
    Limits,
    Owners,
    Proxies,
    Quarantines,
    Queues,
    Retries,
    Routes,
)
from trefoilpin.upstream_services import (
    Attempts,
    Balancers,
    Coordinators,
    Drains,
    Health,
    SlowStarts,
    Standings,
    TakeOvers,
)
from trefoilpin.write_services import (
    Claims,
    Issuers,
    OpaqueKeys,
    Operations,
    Sightings,
    TableTransfers,
)

__all__ = [
    "AddressAnswer",
    "Addresses",
    "Attempts",
    "Balancers",
    "Claims",
    "Configurations",
    "Coordinators",
    "Drains",
    "Entitlements",
    "Events",
    "Forwarders",
    "Health",
    "Issuers",
    "Keys",
    "Lenders",
    "Limits",
    "Memberships",
    "Notice",
    "Notices",
    "OpaqueKeys",
    "Operations",
    "Owners",
    "PeerFailure",
    "Peers",
    "Proxies",
    "Quarantines",
    "Queues",
    "Retries",
    "Routes",
    "Shutdowns",
    "Sightings",
    "SlowStarts",
    "Snapshots",
    "Standings",
    "Store",
    "StoreChange",
    "StoreFailure",
    "StoreOutcome",
    "StoredObject",
    "TableTransfers",
    "TakeOvers",
    "Tickets",
]

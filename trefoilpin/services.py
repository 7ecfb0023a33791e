"""Interfaces of the services, which find each other in the kernel by name.

Every interface is a ``NamedTuple`` of plain functions. Services depend only on these
interfaces, so a test can replace any function by one of its own. Expected failures are
``returns`` results.
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
    Forwarders,
    Keys,
    Limits,
    PoisonRequests,
    Proxies,
    Queues,
    QuotaOwners,
    Retries,
    Routes,
    UnitHoldings,
    UnitLenders,
)
from trefoilpin.upstream_services import (
    Attempts,
    Balancers,
    CoordinatorHandovers,
    Coordinators,
    Drains,
    Health,
    SlowStarts,
    UpstreamStates,
)
from trefoilpin.write_services import (
    Claims,
    DepartedHosts,
    Issuers,
    OpaqueKeys,
    Operations,
    TableTransfers,
)

__all__ = [
    "AddressAnswer",
    "Addresses",
    "Attempts",
    "Balancers",
    "Claims",
    "Configurations",
    "CoordinatorHandovers",
    "Coordinators",
    "DepartedHosts",
    "Drains",
    "Events",
    "Forwarders",
    "Health",
    "Issuers",
    "Keys",
    "Limits",
    "Memberships",
    "Notice",
    "Notices",
    "OpaqueKeys",
    "Operations",
    "PeerFailure",
    "Peers",
    "PoisonRequests",
    "Proxies",
    "Queues",
    "QuotaOwners",
    "Retries",
    "Routes",
    "Shutdowns",
    "SlowStarts",
    "Snapshots",
    "Store",
    "StoreChange",
    "StoreFailure",
    "StoreOutcome",
    "StoredObject",
    "TableTransfers",
    "Tickets",
    "UnitHoldings",
    "UnitLenders",
    "UpstreamStates",
]

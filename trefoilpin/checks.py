"""Validation of the whole configuration before a ticket is accepted."""

from trefoilpin.records import KINDS

__all__ = ["check"]

MAX_DEADLINE_SECONDS = 3600.0


def merge_changes(configurations, ticket):
    """Return the records by id by kind that a ticket would lead to."""
    record_by_id_by_kind = {
        "account": dict(configurations.accounts_by_id),
        "key": dict(configurations.keys_by_id),
        "pool": dict(configurations.pools_by_id),
        "route": dict(configurations.routes_by_id),
        "zone": dict(configurations.zones_by_id),
    }
    for change in ticket.changes:
        record_by_id = record_by_id_by_kind[change.kind]
        if change.state is None:
            record_by_id.pop(change.id, None)
        else:
            record_by_id[change.id] = change.state
    return record_by_id_by_kind


def check(configurations, ticket):
    """Validate the configuration that a ticket would lead to.

    Parameters
    ----------
    configurations : Configurations
    ticket : ChangeTicket

    Returns
    -------
    str or None
        Description of the first error, with the object and the field.
    """
    if not ticket.changes:
        return "changes: must not be empty"
    names = [(change.kind, change.id) for change in ticket.changes]
    if len(set(names)) < len(names):
        return "changes: an object is touched twice"
    after = merge_changes(configurations, ticket)
    for kind in KINDS:
        for record in after[kind].values():
            error = CHECK_BY_KIND[kind](record, after)
            if error is not None:
                return f"{kind} {record.id!r}.{error}"
    return None


def check_account(account, after):
    """Return the error in a client account, or None."""
    if not account.rate > 0:
        return "rate: must be above zero"
    if not account.burst >= 1:
        return "burst: must be at least 1"
    if not account.weight > 0:
        return "weight: must be above zero"
    return None


def check_key(key, after):
    """Return the error in a key, or None."""
    if key.account not in after["account"]:
        return f"account: no account {key.account!r} exists"
    if "." in key.id:
        return "id: must not hold a dot"
    for field in ("salt", "digest"):
        try:
            bytes.fromhex(getattr(key, field))
        except ValueError:
            return f"{field}: must be hexadecimal"
    return None


def check_pool(pool, after):
    """Return the error in a pool, or None."""
    identifiers = [upstream.id for upstream in pool.upstreams]
    if not identifiers:
        return "upstreams: must not be empty"
    if len(set(identifiers)) < len(identifiers):
        return "upstreams: an id stands twice"
    if not 0 <= pool.floor <= len(identifiers):
        return f"floor: must be from 0 to {len(identifiers)}"
    if pool.connections < 1:
        return "connections: must be at least 1"
    for upstream in pool.upstreams:
        if upstream.zone not in after["zone"]:
            return f"upstreams: no zone {upstream.zone!r} exists"
        if upstream.slots < 1:
            return f"upstreams: slots of {upstream.id!r} must be at least 1"
    return None


def check_route(route, after):
    """Return the error in a route, or None."""
    if route.pool not in after["pool"]:
        return f"pool: no pool {route.pool!r} exists"
    if not route.path_prefix.startswith("/"):
        return "path_prefix: must start with a slash"
    if not 0 < route.deadline <= MAX_DEADLINE_SECONDS:
        return f"deadline: must be above 0 and at most {MAX_DEADLINE_SECONDS:g}"
    for account in route.accounts:
        if account not in after["account"]:
            return f"accounts: no account {account!r} exists"
    return None


def check_zone(zone, after):
    """Return the error in an availability zone, or None."""
    if not zone.region:
        return "region: must not be empty"
    return None


CHECK_BY_KIND = {
    "account": check_account,
    "key": check_key,
    "pool": check_pool,
    "route": check_route,
    "zone": check_zone,
}

"""Idempotency keys: for now every request runs once and none is remembered."""

from returns.result import Success

from trefoilpin.messages import Permit
from trefoilpin.services import Operations

__all__ = ["create"]


def create(kernel):
    """Create the service ``operations``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Operations
    """

    def parse(account, request):
        return Success(None)

    def begin(key, route, account, deadline):
        return Success(Permit(key, "", route, account))

    def finish(permit, attempt):
        return None

    service = Operations(parse, begin, finish)
    kernel.register("operations", service)
    return service

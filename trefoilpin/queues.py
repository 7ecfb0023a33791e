"""Order in which a pool serves the accounts: first come, first served."""

from trefoilpin.services import Queues

__all__ = ["create"]


def create(kernel):
    """Create the service ``queues``.

    Parameters
    ----------
    kernel : Kernel

    Returns
    -------
    Queues
    """

    def enter(pool, account, deadline, choose):
        return choose()

    def released(pool):
        return None

    service = Queues(enter, released)
    kernel.register("queues", service)
    return service

"""A retry budget that one host keeps alone."""

from trefoilpin import retries
from trefoilpin.gateway.admission.retry_budgets import RetryBudgets

__all__ = ["create"]


def create(kernel, share, min_per_second, max_balance):
    """Create the service ``retry_budgets`` over a token bucket of this host.

    Parameters
    ----------
    kernel : Kernel
    share, min_per_second, max_balance : float
        As in ``retries.create``.

    Returns
    -------
    RetryBudgets
    """
    bucket = retries.create(kernel, share, min_per_second, max_balance)

    def withdraw(pool, reserved=0.0, seconds=0.0):
        return float("inf") if bucket.withdraw(pool, reserved) else None

    service = RetryBudgets(
        bucket.deposit,
        withdraw,
        lambda pool, send_by: None,
        bucket.balance,
        None,
        None,
        None,
        None,
    )
    kernel.register("retry_budgets", service)
    return service

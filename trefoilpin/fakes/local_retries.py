"""A retry budget that one host keeps alone."""

from trefoilpin import retries
from trefoilpin.gateway.admission.retry_budgets import RetryBudgets

__all__ = ["create"]


def create(kernel, share, min_per_second, max_balance, valid_seconds=float("inf")):
    """Create the service ``retry_budgets`` over a token bucket of this host.

    Parameters
    ----------
    kernel : Kernel
    share, min_per_second, max_balance : float
        As in ``retries.create``.
    valid_seconds : float, optional
        Time in which a retry has to be sent.

    Returns
    -------
    RetryBudgets
    """
    bucket = retries.create(kernel, share, min_per_second, max_balance)

    def withdraw(pool, reserved=0.0, seconds=0.0):
        is_taken = bucket.withdraw(pool, reserved)
        return kernel.clock.now() + valid_seconds if is_taken else None

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

"""A fleet of proxies for upstreams that fail partially and silently.

A request passes through the modules in this order: ``frontends`` receives it from a
caller, ``proxies`` decides how to handle it with the help of ``routes``, ``keys``,
``limits``, ``operations``, ``queues`` and ``balancers``, and ``forwarders`` sends it
to an upstream. ``daemons`` creates all services of one host.
"""

from trefoilpin.kernel import Clock, Kernel, create_kernel
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["Clock", "Kernel", "Reason", "Refusal", "Verdict", "create_kernel"]

"""A proxy fleet for upstreams that fail partially and silently.

The modules follow a request and what it needs, in this order: ``frontends`` takes
it from a caller, ``proxies`` decides, asking ``routes``, ``keys``, ``limits``,
``operations``, ``queues`` and ``balancers``, and ``forwarders`` sends it to an
upstream. ``daemons`` puts the services of one host together.
"""

from trefoilpin.kernel import Clock, Kernel, create_kernel
from trefoilpin.verdicts import Reason, Refusal, Verdict

__all__ = ["Clock", "Kernel", "Reason", "Refusal", "Verdict", "create_kernel"]

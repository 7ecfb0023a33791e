"""The proxy fleet over a store that others write: configuration, upstreams, zones.

The modules follow a request and what it needs. ``frontends`` takes it from a caller,
``proxies`` decides, asking ``routing``, ``rates``, ``suspects``, ``queues`` and
``upstreams``, and ``forwarders`` of the parent package sends it. ``readers`` reads the
store, ``knowledge`` holds what was read and how old it is, ``members`` knows the other
hosts and ``bulletins`` exchanges all of that with them. ``daemons`` puts one host
together.
"""

"""The proxy fleet over a store that others write: configuration, upstreams, zones.

The modules follow a request and what it needs. ``frontends`` takes it from a caller,
``proxies`` decides, asking ``routing``, ``rate_limits``, ``poison_requests``, ``queues`` and
``upstreams``, and ``forwarders`` of the parent package sends it. ``store_readers`` reads the
store, ``document_cache`` holds what was read and how old it is, ``members`` knows the other
hosts and ``gossip`` exchanges all of that with them. ``daemons`` puts one host
together.
"""

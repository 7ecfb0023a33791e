"""Proxy fleet whose configuration, upstreams and zones come from an external store.

A request passes these modules: ``frontends`` accepts it from a caller, ``proxies``
handles it with ``routing``, ``rate_limits``, ``poison_requests``, ``queues`` and
``upstreams``, and ``dispatchers`` sends it through ``forwarders`` of the parent
package. ``store_readers`` reads the store, ``document_cache`` holds the documents with
their age, ``members`` tracks the other hosts and ``gossip`` exchanges state with them.
``daemons`` assembles one host.
"""

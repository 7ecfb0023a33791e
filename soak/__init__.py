"""Soak test: host processes under random faults, checked against invariants.

``hosts`` starts the processes, ``environments`` the store and the upstreams, and
``fault_proxies`` the loopback proxies in front of them. ``callers`` sends requests,
``faults`` injects faults drawn from a seed, ``checks`` verifies the invariants and
``runs`` does one run from start to result.
"""

"""Fault soak: real hosts as processes, faults from outside, promises checked.

``links`` are loopback proxies, ``hosts`` the processes, ``worlds`` the store and the
upstreams with what was changed when, ``callers`` what callers saw, ``faults`` the
series drawn from a seed, ``checks`` the promises, ``runs`` one run from start to
verdict.
"""

"""Fakes of the store, the upstreams and the network, for tests and benchmarks."""

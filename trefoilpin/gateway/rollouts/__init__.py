"""Rollouts of new versions of upstreams: the order, the decision, the evidence."""

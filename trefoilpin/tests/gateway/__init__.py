"""Tests of the gateway over a store that others write."""

"""Small stand-ins for what is outside: the store, upstreams, the network."""

"""The path of a caller's request, from the front end to its answer."""

"""Whether and when a request is admitted: queues, rates, memory, unsafe requests."""

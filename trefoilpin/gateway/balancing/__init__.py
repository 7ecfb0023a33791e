"""Which upstream gets a request: health, load and selection."""

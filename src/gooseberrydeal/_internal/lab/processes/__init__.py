"""Hold what runs against a deployment of separate processes."""

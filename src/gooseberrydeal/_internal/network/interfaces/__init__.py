"""Hold one protocol for each outside system."""

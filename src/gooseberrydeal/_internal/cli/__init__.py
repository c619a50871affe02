"""Hold the entry points of the programs."""

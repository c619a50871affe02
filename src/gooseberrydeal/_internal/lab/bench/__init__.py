"""Hold the experiments."""

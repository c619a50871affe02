"""Hold helpers that know nothing of serving."""

"""Hold the private parts of gooseberrydeal."""

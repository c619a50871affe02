"""Hold the messages between the system's own processes."""

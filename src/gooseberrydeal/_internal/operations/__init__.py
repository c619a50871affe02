"""Hold the tasks that own sockets and state."""

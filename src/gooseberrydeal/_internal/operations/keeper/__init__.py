"""Hold the tasks of the keeper program."""

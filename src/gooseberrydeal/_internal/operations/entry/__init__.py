"""Hold the tasks of the entry program."""

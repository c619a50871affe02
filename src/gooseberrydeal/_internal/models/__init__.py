"""Hold plain data."""

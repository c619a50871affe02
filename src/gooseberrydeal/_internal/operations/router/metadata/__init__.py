"""Read the metadata store."""

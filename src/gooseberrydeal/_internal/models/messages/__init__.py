"""Define the messages that entries, keepers and ``gooseberry-ctl`` exchange."""

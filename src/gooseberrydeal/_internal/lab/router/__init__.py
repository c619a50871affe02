"""Stand in for the users' platform: its metadata store and its model engines."""

"""Stand-ins for the platform, the engines and the clients of the second review."""

"""Relay HTTP/1.1 byte by byte between callers and backend servers."""

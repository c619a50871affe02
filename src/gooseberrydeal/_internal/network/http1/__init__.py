"""Relay HTTP/1.1 requests and responses between callers and backend servers."""

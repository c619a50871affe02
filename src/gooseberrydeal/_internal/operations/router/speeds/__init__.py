"""Observe responses for the speeds of their servers."""

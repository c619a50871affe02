"""Decide which client account a request belongs to."""

"""Provide helpers that are independent of the serving logic."""

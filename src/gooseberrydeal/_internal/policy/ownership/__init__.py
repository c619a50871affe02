"""Decide which host gives an engine its orders."""

"""Decide which requests of an account are within its quota."""

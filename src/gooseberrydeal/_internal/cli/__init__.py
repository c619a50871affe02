"""Implement the entry points of the programs."""

"""Decide on adapter loads by what they cost."""

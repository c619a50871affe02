"""Translate the platform's names, formats and calls; decide nothing."""

"""Serve requests together with other hosts."""

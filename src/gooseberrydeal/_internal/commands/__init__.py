"""Implement each operator command in a module of its own."""

"""Decide in which order waiting requests are served, and which are refused."""

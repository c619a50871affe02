"""Decide how much a host may hold for its clients, and what to do beyond that."""

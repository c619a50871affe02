"""Authenticate requests of client accounts, and keep the proof of their keys."""

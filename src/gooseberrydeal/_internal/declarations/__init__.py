"""Implement the library with which operators declare a configuration."""

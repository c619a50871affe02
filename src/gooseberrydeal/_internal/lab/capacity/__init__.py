"""Measure what control costs, and work out the stated size."""

"""Benchmarks, run manually; each prints its results as a table."""

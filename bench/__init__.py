"""Benchmarks, run manually; each prints its results as a table.

Scenarios in features/ use the simulations too.
"""

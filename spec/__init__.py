"""Specifications of the core protocol and their model checking."""

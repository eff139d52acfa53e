"""Benches; each prints its figures and the command that gave them."""

"""Measuring programs; each prints a table and is run by hand."""

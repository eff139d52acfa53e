"""The few verbs of the package."""

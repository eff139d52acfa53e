"""Stand-ins for what surrounds the system, for tests, demo and bench."""

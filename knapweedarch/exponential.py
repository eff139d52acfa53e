"""Exponential decay of averages."""


def decay_factor(elapsed_s: float, half_life_s: float) -> float:
    """Returns the factor by which a value has decayed after a time."""
    return 0.5 ** (elapsed_s / half_life_s)

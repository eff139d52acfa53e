"""Virtual-time bench of the decision core."""

"""Randomized soak of the relay: real processes, faults from outside."""

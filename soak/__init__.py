"""Randomized soak test: real relay processes under faults injected from outside."""

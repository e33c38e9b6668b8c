"""Measurements of speed and memory, printed as JSON lines."""

"""Demonstration that runs the whole path with real processes."""

"""Comparisons of design choices."""

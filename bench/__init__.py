"""Benchmarks of speed, memory and control traffic, printed as JSON lines."""

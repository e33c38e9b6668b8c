"""Simulations that compare design alternatives, printed as JSON lines."""

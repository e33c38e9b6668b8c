"""Scenario files and their runner on virtual time."""

"""End-to-end demonstration with real processes on one machine."""

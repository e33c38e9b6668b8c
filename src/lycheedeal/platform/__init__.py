"""Adapter between the users' platform and the packet relay."""

"""Platform adapter of the packet relay: packet format, store client, settings."""

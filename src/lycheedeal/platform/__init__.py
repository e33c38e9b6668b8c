"""Platform adapter of ``lychee-relay``: packet format, store client, settings."""

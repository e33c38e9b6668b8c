"""Event loop, sockets and outside systems of one daemon."""

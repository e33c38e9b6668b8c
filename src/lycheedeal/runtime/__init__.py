"""Event loop, sockets and clients around the decision core."""

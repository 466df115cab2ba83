"""The daemon: the I/O layer around the decision core."""

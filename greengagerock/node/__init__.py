"""The decision core of one host."""

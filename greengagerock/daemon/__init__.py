"""The daemon: a thin shell around the decision core."""

"""Measurements, each runnable by one command and reported as ratios of one run."""

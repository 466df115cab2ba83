"""Measurements; each is one command and reports ratios between figures of the same run."""

"""Stand-in endpoints, simulated systems, builders of test data and launchers of processes."""

"""Stand-in endpoints, test-data builders and the launcher of example systems."""

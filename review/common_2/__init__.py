"""Stand-ins of the second review: a deployment of real processes, instances and an operator."""

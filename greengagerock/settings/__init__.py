"""Settings files: schema, validation and faults with their location."""

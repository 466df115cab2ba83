"""The replicated state machine, and the controller that leads it."""

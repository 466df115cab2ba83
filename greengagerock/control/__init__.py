"""The replicated state machine and the controller, which makes the leader's decisions."""

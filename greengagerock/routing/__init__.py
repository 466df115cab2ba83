"""Routing of callers' requests to endpoints."""

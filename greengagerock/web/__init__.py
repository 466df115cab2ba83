"""HTTP servers for callers, endpoints and operators, and the HTTP client for endpoints."""

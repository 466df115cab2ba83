"""Library for endpoints: announcements, grants and the validation of orders."""

"""Stand-ins and process starters of the cases of the third review."""

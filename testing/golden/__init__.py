"""Golden files: recorded sessions as raw HTTP requests and responses."""

"""HTTP plumbing that every role uses: the server, one exchange, and the form of responses."""

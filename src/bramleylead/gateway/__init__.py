"""The gateway: receives callers' requests and forwards each to a replica of its choice."""

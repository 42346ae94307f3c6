"""Change tickets: read, spread, applied, and shown to be in force."""

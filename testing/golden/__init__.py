"""Golden files: whole sessions at the callers' side, kept as raw requests and answers."""

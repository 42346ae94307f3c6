"""Change tickets: reading, distributing and applying them, and proving that they are current."""

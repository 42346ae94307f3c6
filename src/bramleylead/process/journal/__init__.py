"""A partition's journal: entries, state, segments in the store."""

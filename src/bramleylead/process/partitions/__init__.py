"""Partitions of programs: owners, second copies, takeover and recovery."""

"""Calls of programs, from the entry to their journaled end."""

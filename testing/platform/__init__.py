"""Tests of ``bramleylead.platform``."""

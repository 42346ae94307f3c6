"""Tests of ``bramleylead.process``."""

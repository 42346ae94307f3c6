"""Tests of ``bramleylead.connection``."""

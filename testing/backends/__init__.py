"""Tests of bramleylead.backends."""

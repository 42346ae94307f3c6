"""Tests of bramleylead.standins."""

"""Tests of scheduling."""

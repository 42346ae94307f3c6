"""Tests for scheduling."""

"""Membership by probes and news."""

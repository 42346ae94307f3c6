"""Budgets, enforced by escrow grants to partitions."""

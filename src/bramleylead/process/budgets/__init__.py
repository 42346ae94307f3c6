"""Budgets by escrow."""

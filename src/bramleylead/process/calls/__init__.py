"""Handling of program calls, from the node that receives them to their journaled outcome."""

"""Odd input for whole processes, through their sockets, beside a flow of sound requests."""

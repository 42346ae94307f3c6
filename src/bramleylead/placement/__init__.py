"""Decisions of a gateway without input or output: which replica runs a request, and which waits.

Each module names the load pattern that it answers. Times are passed in or read from the event
loop's clock; nothing here sends, receives or logs on behalf of a caller.
"""

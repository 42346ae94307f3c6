"""The role before the callers: takes a request, decides, and sends it to a replica itself."""

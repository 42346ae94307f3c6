"""The members of the fleet as every part of a node sees them, and hashing over them."""

"""Fleet membership by probing and gossip."""

"""The ledger role, on VMs with disks: replicates kept turns and the programs' token spending."""

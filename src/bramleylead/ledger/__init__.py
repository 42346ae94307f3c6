"""The role on VMs with disks: kept turns and what programs have spent, on several disks each."""

"""Real processes under faults from outside, judged by what callers and replicas saw."""

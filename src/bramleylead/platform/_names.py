"""Names of headers, paths and object kinds that the platform defines."""

from __future__ import annotations

REQUEST_ID = "bramleylead-request-id"
DEADLINE_MS = "bramleylead-deadline-ms"
PROGRAM_ID = "bramleylead-program-id"
SESSION_ID = "bramleylead-session-id"
FINISH_MS = "bramleylead-finish-ms"
TOKEN_BUDGET = "bramleylead-token-budget"
TOKEN_USAGE = "bramleylead-token-usage"
PROMPT_PREFIX = "bramleylead-prompt-prefix"
PREVIOUS_TURN = "bramleylead-previous-turn"
EXPECT_INSTANCE = "bramleylead-expect-instance"
SERVER_STAMP = "bramleylead-server-stamp"
SERVER_LOAD = "bramleylead-server-load"
NOT_RUN = "bramleylead-not-run"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
CREDENTIAL = "bramleylead-credential"
TENANT = "bramleylead-tenant"
AFFINITY_KEY = "bramleylead-affinity-key"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"
LEAVING = "1"
"""Value of the header with which a replica announces that it leaves."""
RETRY_AFTER = "retry-after"

HOP_HEADERS = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
GATEWAY_HEADERS = frozenset(
    {
        DEADLINE_MS,
        EXPECT_INSTANCE,
        LAST_EVENT_ID,
        CREDENTIAL,
        TENANT,
        "bramleylead-expect-version",
        "bramleylead-hold",
        "bramleylead-kv-backup",
        "bramleylead-pin-ms",
        "kv-fetch",
        "kv-from",
    }
)
"""Not passed on from a caller: set by the gateway only, or meant for the gateway."""

PRESSURE_CONTRACT = "pressure"
"""Replicas crash if the requests that they hold exceed their memory; readers may be slow."""

READY_PATH = "/api/readiness"
OBJECTS_PATH = "/api/objects"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
REPLICA_KIND = "servers"
RETIREMENT_KIND = "retirements"
STALE_READ = "serializable=1"
"""Query of a cheap read whose result may be seconds out of date."""
FINALIZERS = "finalizers"
STATE_RUNNING = "running"
STATE_COMPLETED = "completed"

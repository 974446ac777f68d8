"""The URL paths of all interfaces."""

from __future__ import annotations

# Served by oatport.
SUBMISSIONS_PATH = "/submissions"
READY_PATH = "/ready"
HEARTBEAT_PATH = "/hello"
PEER_PATH = "/peer"

# Served by the workers.
COMMANDS_PATH = "/commands"
WORKER_STATUS_PATH = "/show"

# Served by the cloud.
CATALOG_PATH = "/catalog"
MACHINES_PATH = "/hosts"
RELEASE_PATH = "/hosts/release"

# Served by the state service.
STORE_PATH = "/store"
COMMIT_PATH = "/commit"
LEASES_PATH = "/holds"
WATCH_PATH = "/changes"

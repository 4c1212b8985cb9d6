"""The manifest of a small deployment."""

from standins.store import Store

HOST = "kiosk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def route(
    name: str, kind: str, service: str, max_attempts: int, timeout_ms: int = 2500
) -> dict[str, object]:
    """Return a route of ``kind`` with the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": service,
        "maxAttempts": max_attempts,
        "anonymousAccess": False,
        "sessionAffinity": False,
        "streamResumption": False,
    }


def service(
    name: str, cold_start_s: float = 0.0, cold_per_s: float = 0.0
) -> dict[str, object]:
    """Return a plain service."""
    return {
        "name": name,
        "healthCheckPath": "/health",
        "connectionLimit": 96,
        "protocol": "h1",
        "tls": False,
        "coldStartS": cold_start_s,
        "coldPerS": cold_per_s,
    }


def put_manifest(
    store: Store,
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
) -> None:
    """Write a manifest to the store."""
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }
    store.put_json("keyed.op", "config", document)

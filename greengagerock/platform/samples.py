"""Valid messages and settings of the platform, which the fuzzer mutates."""

REPORT = {
    "address": "10.128.0.9:8080",
    "born": 1_764_800_000_000,
    "info": {"service": "till", "zone": "a", "max-concurrency": 3},
    "status": {"state": "ready", "sequence": 4, "warmup-left": "0ms"},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e"]],
}
PATCH = {
    "upsert": {
        "routes": {
            "columns": ["name", "host", "path-prefix", "type", "timeout", "max-attempts"]
            + ["version", "service"],
            "rows": [["r", "h.example", "/a/", "safe", "800ms", 2, 7, "till"]],
        },
        "services": {
            "columns": ["name", "health-path", "max-conns", "sharded", "warm", "version"],
            "rows": [["till", "/health", 130, True, "2s", 7]],
        },
    },
    "remove": {"routes": [{"name": "old", "version": 9}]},
}
SETTINGS = {
    "node-name": "edge-1",
    "ip": "10.1.0.35",
    "zone": "a",
    "listen": {"front": "10.1.0.35:8144", "ready": "10.1.0.35:8140"},
    "internal-ports": [7660, 7675],
    "seeds": ["10.1.0.38:8146"],
    "bounds": ["grace=6s", "retry-budget-ratio=0.2"],
}

import java.util.List;
import java.util.Map;

/** The parts of a configuration and of a worker's entry, as the operator and the workers write them. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String ENGINES = "huvo11a";
    static final String DESK = "wuno96b";
    static final List<String> ZONES = List.of("rennes", "brest");

    private Site() {
    }

    static Map<String, Object> config(long version, List<?> routes, List<?> tenants) {
        Map<String, Object> engine = Json.map("slots", 64, "kv_capacity", 526305, "kv_token_bytes", 163840,
            "bandwidth_mbps", 2000000.0, "moves", true, "backups", true, "stride", 11, "most", 12,
            "kv_retention_s", 5.0, "switch_s", 3.0, "pin_ms", 4000.0, "hold_ms", 2000.0,
            "models", List.of(Json.map("name", "m")));
        List<Object> services = List.of(
            Json.map("name", ENGINES, "health_path", "/health", "max_connections", 360, "protocol", "h1",
                "tls", false, "engine", engine),
            Json.map("name", DESK, "health_path", "/health", "max_connections", 96, "protocol", "h1", "tls", false));
        Map<String, Object> limits = Json.map("header_bytes", 16384, "body_bytes", 4194304,
            "header_timeout_ms", 3000, "idle_timeout_ms", 15000);
        return Json.map("version", version, "routes", routes, "services", services, "limits", limits,
            "tenants", tenants);
    }

    static Map<String, Object> streamRoute(String prefix) {
        return Json.map("name", "r-6tta828", "host", HOST, "path_prefix", prefix, "kind", "streaming",
            "timeout_ms", 5000, "objective_ms", 800, "priority", 0, "service", ENGINES, "max_attempts", 2,
            "public", false, "session_affinity", true, "resumable", true, "gap_target_ms", 150);
    }

    static Map<String, Object> deskRoute(String prefix, String kind, int attempts) {
        return Json.map("name", "r-m82thhk", "host", HOST, "path_prefix", prefix, "kind", kind,
            "timeout_ms", 1500, "objective_ms", 386, "priority", 1, "service", DESK, "max_attempts", attempts,
            "public", false);
    }

    static Map<String, Object> tenant(String name, String... keys) {
        return Json.map("name", name, "api_keys", List.of(keys), "priority", 1, "unit", "token_stream",
            "uncached_tokens", 200, "rate_per_s", 458489, "burst", 458489);
    }

    /** The entry of a worker that is ready. */
    static Map<String, Object> entry(String service, String address, String zone, int slots, String phase) {
        Map<String, Object> entry = Json.map("service", service, "address", address, "zone", zone, "version", "v1",
            "slots", slots, "state", "ready", "cold_ms", 0, "sequence", 1, "born", System.currentTimeMillis());
        if (phase != null) {
            entry.put("phase", phase);
            entry.put("models", List.of(Json.map("name", "m", "version", 1, "adapters", List.of())));
        }
        return entry;
    }
}

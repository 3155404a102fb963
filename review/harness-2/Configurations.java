/** Configurations like the example on the users' pages, with the routes and services of the Penmark sheet. */
final class Configurations {
    static final String LIMITS =
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},";
    static final String TENANTS = "\"tenants\":[{\"name\":\"stalls\",\"api_keys\":[\"k1\"],\"priority\":1}]";
    static final String COUNTER =
        "{\"name\":\"stall-counter\",\"health_path\":\"/healthz\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    static final String ENGINES =
        "{\"name\":\"scribe-models\",\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":3.0,\"cold_per_s\":16.0,\"engine\":{\"slots\":64,\"kv_capacity\":470958,\"kv_token_bytes\":35136,"
            + "\"link_mbps\":1500000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
            + "\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m0\",\"cost\":0.016},{\"name\":\"m1\",\"cost\":0.12},{\"name\":\"m2\",\"cost\":0.24}]}}";
    static final String PAYMENTS =
        "{\"name\":\"r-pay\",\"host\":\"stall.example\",\"path_prefix\":\"/pay/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1200,"
            + "\"target_latency_ms\":193,\"priority\":2,\"service\":\"stall-counter\",\"max_attempts\":1,\"public\":false,\"sticky\":false}";
    static final String LOOKUPS =
        "{\"name\":\"r-look\",\"host\":\"stall.example\",\"path_prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":1200,"
            + "\"target_latency_ms\":193,\"priority\":2,\"service\":\"stall-counter\",\"max_attempts\":2,\"public\":false,\"sticky\":false}";
    /** What engines add to their heartbeats. */
    static final String MODELS =
        "\"phase\":\"unified\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]},{\"name\":\"m1\",\"version\":1,\"adapters\":[]},"
            + "{\"name\":\"m2\",\"version\":1,\"adapters\":[]}],";
    static final String KEY = "Authorization: Bearer k1\r\n";

    private Configurations() {
    }

    static String of(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "]," + LIMITS + TENANTS + "}";
    }

    static String stream(String name, String path, int timeoutMillis, int targetMillis, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"stall.example\",\"path_prefix\":\"" + path + "\",\"kind\":\"streaming\",\"timeout_ms\":"
            + timeoutMillis + ",\"target_latency_ms\":" + targetMillis + ",\"priority\":0,\"sizes\":[\"m0\",\"m1\",\"m2\"],"
            + "\"service\":\"scribe-models\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":" + resumable
            + ",\"itl_target_ms\":1000}";
    }

    static String promptHeaders(int deadlineMillis, int number) {
        return KEY + "X-Carawaytrack-Deadline-Ms: " + deadlineMillis + "\r\nX-Carawaytrack-Model-Name: *\r\n"
            + "X-Carawaytrack-Token-Usage: 628,300\r\nX-Carawaytrack-Prefix-Hash: a1:119,a2:79,b" + Integer.toHexString(number) + ":430\r\n";
    }
}

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients keep their connections open while a configuration raises `max_header_bytes` from 8,192 to 16,384. Later than
 * `config_apply_ms` after its acknowledgement they send requests with 10,000 bytes of headers on them.
 */
final class StaleHeaderLimit {
    private static final int CLIENTS = 20;
    private static final int OLD_LIMIT_BYTES = 8_192;
    private static final int NEW_LIMIT_BYTES = 16_384;
    private static final int LARGE_HEADER_BYTES = 10_000;

    /** Refusals of proper requests that the rule DENIED allows, beside one in 500 requests. */
    private static final int ALLOWED_REFUSALS = 5;

    private static final String CONFIGURATION = """
        {"version":%d,"routes":[
          {"name":"lookup","host":"stalls.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":1200,
           "target_latency_ms":193,"priority":2,"service":"counter","max_attempts":2,"public":false}],
         "services":[
          {"name":"counter","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,
           "cold_start_s":0.0,"cold_per_s":0.0}],
         "limits":{"max_header_bytes":%d,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
         "tenants":[{"name":"stall","api_keys":["key-of-stall"],"priority":1}]}
        """;

    private StaleHeaderLimit() {
    }

    public static void main(String[] arguments) throws Exception {
        int result;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            result = play(fleet);
        } catch (IOException | RuntimeException failure) {
            System.out.println("the case could not run: " + failure);
            result = Fleet.COULD_NOT_RUN;
        }
        System.exit(result);
    }

    private static int play(Fleet fleet) throws Exception {
        fleet.start(3, CONFIGURATION.formatted(3, Fleet.TROUBLE ? OLD_LIMIT_BYTES : NEW_LIMIT_BYTES));
        for (Fleet.Host host : fleet.hosts) {
            fleet.keepAnnouncing(new Replica(fleet, "counter-" + host.zone, "counter", host.zone, Replica.call(43)));
        }
        Fleet.sleep(Fleet.CONTACT_MILLIS + 1_000);

        int requests = 0;
        List<Socket> kept = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            Socket socket = fleet.connect(fleet.hosts.get(i % fleet.hosts.size()));
            kept.add(socket);
            requests++;
            if (send(fleet, socket, "small-" + i, 100).status != 200) throw new IOException("a small request failed");
        }
        if (fleet.order("POST", "/-/Config.Replace", CONFIGURATION.formatted(7, NEW_LIMIT_BYTES)).status != 200) {
            throw new IOException("the change was not acknowledged");
        }
        Fleet.sleep(Fleet.CONFIG_APPLY_MILLIS + 1_000);

        int deniedOnNew = 0;
        int deniedOnKept = 0;
        for (int i = 1; i <= CLIENTS; i++) {
            requests += 2;
            try (Socket socket = fleet.connect(fleet.hosts.get(i % fleet.hosts.size()))) {
                if (isOwn4xx(send(fleet, socket, "new-" + i, LARGE_HEADER_BYTES))) deniedOnNew++;
            }
            try (Socket socket = kept.get(i - 1)) {
                if (isOwn4xx(send(fleet, socket, "kept-" + i, LARGE_HEADER_BYTES))) deniedOnKept++;
            }
        }
        int denied = deniedOnNew + deniedOnKept;
        boolean broken = denied > ALLOWED_REFUSALS + requests / 500;
        String summary = "of " + requests + " proper requests " + denied + " ended with a 4xx of the host: " + deniedOnKept
            + " of " + CLIENTS + " on connections from before the change, " + deniedOnNew + " of " + CLIENTS
            + " on new ones: " + (broken ? "DENIED broken" : "held");
        fleet.note(summary);
        System.out.println(summary);
        return broken ? Fleet.BROKEN : Fleet.HELD;
    }

    private static boolean isOwn4xx(Http.Answer answer) {
        return answer.status / 100 == 4 && answer.status != 408 && answer.status != 421 && answer.status != 429
            && !answer.headers.containsKey("x-carawaytrack-response-seal");
    }

    private static Http.Answer send(Fleet fleet, Socket socket, String id, int headerBytes) {
        try {
            socket.setSoTimeout(3_000);
            OutputStream output = socket.getOutputStream();
            String head = "GET /lookup/1 HTTP/1.1\r\nHost: stalls.example\r\nAuthorization: Bearer key-of-stall\r\n"
                + "X-Carawaytrack-Attempt-Id: " + id + "\r\nX-Carawaytrack-Deadline-Ms: 2500\r\nX-Trace: "
                + "t".repeat(headerBytes) + "\r\n\r\n";
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = socket.getInputStream();
            Http.Answer answer = Http.readAnswer(input);
            fleet.note("client sent " + id + " with " + head.length() + " bytes of headers, got " + answer);
            return answer;
        } catch (IOException failure) {
            fleet.note("client of " + id + ": " + failure);
            return Http.Answer.NONE;
        }
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One message of a session crashes each replica that begins to run it, and comes again every two seconds at the hosts
 * in turn, with the same path, caller and body. The other messages of the session are sound; as the last part of the
 * prompt belongs to the session, all of them name the same parts.
 */
final class CrashingMessage {
    private static final int REPLICAS = 8;
    private static final int CRASHING_ATTEMPTS = 14;
    private static final long ATTEMPT_INTERVAL_MILLIS = 2_200;
    private static final long SOUND_INTERVAL_MILLIS = 500;
    private static final long DOWN_MILLIS = 2_000;
    private static final int EVENTS = 6;
    private static final long EVENT_PAUSE_MILLIS = 40;

    /** Retries that the rule BUDGET allows later than `contact_ms` after the third crash. */
    private static final int ALLOWED_RETRIES = 3;

    private static final String CRASHING_BODY = "a message that crashes its replica";
    private static final String PARTS = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";

    private static final String CONFIGURATION = """
        {"version":3,"routes":[
          {"name":"petition","host":"stalls.example","path_prefix":"/petition/","kind":"streaming","timeout_ms":20000,
           "target_latency_ms":2000,"priority":0,"service":"models","max_attempts":3,"public":false,"sticky":true,
           "resumable":true,"itl_target_ms":1000}],
         "services":[
          {"name":"models","health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false,
           "cold_start_s":0.0,"cold_per_s":0.0,
           "engine":{"slots":64,"kv_capacity":470958,"models":[{"name":"draft","cost":0.016}]}}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
         "tenants":[{"name":"stall","api_keys":["key-of-stall"],"priority":1}]}
        """;

    private CrashingMessage() {
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
        fleet.start(3, CONFIGURATION);
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(replica(fleet, i));
            fleet.keepAnnouncing(replicas.get(i));
        }
        Fleet.sleep(Fleet.CONTACT_MILLIS + 1_000);

        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        Thread sound = new Thread(() -> sendSound(fleet, sent, served));
        sound.setDaemon(true);
        sound.start();
        for (int attempt = 1; attempt <= CRASHING_ATTEMPTS; attempt++) {
            String body = Fleet.TROUBLE ? CRASHING_BODY : "a sound message, sent again";
            send(fleet, fleet.hosts.get(attempt % fleet.hosts.size()), "repeated-" + attempt, body);
            Fleet.sleep(ATTEMPT_INTERVAL_MILLIS);
        }

        List<Long> crashes = replicas.stream().flatMap(it -> it.crashes.stream()).sorted().toList();
        long late = 0;
        if (crashes.size() >= 3) {
            long boundMillis = crashes.get(2) + Fleet.CONTACT_MILLIS;
            late = replicas.stream()
                .flatMap(it -> it.runs.entrySet().stream())
                .filter(it -> it.getKey().startsWith("repeated-"))
                .flatMap(it -> it.getValue().stream())
                .filter(it -> it > boundMillis)
                .count();
        }
        boolean broken = late > ALLOWED_RETRIES;
        String summary = crashes.size() + " crashes of " + REPLICAS + " replicas; the message reached replicas " + late
            + " times later than contact_ms after its third crash, allowed " + ALLOWED_RETRIES + "; " + served + " of "
            + sent + " other messages of the session served: " + (broken ? "BUDGET broken" : "held");
        fleet.note(summary);
        System.out.println(summary);
        return broken ? Fleet.BROKEN : Fleet.HELD;
    }

    private static Replica replica(Fleet fleet, int number) throws IOException {
        Replica[] self = new Replica[1];
        Replica.Work stream = Replica.stream(EVENTS, EVENT_PAUSE_MILLIS);
        String zone = fleet.hosts.get(number % fleet.hosts.size()).zone;
        self[0] = new Replica(fleet, "models-" + number, "models", zone, (request, socket) -> {
            if (new String(request.body, StandardCharsets.ISO_8859_1).equals(CRASHING_BODY)) {
                self[0].crash(DOWN_MILLIS);
            } else {
                stream.run(request, socket);
            }
        });
        return self[0];
    }

    /** Sends the other messages of the session, one after the other. */
    private static void sendSound(Fleet fleet, AtomicInteger sent, AtomicInteger served) {
        for (int i = 1;; i++) {
            sent.incrementAndGet();
            Http.Answer answer = send(fleet, fleet.hosts.get(i % fleet.hosts.size()), "sound-" + i, "message " + i);
            if (answer.status == 200 && answer.complete) served.incrementAndGet();
            Fleet.sleep(SOUND_INTERVAL_MILLIS);
        }
    }

    private static Http.Answer send(Fleet fleet, Fleet.Host host, String id, String body) {
        Http.Answer answer = Http.Answer.NONE;
        try (Socket socket = fleet.connect(host)) {
            socket.setSoTimeout(20_000);
            OutputStream output = socket.getOutputStream();
            String head = "POST /petition/session HTTP/1.1\r\nHost: stalls.example\r\n"
                + "Authorization: Bearer key-of-stall\r\nX-Carawaytrack-Attempt-Id: " + id
                + "\r\nX-Carawaytrack-Deadline-Ms: 20000\r\nSession: session-1\r\nX-Carawaytrack-Model-Name: draft\r\n"
                + "X-Carawaytrack-Token-Usage: 1460,80\r\nX-Carawaytrack-Prefix-Hash: " + PARTS
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            fleet.note("client sent " + id + " to " + host.ip);
            answer = Http.readAnswer(socket.getInputStream());
        } catch (IOException failure) {
            fleet.note("client of " + id + ": " + failure);
        }
        fleet.note("client got for " + id + ": " + answer);
        return answer;
    }
}

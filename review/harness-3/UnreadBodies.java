import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Long prompts in chunks are being answered by streams at one host, 4 at once or, with the burst, 6. Meanwhile other
 * clients send 12 submissions that may run once at most, with 70,000 bytes each, and wait for 2.5 s, their deadline.
 */
final class UnreadBodies {
    private static final int USUAL_PROMPTS = 4;
    private static final int BURST_PROMPTS = 6;
    private static final int SUBMISSIONS = 12;
    private static final int BODY_BYTES = 70_000;
    private static final int CHUNK_BYTES = 10_000;
    private static final int EVENTS = 24;
    private static final long EVENT_PAUSE_MILLIS = 400;
    private static final long ROUTE_TIMEOUT_MILLIS = 1_200;
    private static final long DEADLINE_MILLIS = 2_500;
    private static final long CONFIG_SLACK_MILLIS = 500;
    private static final long GONE_SLACK_MILLIS = 500;

    /** "More than a few" of the rule GONE. */
    private static final int A_FEW = 3;

    /** Fewest late requests of the rule CONFIG. */
    private static final int LATE_REQUESTS = 8;

    private static final String CONFIGURATION = """
        {"version":3,"routes":[
          {"name":"petition","host":"stalls.example","path_prefix":"/petition/","kind":"streaming","timeout_ms":20000,
           "target_latency_ms":2000,"priority":0,"service":"models","max_attempts":3,"public":false,"sticky":true,
           "resumable":true,"itl_target_ms":1000},
          {"name":"submission","host":"stalls.example","path_prefix":"/submission/","kind":"non_idempotent",
           "timeout_ms":1200,"target_latency_ms":193,"priority":2,"service":"counter","max_attempts":1,"public":false}],
         "services":[
          {"name":"models","health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false,
           "cold_start_s":0.0,"cold_per_s":0.0},
          {"name":"counter","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,
           "cold_start_s":0.0,"cold_per_s":0.0}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
         "tenants":[{"name":"stall","api_keys":["key-of-stall"],"priority":1}]}
        """;

    /** What the client of a submission saw. */
    private static final class Submission {
        final String id;
        long sentAtMillis;
        long answeredAtMillis;
        long closedAtMillis;
        String answer = "none";

        Submission(String id) {
            this.id = id;
        }

        boolean isUnanswered() {
            return answeredAtMillis == 0 || answeredAtMillis > sentAtMillis + ROUTE_TIMEOUT_MILLIS + CONFIG_SLACK_MILLIS;
        }
    }

    private UnreadBodies() {
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
        List<Replica> counters = new ArrayList<>();
        for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
            Replica models = new Replica(fleet, "models-" + zone, "models", zone, Replica.stream(EVENTS, EVENT_PAUSE_MILLIS));
            Replica counter = new Replica(fleet, "counter-" + zone, "counter", zone, Replica.call(43));
            counters.add(counter);
            fleet.keepAnnouncing(models);
            fleet.keepAnnouncing(counter);
        }
        Fleet.sleep(Fleet.CONTACT_MILLIS + 1_000);

        List<Thread> clients = new ArrayList<>();
        int prompts = Fleet.TROUBLE ? BURST_PROMPTS : USUAL_PROMPTS;
        int[] streamsServed = new int[1];
        for (int i = 1; i <= prompts; i++) {
            String id = "petition-" + i;
            clients.add(start(() -> sendPetition(fleet, id, streamsServed)));
        }
        Fleet.sleep(1_000);
        List<Submission> submissions = new ArrayList<>();
        for (int i = 1; i <= SUBMISSIONS; i++) {
            Submission submission = new Submission("submission-" + i);
            submissions.add(submission);
            clients.add(start(() -> send(fleet, submission)));
            Fleet.sleep(100);
        }
        for (Thread client : clients) client.join();
        Fleet.sleep(2_000);

        long unanswered = submissions.stream().filter(Submission::isUnanswered).count();
        long ranAfterClose = submissions.stream().filter(it -> runsAfterClose(it, counters)).count();
        boolean late = unanswered >= LATE_REQUESTS && unanswered * 2 > submissions.size();
        boolean gone = ranAfterClose > A_FEW;
        String summary = streamsServed[0] + " of " + prompts + " petitions served; of " + SUBMISSIONS + " submissions "
            + unanswered + " without an answer " + CONFIG_SLACK_MILLIS + " ms after their route's timeout, "
            + ranAfterClose + " run over " + GONE_SLACK_MILLIS + " ms after their client had closed: "
            + (late ? "CONFIG broken " : "") + (gone ? "GONE broken" : "") + (late || gone ? "" : "held");
        fleet.note(summary);
        System.out.println(summary);
        return late || gone ? Fleet.BROKEN : Fleet.HELD;
    }

    private static boolean runsAfterClose(Submission submission, List<Replica> replicas) {
        return replicas.stream()
            .flatMap(replica -> replica.runsOf(submission.id).stream())
            .anyMatch(atMillis -> atMillis > submission.closedAtMillis + GONE_SLACK_MILLIS);
    }

    private static Thread start(Runnable client) {
        Thread thread = new Thread(client);
        thread.start();
        return thread;
    }

    private static String head(String path, String id, long deadlineMillis, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: stalls.example\r\nAuthorization: Bearer key-of-stall\r\n"
            + "X-Carawaytrack-Attempt-Id: " + id + "\r\nX-Carawaytrack-Deadline-Ms: " + deadlineMillis + "\r\n"
            + framing + "\r\n\r\n";
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a long prompt in chunks and reads its stream to the end. */
    private static void sendPetition(Fleet fleet, String id, int[] served) {
        try (Socket socket = fleet.connect(fleet.hosts.get(0))) {
            socket.setSoTimeout(20_000);
            OutputStream output = socket.getOutputStream();
            output.write(ascii(head("/petition/x", id, 20_000, "Transfer-Encoding: chunked")));
            String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "p".repeat(CHUNK_BYTES) + "\r\n";
            for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) output.write(ascii(chunk));
            output.write(ascii("0\r\n\r\n"));
            fleet.note("client sent " + id + ", " + BODY_BYTES + " bytes in chunks");
            Http.Answer answer = Http.readAnswer(socket.getInputStream());
            fleet.note("client got for " + id + ": " + answer);
            if (answer.status == 200 && answer.complete) {
                synchronized (served) {
                    served[0]++;
                }
            }
        } catch (IOException failure) {
            fleet.note("client of " + id + ": " + failure);
        }
    }

    /** Sends a submission and waits for its answer until the deadline, at which the client closes its connection. */
    private static void send(Fleet fleet, Submission submission) {
        try (Socket socket = fleet.connect(fleet.hosts.get(0))) {
            OutputStream output = socket.getOutputStream();
            output.write(ascii(head("/submission/x", submission.id, DEADLINE_MILLIS, "Content-Length: " + BODY_BYTES)));
            output.write(ascii("q".repeat(BODY_BYTES)));
            submission.sentAtMillis = fleet.now();
            fleet.note("client sent " + submission.id + ", " + BODY_BYTES + " bytes");
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            InputStream input = socket.getInputStream();
            Http.Answer answer = Http.readAnswer(input);
            submission.answer = answer.toString();
            if (answer.status != 0) submission.answeredAtMillis = fleet.now();
        } catch (SocketTimeoutException deadline) {
            submission.answer = "none until its deadline";
        } catch (IOException failure) {
            submission.answer = failure.toString();
        } finally {
            submission.closedAtMillis = fleet.now();
            fleet.note("client of " + submission.id + " got " + submission.answer + " and closed");
        }
    }
}

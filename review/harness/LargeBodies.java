import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** A host that receives large bodies, each within max_body_bytes, from many clients at once stops answering anyone. */
final class LargeBodies {
    /** Together with the payments of a second 32 requests: within 1.7 times the 19.3 a second of the site's first zone. */
    private static final int UPLOADS = 18;
    private static final int USUAL_UPLOADS = 5;
    private static final int PAYMENTS_PER_SECOND = 14;
    private static final int BODY_BYTES = 4_000_000;

    /** Size and interval of the parts of a body: 2.5 MB a second for each client, 360 Mbit/s for all. */
    private static final int PART_BYTES = 50_000;
    private static final int PART_INTERVAL_MILLIS = 20;
    private static final int PAYMENT_TIMEOUT_MILLIS = 2_500;
    private static final int CLIENT_DEADLINE_MILLIS = 5_000;

    /** What one client saw of a request; [tookMillis] is the time to its answer, or until it gave up. */
    record Seen(String kind, String id, long sentAt, long tookMillis, String outcome) {}

    public static void main(String[] arguments) {
        Lab.main(arguments[0], LargeBodies::run);
    }

    static int run(Lab lab) throws Exception {
        lab.startHosts(3, 0);
        String payments = Lab.route("payments", "/payments/", "non_idempotent", "counter", "")
            .replace("\"timeout_ms\":20000,\"target_latency_ms\":2000", "\"timeout_ms\":" + PAYMENT_TIMEOUT_MILLIS
                + ",\"target_latency_ms\":150");
        lab.configure(Lab.document(3, List.of(Lab.route("uploads", "/uploads/", "idempotent", "counter", ""), payments),
            List.of(Lab.service("counter"))));
        for (int i = 1; i <= 3; i++) lab.new Replica("counter", "v1", "zone-" + i, 24).workMillis = 40;
        lab.awaitReady();
        Lab.sleep(4_000);

        Lab.Host host = lab.hosts.get(0);
        Queue<Seen> seen = new ConcurrentLinkedQueue<>();
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(150);
        boolean[] stopped = {false};
        clients.scheduleAtFixedRate(() -> {
            if (!stopped[0]) clients.execute(() -> seen.add(pay(lab, host)));
        }, 0, 1_000 / PAYMENTS_PER_SECOND, TimeUnit.MILLISECONDS);
        Lab.sleep(3_000);
        long burstAt = lab.now();
        int uploads = lab.trouble ? UPLOADS : USUAL_UPLOADS;
        lab.note(uploads + " clients send a body of " + BODY_BYTES + " bytes to " + host.name);
        for (int i = 0; i < uploads; i++) clients.execute(() -> upload(lab, host, seen));
        for (int i = 0; i < 14; i++) {
            Lab.sleep(1_000);
            lab.note("ready: " + host.isReady());
        }
        stopped[0] = true;
        Lab.sleep(CLIENT_DEADLINE_MILLIS + 500);
        clients.shutdownNow();

        Map<String, Integer> outcomes = new TreeMap<>();
        int late = 0, lateUnanswered = 0;
        for (Seen one : seen) {
            lab.note(one.toString());
            outcomes.merge(one.kind() + " " + one.outcome(), 1, Integer::sum);
            if (!one.kind().equals("payment") || one.tookMillis() < PAYMENT_TIMEOUT_MILLIS) continue;
            late++;
            if (one.tookMillis() > PAYMENT_TIMEOUT_MILLIS + 500) lateUnanswered++;
        }
        lab.note("burst at " + burstAt + ", outcomes: " + outcomes);
        lab.note("payments that lasted longer than timeout_ms: " + late + ", of them without a final answer 0.5 s after it: "
            + lateUnanswered);
        if (outcomes.getOrDefault("payment 200", 0) < 100) return Lab.NOT_RUN;
        return lateUnanswered >= 8 && lateUnanswered * 4 > late ? Lab.BROKEN : Lab.HELD;
    }

    private static Seen pay(Lab lab, Lab.Host host) {
        String id = lab.nextAttempt();
        long sentAt = lab.now();
        String outcome;
        try {
            outcome = "" + lab.request(host, "POST", "/payments/" + id, id, CLIENT_DEADLINE_MILLIS).status;
        } catch (SocketTimeoutException late) {
            outcome = "no answer";
        } catch (Exception failure) {
            outcome = failure.toString();
        }
        long took = lab.now() - sentAt;
        return new Seen("payment", id, sentAt, took, outcome);
    }

    private static void upload(Lab lab, Lab.Host host, Queue<Seen> seen) {
        // A client repeats an idempotent request once after a failure, on a new connection.
        for (int tries = 0; tries < 2; tries++) {
            String id = lab.nextAttempt();
            long sentAt = lab.now();
            String outcome;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host.ip, lab.frontPort), 1_000);
                socket.setSoTimeout(20_000);
                OutputStream out = socket.getOutputStream();
                String head = "POST /uploads/" + id + " HTTP/1.1\r\nHost: review.example\r\nX-Carawaytrack-Attempt-Id: " + id
                    + "\r\nX-Carawaytrack-Deadline-Ms: 20000\r\nAuthorization: Bearer review-key\r\nContent-Length: "
                    + BODY_BYTES + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                byte[] part = new byte[PART_BYTES];
                for (int written = 0; written < BODY_BYTES; written += PART_BYTES) {
                    out.write(part);
                    Lab.sleep(PART_INTERVAL_MILLIS);
                }
                out.flush();
                Lab.Answer answer = Lab.readMessage(new BufferedInputStream(socket.getInputStream()), false);
                outcome = answer == null ? "closed without an answer" : "" + answer.status;
            } catch (IOException | InterruptedException failure) {
                outcome = failure.toString();
            }
            seen.add(new Seen("upload", id, sentAt, lab.now() - sentAt, outcome));
            if (outcome.equals("200")) return;
        }
    }
}

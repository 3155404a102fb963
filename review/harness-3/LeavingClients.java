import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * 80 clients of one host pay on connections that they keep, one payment each every half second. 20 others send a
 * submission of 4,194,304 bytes each, which its replica works on for two seconds, and leave a quarter of a second after
 * they have sent it.
 */
final class LeavingClients {
    private static final int PAYING_CLIENTS = 80;
    private static final int SUBMITTING_CLIENTS = 20;
    private static final int SUBMISSION_BYTES = 4_194_304;
    private static final long SUBMISSION_INTERVAL_MILLIS = 80;
    private static final long SUBMISSION_WORK_MILLIS = 2_000;
    private static final long LEAVE_AFTER_MILLIS = 250;
    private static final long PAYMENT_INTERVAL_MILLIS = 500;
    private static final int PAYMENT_TIMEOUT_MILLIS = 1_200;
    private static final int CLIENT_DEADLINE_MILLIS = 2_500;
    private static final int CONFIG_SLACK_MILLIS = 500;

    /** Fewest late requests of the rule CONFIG. */
    private static final int LATE_REQUESTS = 8;

    private static final String CONFIGURATION = """
        {"version":3,"routes":[
          {"name":"payment","host":"stalls.example","path_prefix":"/payment/","kind":"non_idempotent","timeout_ms":1200,
           "target_latency_ms":193,"priority":2,"service":"counter","max_attempts":1,"public":false},
          {"name":"submission","host":"stalls.example","path_prefix":"/submission/","kind":"non_idempotent",
           "timeout_ms":10000,"target_latency_ms":3000,"priority":2,"service":"archive","max_attempts":1,
           "public":false}],
         "services":[
          {"name":"counter","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,
           "cold_start_s":0.0,"cold_per_s":0.0},
          {"name":"archive","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,
           "cold_start_s":0.0,"cold_per_s":0.0}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
         "tenants":[{"name":"stall","api_keys":["key-of-stall"],"priority":1}]}
        """;

    /** What the client of a payment saw; `answeredAtMillis` is 0 if it got no answer until its deadline. */
    private record Payment(String id, long sentAtMillis, long answeredAtMillis) {
        /** Whether it was still unanswered at its route's timeout. */
        boolean isUnansweredAtTimeout() {
            return isUnansweredAfter(PAYMENT_TIMEOUT_MILLIS);
        }

        boolean isUnansweredAfter(long millis) {
            return answeredAtMillis == 0 || answeredAtMillis > sentAtMillis + millis;
        }
    }

    private static volatile boolean ended;

    private LeavingClients() {
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
        for (Fleet.Host host : fleet.hosts) {
            Replica counter = new Replica(fleet, "counter-" + host.zone, "counter", host.zone, Replica.call(43));
            Replica archive =
                new Replica(fleet, "archive-" + host.zone, "archive", host.zone, Replica.call(SUBMISSION_WORK_MILLIS));
            counters.add(counter);
            fleet.keepAnnouncing(counter);
            fleet.keepAnnouncing(archive);
        }
        Fleet.sleep(Fleet.CONTACT_MILLIS + 1_000);

        List<Payment> payments = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= PAYING_CLIENTS; i++) {
            String name = "client-" + i;
            clients.add(start(() -> pay(fleet, name, payments)));
            Fleet.sleep(PAYMENT_INTERVAL_MILLIS / PAYING_CLIENTS);
        }
        Fleet.sleep(2_000);
        for (int i = 1; i <= SUBMITTING_CLIENTS; i++) {
            String id = "submission-" + i;
            clients.add(start(() -> submit(fleet, id)));
            Fleet.sleep(SUBMISSION_INTERVAL_MILLIS);
        }
        Fleet.sleep(10_000);
        ended = true;
        for (Thread client : clients) client.join();

        long atTimeout = payments.stream().filter(Payment::isUnansweredAtTimeout).count();
        List<Payment> late =
            payments.stream().filter(it -> it.isUnansweredAfter(PAYMENT_TIMEOUT_MILLIS + CONFIG_SLACK_MILLIS)).toList();
        long lateAndRun =
            late.stream().filter(it -> counters.stream().anyMatch(replica -> !replica.runsOf(it.id).isEmpty())).count();
        long unanswered = payments.stream().filter(it -> it.answeredAtMillis == 0).count();
        boolean broken = late.size() >= LATE_REQUESTS && late.size() * 2L > atTimeout;
        String summary = payments.size() + " payments; " + atTimeout + " unanswered at their route's timeout, "
            + late.size() + " of them still " + CONFIG_SLACK_MILLIS + " ms later, of which replicas ran " + lateAndRun
            + "; " + unanswered + " without any answer until their clients' deadline; the host "
            + (fleet.hosts.get(0).isAlive() ? "runs" : "has ended") + ": " + (broken ? "CONFIG broken" : "held");
        fleet.note(summary);
        System.out.println(summary);
        return broken ? Fleet.BROKEN : Fleet.HELD;
    }

    private static Thread start(Runnable client) {
        Thread thread = new Thread(client);
        thread.start();
        return thread;
    }

    private static byte[] head(String path, String id, int deadlineMillis, int length) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: stalls.example\r\nAuthorization: Bearer key-of-stall\r\n"
            + "X-Carawaytrack-Attempt-Id: " + id + "\r\nX-Carawaytrack-Deadline-Ms: " + deadlineMillis
            + "\r\nContent-Length: " + length + "\r\n\r\n";
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Pays on one connection, and on a new one after a payment without an answer. */
    private static void pay(Fleet fleet, String client, List<Payment> payments) {
        Socket socket = null;
        for (int i = 1; !ended; i++) {
            String id = client + "-payment-" + i;
            long sentAtMillis = fleet.now();
            long answeredAtMillis = 0;
            String seen;
            try {
                if (socket == null) socket = fleet.connect(fleet.hosts.get(0));
                socket.setSoTimeout(CLIENT_DEADLINE_MILLIS);
                OutputStream output = socket.getOutputStream();
                output.write(head("/payment/x", id, CLIENT_DEADLINE_MILLIS, 600));
                output.write(new byte[600]);
                sentAtMillis = fleet.now();
                Http.Answer answer = Http.readAnswer(socket.getInputStream());
                seen = answer.toString();
                if (answer.status != 0) answeredAtMillis = fleet.now();
                if (answer.status == 0 || "close".equalsIgnoreCase(answer.headers.get("connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException deadline) {
                seen = "none until its deadline";
                socket = closed(socket);
            } catch (IOException failure) {
                seen = failure.toString();
                socket = closed(socket);
            }
            payments.add(new Payment(id, sentAtMillis, answeredAtMillis));
            fleet.note("client of " + id + ", sent at " + sentAtMillis + " ms, got " + seen);
            Fleet.sleep(PAYMENT_INTERVAL_MILLIS);
        }
        closed(socket);
    }

    private static Socket closed(Socket socket) {
        try {
            if (socket != null) socket.close();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
        return null;
    }

    /** Sends a submission, and leaves or, without trouble, waits for the answer. */
    private static void submit(Fleet fleet, String id) {
        try (Socket socket = fleet.connect(fleet.hosts.get(0))) {
            socket.setSoTimeout(10_000);
            OutputStream output = socket.getOutputStream();
            output.write(head("/submission/x", id, 10_000, SUBMISSION_BYTES));
            output.write(new byte[SUBMISSION_BYTES]);
            fleet.note("client sent " + id + ", " + SUBMISSION_BYTES + " bytes");
            if (Fleet.TROUBLE) {
                Fleet.sleep(LEAVE_AFTER_MILLIS);
                fleet.note("client of " + id + " leaves");
            } else {
                fleet.note("client of " + id + " got " + Http.readAnswer(socket.getInputStream()));
            }
        } catch (IOException failure) {
            fleet.note("client of " + id + ": " + failure);
        }
    }
}

import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** A host that gets SIGTERM exits while it still holds the end of answers that their clients read slowly. */
final class SlowReaders {
    private static final int GRACE_MILLIS = 8_000;
    private static final int EXIT_MARGIN_MILLIS = 800;
    private static final int BYTES_PER_SECOND = 340_000;
    private static final int[] ANSWER_BYTES = {4_900_000, 4_910_000, 4_920_000, 4_930_000, 4_940_000, 4_950_000};

    /** What one client saw of its answer. */
    record Seen(String id, long sentAt, long endedAt, int status, int bytes, boolean complete, String failure) {}

    public static void main(String[] arguments) {
        Lab.main(arguments[0], SlowReaders::run);
    }

    static int run(Lab lab) throws Exception {
        lab.startHosts(3, 0);
        lab.configure(Lab.document(3, List.of(Lab.route("lookups", "/lookups/", "idempotent", "counter", "")),
            List.of(Lab.service("counter"))));
        for (int i = 1; i <= 3; i++) lab.new Replica("counter", "v1", "zone-" + i, 6);
        lab.awaitReady();
        Lab.sleep(5_000);

        Lab.Host stopped = lab.hosts.get(0);
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Seen>> answers = new ArrayList<>();
        for (int bytes : ANSWER_BYTES) {
            lab.replicas.forEach(replica -> replica.bodyBytes = bytes);
            answers.add(clients.submit(() -> read(lab, stopped, bytes)));
            Lab.sleep(100);
        }
        Lab.sleep(600);
        long signalledAt = lab.now();
        long[] endedAt = {Long.MAX_VALUE};
        if (lab.trouble) {
            stopped.signal("TERM");
            stopped.process.onExit().thenRun(() -> {
                endedAt[0] = lab.now();
                lab.note(stopped.name + " has ended");
            });
        }
        int cut = 0, complete = 0;
        for (Future<Seen> answer : answers) {
            Seen seen = answer.get(40, TimeUnit.SECONDS);
            lab.note("client " + seen);
            if (seen.complete()) complete++; else cut++;
        }
        int runs = lab.replicas.stream().mapToInt(replica -> replica.runs.size()).sum();
        lab.note("runs at replicas: " + runs + ", complete answers: " + complete + ", cut answers: " + cut);
        if (runs < ANSWER_BYTES.length) return Lab.NOT_RUN;
        if (!lab.trouble) return cut > 0 ? Lab.BROKEN : Lab.HELD;
        long tookMillis = endedAt[0] - signalledAt;
        lab.note("the host ended " + tookMillis + " ms after SIGTERM, grace_s is " + GRACE_MILLIS + " ms");
        // A host that used up its grace had no time left to send the rest; then the case shows nothing.
        if (tookMillis > GRACE_MILLIS - EXIT_MARGIN_MILLIS) return Lab.NOT_RUN;
        return cut > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static Seen read(Lab lab, Lab.Host host, int answerBytes) throws Exception {
        String id = lab.nextAttempt();
        long sentAt = lab.now();
        int status = 0, bytes = 0;
        String failure = "";
        boolean complete = false;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 * 1024);
            socket.connect(new InetSocketAddress(host.ip, lab.frontPort), 1_000);
            socket.setSoTimeout(10_000);
            lab.sendRequest(socket, "GET", "/lookups/" + id, id, 20_000, "");
            InputStream in = socket.getInputStream();
            String start = Lab.readLine(in);
            status = Integer.parseInt(start.split(" ")[1]);
            boolean chunked = false;
            for (String line = Lab.readLine(in); !line.isEmpty(); line = Lab.readLine(in)) {
                if (line.toLowerCase(Locale.ROOT).startsWith("transfer-encoding: chunked")) chunked = true;
            }
            InputStream paced = new Paced(in);
            if (chunked) {
                while (true) {
                    String size = Lab.readLine(paced);
                    if (size == null) break;
                    int length = Integer.parseInt(size.trim(), 16);
                    if (length == 0) {
                        complete = true;
                        break;
                    }
                    byte[] part = paced.readNBytes(length);
                    bytes += part.length;
                    if (part.length < length) break;
                    Lab.readLine(paced);
                }
            } else {
                bytes = paced.readNBytes(answerBytes).length;
                complete = bytes == answerBytes;
            }
        } catch (IOException cut) {
            failure = cut.toString();
        }
        return new Seen(id, sentAt, lab.now(), status, bytes, complete, failure);
    }

    /** Reads at a steady rate. */
    private static final class Paced extends FilterInputStream {
        private final long startedAt = System.nanoTime();
        private long taken;

        Paced(InputStream in) {
            super(in);
        }

        private void pace() {
            long due = taken * 1_000_000_000L / BYTES_PER_SECOND;
            long wait = (due - (System.nanoTime() - startedAt)) / 1_000_000;
            try {
                if (wait > 5) Thread.sleep(wait);
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public int read() throws IOException {
            pace();
            int next = super.read();
            if (next >= 0) taken++;
            return next;
        }

        @Override
        public int read(byte[] target, int offset, int length) throws IOException {
            pace();
            int count = super.read(target, offset, Math.min(length, 8 * 1024));
            if (count > 0) taken += count;
            return count;
        }
    }
}

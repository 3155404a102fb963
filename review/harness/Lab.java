import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/**
 * A small deployment on loopback: hosts of caraway-platform as separate processes, started with the run line of the
 * deploy file, and stand-ins for the operator, replicas and clients that speak the protocol of the users' pages.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final int subnet = 1 + new Random().nextInt(250);
    final int controlPort, frontPort, readyPort, meshPort;
    final List<Host> hosts = new ArrayList<>();
    final List<Replica> replicas = new ArrayList<>();
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<String> runLine;

    Lab(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("caraway-review");
        runLine = readRunLine();
        int[] ports = freePorts(4);
        controlPort = ports[0];
        frontPort = ports[1];
        readyPort = ports[2];
        meshPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble=" + trouble + " subnet=127." + subnet + ".0.0");
    }

    /** Runs [body] and exits with its code; any unexpected failure means that the case could not run. */
    static void main(String recordFile, Body body) {
        int code = NOT_RUN;
        try (Lab lab = new Lab(recordFile)) {
            try {
                code = body.run(lab);
            } catch (Throwable failure) {
                lab.note("could not run: " + failure);
                failure.printStackTrace();
            }
            lab.note("exit " + code);
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        Runtime.getRuntime().exit(code);
    }

    interface Body {
        int run(Lab lab) throws Exception;
    }

    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String line) {
        record.printf("%7d %s%n", now(), line);
    }

    static void sleep(long millis) throws InterruptedException {
        if (millis > 0) Thread.sleep(millis);
    }

    void sleepUntil(long atMillis) throws InterruptedException {
        sleep(atMillis - now());
    }

    private static List<String> readRunLine() throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.trim().equals("[roles.host]");
            if (inRole && line.startsWith("run = ")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(text.split(" "));
            }
        }
        throw new IOException("no run line of [roles.host] in deploy/system.toml");
    }

    private int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> open = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket();
            socket.bind(new InetSocketAddress("127." + subnet + ".0.1", 0));
            open.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : open) socket.close();
        return ports;
    }

    String address(int number) {
        return "127." + subnet + ".0." + number;
    }

    // ---- hosts -------------------------------------------------------------------------------------------------

    /** Starts hosts with a disk, one a zone (zone-1, zone-2, ...), and then hosts without one, from zone-1 on. */
    void startHosts(int withDisk, int withoutDisk) throws Exception {
        for (int i = 0; i < withDisk + withoutDisk; i++) {
            boolean disk = i < withDisk;
            int zone = disk ? i + 1 : i - withDisk + 1;
            hosts.add(new Host("host-" + (i + 1), address(i + 1), "zone-" + zone, disk, withDisk));
        }
        for (Host host : hosts) host.start();
    }

    void awaitReady() throws Exception {
        long end = now() + 25_000;
        for (Host host : hosts) {
            while (!host.isReady()) {
                if (now() > end) throw new IllegalStateException(host.name + " is not ready");
                sleep(100);
            }
        }
        note("all hosts are ready");
    }

    final class Host {
        final String name, ip, zone;
        final boolean disk;
        private final int zones;
        Process process;

        Host(String name, String ip, String zone, boolean disk, int zones) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.disk = disk;
            this.zones = zones;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            if (!Files.exists(settings)) Files.writeString(settings, settings(true));
            ProcessBuilder builder = new ProcessBuilder(runLine);
            Map<String, String> kept = new HashMap<>();
            for (String key : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                String value = System.getenv(key);
                if (value != null) kept.put(key, value);
            }
            builder.environment().clear();
            builder.environment().putAll(kept);
            builder.environment().put("CARAWAYTRACK_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            note(name + " started at " + ip + " in " + zone + (disk ? " with a disk" : ""));
        }

        private String settings(boolean bootstrap) {
            StringBuilder zoneTable = new StringBuilder();
            for (int i = 1; i <= zones; i++) {
                zoneTable.append(i > 1 ? "," : "").append("\"zone-").append(i).append("\":\"region\"");
            }
            StringBuilder seeds = new StringBuilder();
            for (int i = 1; i <= Math.min(3, zones); i++) {
                seeds.append(i > 1 ? "," : "").append('"').append(address(i)).append(':').append(controlPort).append('"');
            }
            return "{\"node_name\":\"" + name + "\",\"role\":\"host\",\"machine_class\":\"edge\","
                + "\"serves\":[\"edge\",\"control\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\","
                + "\"region\":\"region\",\"zones\":{" + zoneTable + "},\"listen\":{\"frontend\":\"" + ip + ":" + frontPort
                + "\",\"readiness\":\"" + ip + ":" + readyPort + "\",\"control_plane\":\"" + ip + ":" + controlPort + "\"},"
                + "\"port_range\":[" + meshPort + "," + meshPort + "],\"seeds\":[" + seeds + "],\"bootstrap\":" + bootstrap
                + ",\"fault_counted\":" + disk + ",\"limits\":{\"cpu_share\":0.675,\"cpu_cores\":2,\"memory_mb\":280,"
                + "\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":64},"
                + (disk ? "\"data_dir\":\"" + folder.resolve("data-" + name) + "\"," : "")
                + "\"discovery\":\"registration\",\"entry_mode\":\"anycast\",\"heartbeat_ms\":1200,"
                + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
                + "\"tenants\",\"places\",\"pressure\",\"rollout\"],"
                + "\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},\"bounds\":{\"seed_lag_s\":3,"
                + "\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,"
                + "\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,"
                + "\"max_extension_ms\":5000,\"revoke_strict\":false,\"revoke_ms\":5000,\"retry_ratio\":0.9,"
                + "\"retry_window_s\":10,\"retry_slack\":62,\"exposure_share\":0.15,\"exposure_slack\":30,"
                + "\"rollback_ms\":5000,\"cold_overage\":1.5,\"cold_slack\":5,\"evacuate_ms\":5000,\"recovery_s\":12,"
                + "\"step_time_ms\":120,\"reuse_window_s\":8,\"session_s\":5},\"config_mode\":\"highest\"}";
        }

        boolean isReady() {
            try {
                return call("GET", ip, readyPort, "/-/readyz", null, 1_000).status == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        void signal(String signal) throws Exception {
            note("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }
    }

    // ---- operator ----------------------------------------------------------------------------------------------

    /** Sends an order to the hosts in turn until one acknowledges it; returns the last response. */
    Answer order(String method, String path, String body) throws Exception {
        long end = now() + 20_000;
        Answer answer = null;
        for (int turn = 0; now() < end; turn++) {
            Host host = hosts.get(turn % hosts.size());
            try {
                answer = call(method, host.ip, controlPort, path, body, 2_000);
                for (int hops = 0; hops < 2 && answer.status == 307; hops++) {
                    URI target = URI.create(answer.header("location"));
                    answer = call(method, target.getHost(), target.getPort(), target.getPath(), body, 2_000);
                }
                if (answer.status == 200 || (answer.status >= 400 && answer.status < 429)) return answer;
            } catch (IOException failure) {
                note("order " + path + " to " + host.name + ": " + failure);
            }
            sleep(300);
        }
        throw new IllegalStateException("no acknowledgement of " + path + ", last " + (answer == null ? "none" : answer.status));
    }

    Answer configure(String document) throws Exception {
        Answer answer = order("POST", "/-/Config.Replace", document);
        note("configuration: " + answer.status + " " + document);
        if (answer.status != 200) throw new IllegalStateException("configuration refused: " + answer.text());
        return answer;
    }

    static String route(String name, String prefix, String kind, String service, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"review.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":20000,\"target_latency_ms\":2000,\"priority\":0,\"service\":\"" + service
            + "\",\"max_attempts\":3,\"public\":false,\"sticky\":false" + more + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    /** A service of model replicas with three models, as in the example of the pages. */
    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":16.0,\"engine\":{\"slots\":64,\"kv_capacity\":470958,"
            + "\"kv_token_bytes\":35136,\"link_mbps\":1500000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,"
            + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m0\",\"cost\":0.016},"
            + "{\"name\":\"m1\",\"cost\":0.12},{\"name\":\"m2\",\"cost\":0.24}]}}";
    }

    static String document(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"stall\",\"api_keys\":"
            + "[\"review-key\"],\"priority\":1}]}";
    }

    // ---- replicas ----------------------------------------------------------------------------------------------

    /** One run of a request at a replica. */
    record Run(long atMillis, String id, String path, String replica) {}

    /** A replica that registers itself, answers requests with a seal, and leaves as the pages say. */
    class Replica {
        final String service, version, zone, id;
        final int slots;
        final long born = System.currentTimeMillis();
        final ServerSocket server;
        final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger running = new AtomicInteger();
        volatile long workMillis = 20;
        volatile int bodyBytes = 200;
        volatile BooleanSupplier fails = () -> false;
        volatile String state = "ready";
        volatile boolean beating = true;
        volatile boolean exited;
        private long sequence;
        private int nextHost;

        Replica(String service, String version, String zone, int slots) throws IOException {
            this.service = service;
            this.version = version;
            this.zone = zone;
            this.slots = slots;
            this.id = "i-" + Long.toHexString(new Random().nextLong() & 0xffffffffL);
            server = new ServerSocket();
            server.bind(new InetSocketAddress(Lab.this.address(100 + replicas.size()), 0), 512);
            replicas.add(this);
            daemon(this::accept);
            daemon(this::beat);
            note("replica " + id + " of " + service + " " + version + " at " + address());
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        private void beat() {
            while (beating && !exited) {
                announce();
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException ended) {
                    return;
                }
            }
        }

        /** Sends one heartbeat, to the next host if one does not acknowledge it within a second. */
        synchronized void announce() {
            sequence++;
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
            for (int tries = 0; tries < hosts.size(); tries++) {
                Host host = hosts.get(nextHost % hosts.size());
                try {
                    if (call("POST", host.ip, controlPort, "/-/Instances.Heartbeat/" + id, body, 1_000).status == 200) return;
                } catch (IOException failure) {
                    // The next host is called.
                }
                nextHost++;
            }
        }

        /** Deregisters at [host]; returns the time of the acknowledgement. */
        long deregister(Host host) throws IOException {
            beating = false;
            Answer answer = call("POST", host.ip, controlPort, "/-/Instances.Deregister/" + id, "{\"born\":" + born + "}", 1_000);
            long at = now();
            note("replica " + id + " deregisters at " + host.name + ": " + answer.status);
            if (answer.status != 200) throw new IOException("deregistration: " + answer.status);
            return at;
        }

        void exit() throws IOException {
            exited = true;
            beating = false;
            server.close();
            note("replica " + id + " exits");
        }

        private void accept() {
            while (!exited) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                } catch (IOException ended) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (!exited) {
                    Answer request = readMessage(in, true);
                    if (request == null) return;
                    handle(request, out);
                }
            } catch (IOException | InterruptedException ended) {
                // The host has closed the connection.
            }
        }

        private void handle(Answer request, OutputStream out) throws IOException, InterruptedException {
            String attempt = request.header("x-carawaytrack-attempt-id");
            String expected = request.header("x-carawaytrack-expect-instance");
            if (request.startLine.contains(" /healthz ")) {
                write(out, 200, "X-Carawaytrack-Instance-Id: " + id + "\r\n", new byte[0]);
                return;
            }
            if (expected != null && !expected.equals(id)) {
                write(out, 421, "X-Carawaytrack-Not-Executed: 1\r\nX-Carawaytrack-Attempt-Id: " + attempt + "\r\n", new byte[0]);
                return;
            }
            running.incrementAndGet();
            try {
                String path = request.startLine.split(" ")[1];
                Run run = new Run(now(), attempt, path, id);
                runs.add(run);
                note("run " + attempt + " " + path + " at " + id + " of " + service + " " + version);
                Thread.sleep(workMillis);
                if (path.startsWith("/drafts/")) {
                    stream(out, attempt);
                    return;
                }
                boolean failed = fails.getAsBoolean();
                String head = "X-Carawaytrack-Attempt-Id: " + attempt + "\r\nX-Carawaytrack-Response-Seal: " + id + "." + attempt
                    + "\r\nX-Carawaytrack-Server-Load: " + running.get() + ",0," + slots + "\r\n";
                byte[] body = new byte[failed ? 20 : bodyBytes];
                Arrays.fill(body, (byte) 'a');
                byte[] text = (service + " " + id + " " + attempt + " ").getBytes(StandardCharsets.US_ASCII);
                if (body.length >= text.length) System.arraycopy(text, 0, body, 0, text.length);
                write(out, failed ? 500 : 200, head, body);
            } finally {
                running.decrementAndGet();
            }
        }

        /** Answers with three events, one every 60 ms. */
        private void stream(OutputStream out, String attempt) throws IOException, InterruptedException {
            String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "X-Carawaytrack-Attempt-Id: " + attempt + "\r\nX-Carawaytrack-Response-Seal: " + id + "." + attempt
                + "\r\nX-Carawaytrack-Hint-Confidence: 95\r\nX-Carawaytrack-Weight-Versions: 1\r\n"
                + "X-Carawaytrack-Server-Load: " + running.get() + ",0," + slots + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int number = 1; number <= 3; number++) {
                String event = "id: " + number + "\ndata: " + id + " " + attempt + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Thread.sleep(60);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        private void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
            String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
        }
    }

    // ---- clients -----------------------------------------------------------------------------------------------

    private final AtomicLong attempts = new AtomicLong();

    String nextAttempt() {
        return "a" + Long.toHexString(0x100000L + attempts.incrementAndGet());
    }

    /** A request of a client to [host] on a new connection. */
    Answer request(Host host, String method, String path, String attempt, int deadlineMillis) throws IOException {
        return request(host, method, path, attempt, deadlineMillis, "");
    }

    /** The same with further headers, each with its line end. */
    Answer request(Host host, String method, String path, String attempt, int deadlineMillis, String more) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host.ip, frontPort), 1_000);
            socket.setSoTimeout(deadlineMillis);
            socket.setTcpNoDelay(true);
            sendRequest(socket, method, path, attempt, deadlineMillis, more);
            Answer answer = readMessage(new BufferedInputStream(socket.getInputStream()), false);
            if (answer == null) throw new EOFException("closed without an answer");
            return answer;
        }
    }

    void sendRequest(Socket socket, String method, String path, String attempt, int deadlineMillis, String more)
        throws IOException {
        String body = method.equals("POST") ? "{\"review\":true}" : "";
        String head = method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nX-Carawaytrack-Attempt-Id: " + attempt
            + "\r\nX-Carawaytrack-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer review-key\r\n" + more
            + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    // ---- HTTP --------------------------------------------------------------------------------------------------

    /** A message with a start line, headers in lower case and a body. */
    static final class Answer {
        String startLine;
        int status;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Answer call(String method, String ip, int port, String path, String body, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + ip + ":" + port + "\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + content.length + "\r\nConnection: close\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(content);
            out.flush();
            Answer answer = readMessage(new BufferedInputStream(socket.getInputStream()), false);
            if (answer == null) throw new EOFException("closed without an answer");
            return answer;
        }
    }

    /** Reads a message with a length, in chunks or up to the end of the connection; null at the end of the connection. */
    static Answer readMessage(InputStream in, boolean request) throws IOException {
        String start = readLine(in);
        if (start == null || start.isEmpty()) return null;
        Answer message = new Answer();
        message.startLine = start;
        if (!request) message.status = Integer.parseInt(start.split(" ")[1]);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.header("content-length");
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            message.complete = readChunks(in, body);
        } else if (length != null) {
            int left = Integer.parseInt(length);
            byte[] part = in.readNBytes(left);
            body.write(part);
            message.complete = part.length == left;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null || size.isEmpty()) return false;
            int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (bytes == 0) {
                readLine(in);
                return true;
            }
            byte[] part = in.readNBytes(bytes);
            body.write(part);
            if (part.length < bytes) return false;
            readLine(in);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.US_ASCII);
            if (next == '\n') return line.toString(StandardCharsets.US_ASCII).replace("\r", "");
            line.write(next);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends the processes that this case started, by their ids, and removes the temporary folder. */
    private void endProcesses() {
        for (Host host : hosts) {
            if (host.process != null) host.process.destroyForcibly();
        }
        for (Host host : hosts) {
            try {
                if (host.process != null) host.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException ended) {
                return;
            }
        }
        if (System.getenv("KEEP_LOGS") != null) return;
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException failure) {
            // The folder is a temporary one.
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.flush();
    }
}

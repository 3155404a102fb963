import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: hosts started with the run line of the deploy file, the operator's calls as
 * PROTOCOL.md describes them, and a record of what was sent, answered and run.
 */
final class Fleet implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static final long CONTACT_MILLIS = 3_000;
    static final long CONFIG_APPLY_MILLIS = 2_000;

    /** Whether the disruption of the case takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int START_ATTEMPTS = 100;
    private static final int CALL_TIMEOUT_MILLIS = 2_000;

    final Path folder;
    final List<Host> hosts = new ArrayList<>();
    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path repository = Path.of("").toAbsolutePath();
    private final int meshPort;
    private final int callerPort;
    private final int readinessPort;
    private final int controlPort;
    private final String network;

    Fleet(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review-3-");
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 4; i++) sockets.add(new ServerSocket(0));
        meshPort = sockets.get(0).getLocalPort();
        callerPort = sockets.get(1).getLocalPort();
        readinessPort = sockets.get(2).getLocalPort();
        controlPort = sockets.get(3).getLocalPort();
        for (ServerSocket socket : sockets) socket.close();
        Random random = new Random();
        network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Milliseconds since the case began. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    synchronized void note(String text) {
        record.printf("%8.3f  %s%n", now() / 1000.0, text);
        record.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /** Starts {@code count} hosts with a disk, one in each zone, and waits until they accept a first configuration. */
    void start(int count, String configuration) throws IOException {
        for (int i = 0; i < count; i++) hosts.add(new Host(network + (i + 1), "zone-" + (char) ('a' + i)));
        for (Host host : hosts) host.start(true);
        if (order("POST", "/-/Config.Replace", configuration).status != 200) throw new IOException("no configuration");
        for (Host host : hosts) awaitReady(host);
    }

    private void awaitReady(Host host) throws IOException {
        for (int i = 0; i < START_ATTEMPTS; i++) {
            if (Http.call(host.ip, readinessPort, "GET", "/-/readyz", null, CALL_TIMEOUT_MILLIS).status == 200) return;
            sleep(100);
        }
        throw new IOException(host.ip + " is not ready");
    }

    /** Sends an order as the operator does: follows redirects twice, and moves on to another host after a failure. */
    Http.Answer order(String method, String path, String body) {
        Http.Answer answer = Http.Answer.NONE;
        for (int i = 0; i < START_ATTEMPTS; i++) {
            Host host = hosts.get(i % hosts.size());
            answer = Http.call(host.ip, controlPort, method, path, body, CALL_TIMEOUT_MILLIS);
            for (int redirect = 0; redirect < 2 && answer.status == 307; redirect++) {
                String target = answer.headers.get("location").substring("http://".length());
                answer = Http.call(target.substring(0, target.indexOf(':')), controlPort, method, path, body,
                    CALL_TIMEOUT_MILLIS);
            }
            if (answer.status >= 200 && answer.status < 300 || answer.status == 400) break;
            sleep(200);
        }
        note("operator " + method + " " + path + " -> " + answer.status);
        return answer;
    }

    /** Announces {@code replica} to the first host that acknowledges it, as replicas do at each heartbeat. */
    void announce(Replica replica) {
        for (Host host : hosts) {
            String path = "/-/Instances.Heartbeat/" + replica.id;
            if (Http.call(host.ip, controlPort, "POST", path, replica.heartbeat(), CALL_TIMEOUT_MILLIS).status == 200) {
                return;
            }
        }
    }

    /** Announces {@code replica} every 1.2 seconds until the case ends. */
    void keepAnnouncing(Replica replica) {
        Thread thread = new Thread(() -> {
            while (true) {
                if (!replica.isDown()) announce(replica);
                sleep(1_200);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Opens a connection from a client to the address that serves callers. */
    Socket connect(Host host) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host.ip, callerPort), 1_000);
        return socket;
    }

    @Override
    public void close() {
        killAll();
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(path);
        } catch (IOException failure) {
            note("the temporary folder was not removed: " + failure);
        }
        record.close();
    }

    private void killAll() {
        for (Host host : hosts) host.kill();
    }

    /** A host process. */
    final class Host {
        final String ip;
        final String zone;
        private Process process;

        Host(String ip, String zone) {
            this.ip = ip;
            this.zone = zone;
        }

        void start(boolean bootstrap) throws IOException {
            Path settings = folder.resolve(ip + ".json");
            Path data = Files.createDirectories(folder.resolve("data-" + ip));
            Files.writeString(settings, settings(data, bootstrap));
            ProcessBuilder builder = new ProcessBuilder(runLine());
            builder.directory(repository.toFile());
            builder.environment().put("CARAWAYTRACK_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(ip + ".log").toFile()));
            process = builder.start();
            note("host " + ip + " started in " + zone);
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        private String settings(Path data, boolean bootstrap) {
            StringBuilder zones = new StringBuilder();
            StringBuilder seeds = new StringBuilder();
            for (Host host : hosts) {
                if (zones.length() > 0) {
                    zones.append(',');
                    seeds.append(',');
                }
                zones.append('"').append(host.zone).append("\":\"region\"");
                seeds.append('"').append(host.ip).append(':').append(controlPort).append('"');
            }
            return """
                {"node_name":"edge-%s","role":"host","machine_class":"edge","serves":["edge","control"],"ip":"%s",
                 "zone":"%s","region":"region","port_range":[%d,%d],"seeds":[%s],"bootstrap":%b,"fault_counted":true,
                 "data_dir":"%s","discovery":"registration","entry_mode":"anycast","heartbeat_ms":1200,
                 "config_mode":"highest","zones":{%s},
                 "listen":{"frontend":"%s:%d","readiness":"%s:%d","control_plane":"%s:%d"},
                 "limits":{"cpu_share":0.675,"cpu_cores":2,"memory_mb":280,"max_fds":4100,"link_mbps":1000.0,"disk_mb":64},
                 "fault_tolerance":{"machines":%d,"zones":1,"regions":0},
                 "bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,
                  "drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,
                  "max_extension_ms":5000,"revoke_strict":false,"revoke_ms":5000,"retry_ratio":0.9,"retry_window_s":10,
                  "retry_slack":62,"exposure_share":0.15,"exposure_slack":30,"rollback_ms":5000,"cold_overage":1.5,
                  "cold_slack":5,"evacuate_ms":5000,"recovery_s":12,"step_time_ms":120,"reuse_window_s":8,"session_s":5}}
                """.formatted(zone, ip, zone, meshPort, meshPort + 15, seeds, bootstrap, data, zones, ip, callerPort, ip,
                readinessPort, ip, controlPort, (hosts.size() - 1) / 2);
        }
    }

    /** The command of `[roles.host]` in the deploy file. */
    private List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml names no command");
    }
}

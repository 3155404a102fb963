import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: hosts started as separate processes by the run line of the deploy file, an operator
 * that follows redirects and resends, and a record of what was sent, answered and run.
 */
final class Lab {
    /** True with the disruption; TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** A case may take 120 s with the start and the end of its processes. */
    private static final long MAX_CASE_MILLIS = 114_000;

    private static final long STARTED_AT_NANOS = System.nanoTime();

    final Path folder;
    final Path record;
    final Map<String, Host> hosts = new TreeMap<>();
    final int frontendPort;
    final int readinessPort;
    final int controlPort;
    final int meshPort;
    private final List<String> command;

    /** One machine with its settings file, its data folder if it has a disk, and its process. */
    final class Host {
        final String ip;
        final String zone;
        final boolean disk;
        final Path settings;
        Process process;

        Host(String ip, String zone, boolean disk) {
            this.ip = ip;
            this.zone = zone;
            this.disk = disk;
            this.settings = folder.resolve(ip + ".json");
        }

        Path dataFolder() {
            return folder.resolve("data-" + ip);
        }

        void write(List<String> seeds, boolean bootstrap) throws IOException {
            Files.writeString(settings, settingsOf(this, seeds, bootstrap));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("CARAWAYTRACK_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(ip + ".log").toFile()));
            process = builder.start();
            note("host " + ip + " started");
        }

        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor();
            note("host " + ip + " killed");
        }

        boolean isReady() {
            try {
                return call(ip, readinessPort, "GET", "/-/readyz", null, 1_000).status == 200;
            } catch (IOException failure) {
                return false;
            }
        }
    }

    /** An answer of a host's control or readiness address. */
    static final class Answer {
        final int status;
        final String location;
        final String body;

        Answer(int status, String location, String body) {
            this.status = status;
            this.location = location;
            this.body = body;
        }
    }

    Lab(String caseFolder) throws IOException {
        folder = Files.createTempDirectory("caraway-review");
        record = Path.of(caseFolder).resolve("record.txt");
        Files.writeString(record, "");
        command = hostCommand();
        int[] ports = freePorts(4);
        frontendPort = ports[0];
        readinessPort = ports[1];
        controlPort = ports[2];
        meshPort = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        note("disruption " + (TROUBLE ? "on" : "off"));
    }

    /** A case; it ends by a call of exit. */
    interface Case {
        void play(Lab lab) throws Exception;
    }

    /** Plays a case that writes its record to the folder; a case that fails itself, or takes too long, couldn't run. */
    static void run(String caseFolder, Case played) {
        try {
            Lab lab = new Lab(caseFolder);
            Thread limit = new Thread(() -> {
                sleep(MAX_CASE_MILLIS);
                lab.exit(2, "not done after " + MAX_CASE_MILLIS + " ms");
            });
            limit.setDaemon(true);
            limit.start();
            played.play(lab);
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
    }

    /** Returns the words of the run line of the deploy file's role. */
    private static List<String> hostCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(line.substring("run = ".length()).replace("\"", "").trim().split(" +"));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0);
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    Host addHost(String ip, String zone, boolean disk) {
        Host host = new Host(ip, zone, disk);
        hosts.put(ip, host);
        return host;
    }

    String control(String ip) {
        return ip + ":" + controlPort;
    }

    /** The fields of DEPLOY.md with the bounds of the Penmark sheet. */
    private String settingsOf(Host host, List<String> seeds, boolean bootstrap) {
        StringBuilder seedList = new StringBuilder();
        for (String seed : seeds) seedList.append(seedList.length() == 0 ? "" : ",").append('"').append(control(seed)).append('"');
        String data = host.disk ? "\"data_dir\":\"" + host.dataFolder() + "\"," : "";
        return "{\"node_name\":\"edge-" + host.ip + "\",\"role\":\"host\",\"machine_class\":\"edge\","
            + "\"serves\":[\"edge\",\"control\"],\"ip\":\"" + host.ip + "\",\"zone\":\"" + host.zone + "\",\"region\":\"tt-south\","
            + "\"port_range\":[" + meshPort + "," + meshPort + "],\"seeds\":[" + seedList + "],\"bootstrap\":" + bootstrap + ","
            + "\"fault_counted\":" + host.disk + "," + data
            + "\"discovery\":\"registration\",\"entry_mode\":\"anycast\",\"heartbeat_ms\":1200,"
            + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"pressure\",\"rollout\"],"
            + "\"config_mode\":\"highest\",\"zones\":{\"pos-a\":\"tt-south\",\"pos-b\":\"tt-south\",\"sfo-a\":\"tt-south\",\"chg-a\":\"tt-south\"},"
            + "\"listen\":{\"frontend\":\"" + host.ip + ":" + frontendPort + "\",\"readiness\":\"" + host.ip + ":" + readinessPort
            + "\",\"control_plane\":\"" + host.ip + ":" + controlPort + "\"},"
            + "\"limits\":{\"cpu_share\":0.675,\"cpu_cores\":2,\"memory_mb\":280,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":64},"
            + "\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
            + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,"
            + "\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_extension_ms\":5000,"
            + "\"revoke_strict\":false,\"revoke_ms\":5000,\"retry_ratio\":0.9,\"retry_window_s\":10,\"retry_slack\":62,"
            + "\"exposure_share\":0.15,\"exposure_slack\":30,\"rollback_ms\":5000,\"cold_overage\":1.5,\"cold_slack\":5,"
            + "\"evacuate_ms\":5000,\"recovery_s\":12,\"step_time_ms\":120,\"reuse_window_s\":8,\"session_s\":5}}";
    }

    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - STARTED_AT_NANOS);
    }

    /** Writes a line with the time since the start to the record. */
    synchronized void note(String line) {
        String text = String.format("%8.3f %s%n", millis() / 1000.0, line);
        try {
            Files.writeString(record, text, StandardOpenOption.APPEND, StandardOpenOption.CREATE);
        } catch (IOException failure) {
            System.err.println("record not written: " + failure);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one call to an address of a host; the connection is closed after the answer. */
    static Answer call(String ip, int port, String method, String path, String body, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + ip + ":" + port + "\r\nConnection: close\r\n"
                + (body == null ? "" : "Content-Type: application/json\r\n") + "Content-Length: " + content.length + "\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(content);
            out.flush();
            String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) throw new IOException("no answer from " + ip + ":" + port);
            String location = null;
            for (String line : text.substring(0, headEnd).split("\r\n")) {
                if (line.toLowerCase().startsWith("location:")) location = line.substring("location:".length()).trim();
            }
            return new Answer(Integer.parseInt(text.substring(9, 12)), location, text.substring(headEnd + 4));
        }
    }

    /** Sends an operator's call once, to the host [ip] first, and follows up to two redirects; null if there is no answer. */
    Answer order(String ip, String method, String path, String body) {
        String target = ip;
        try {
            for (int hop = 0; hop < 3; hop++) {
                Answer answer = call(target, controlPort, method, path, body, 1_000);
                if (answer.status != 307 || answer.location == null) return answer;
                target = answer.location.substring("http://".length()).split(":")[0];
            }
        } catch (IOException failure) {
            return null;
        }
        return null;
    }

    /** Resends an operator's call to the running hosts in turn until it gets a 2xx or the time is over. */
    Answer orderUntil(List<String> ips, String method, String path, String body, long withinMillis) {
        long end = millis() + withinMillis;
        int next = 0;
        while (millis() < end) {
            Answer answer = order(ips.get(next++ % ips.size()), method, path, body);
            if (answer != null && answer.status / 100 == 2) {
                note("operator " + method + " " + path + " -> " + answer.status);
                return answer;
            }
            sleep(150);
        }
        note("operator " + method + " " + path + " -> no 2xx within " + withinMillis + " ms");
        return null;
    }

    boolean awaitReady(List<Host> awaited, long withinMillis) {
        long end = millis() + withinMillis;
        while (millis() < end) {
            if (awaited.stream().allMatch(Host::isReady)) return true;
            sleep(100);
        }
        return false;
    }

    /** Ends all processes of this run and removes its temporary folder. */
    private void end() {
        for (Host host : hosts.values()) {
            if (host.process != null && host.process.isAlive()) host.process.destroyForcibly();
        }
        for (Host host : hosts.values()) {
            try {
                if (host.process != null) host.process.waitFor();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException failure) {
            System.err.println("temporary folder not removed: " + failure);
        }
    }

    /** Writes the verdict and exits with it: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void exit(int code, String verdict) {
        note((code == 1 ? "BROKEN: " : code == 0 ? "HELD: " : "COULD NOT RUN: ") + verdict);
        System.out.println((code == 1 ? "broken: " : code == 0 ? "held: " : "could not run: ") + verdict);
        System.exit(code);
    }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound replica as the users' pages describe it: it registers with heartbeats, refuses requests that are meant for
 * another instance, echoes the attempt's identifier, seals its answers, and drops a request whose connection closes.
 */
final class Replica {
    /** A request as the replica received it; the names of headers are in lower case. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String id() {
            return header("X-Carawaytrack-Attempt-Id");
        }
    }

    /** Answers a request that runs; called on the thread of its connection. */
    interface Work {
        void run(Request request, Reply reply) throws IOException;
    }

    /** What a running request may send. */
    final class Reply {
        private final Request request;
        private final OutputStream out;
        private final Socket socket;

        Reply(Request request, OutputStream out, Socket socket) {
            this.request = request;
            this.out = out;
            this.socket = socket;
        }

        void whole(int status, String extraHeaders, byte[] content) throws IOException {
            write(head(status, extraHeaders) + "Content-Length: " + content.length + "\r\n\r\n", content);
        }

        /** Sends only the first bytes of a whole answer, and keeps the connection open. */
        void cut(int status, byte[] content, int bytes) throws IOException {
            write(head(status, "") + "Content-Length: " + content.length + "\r\n\r\n", Arrays.copyOf(content, bytes));
        }

        void begin(String extraHeaders) throws IOException {
            write(head(200, extraHeaders) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
        }

        /** Sends the event with the given number; fails if the caller has closed the connection. */
        void event(int number, String data) throws IOException {
            byte[] content = ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.US_ASCII);
            write(Integer.toHexString(content.length) + "\r\n", content);
            write("\r\n", new byte[0]);
        }

        void end() throws IOException {
            write("0\r\n\r\n", new byte[0]);
        }

        /** Waits, and returns false as soon as the caller has closed the connection. */
        boolean pause(long millis) throws IOException {
            long end = Lab.millis() + millis;
            while (Lab.millis() < end) {
                if (isClosedByPeer()) return false;
                Lab.sleep(Math.min(10, end - Lab.millis()));
            }
            return true;
        }

        private boolean isClosedByPeer() throws IOException {
            socket.setSoTimeout(1);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException open) {
                return false;
            } catch (IOException reset) {
                return true;
            } finally {
                if (!socket.isClosed()) socket.setSoTimeout(0);
            }
        }

        private String head(int status, String extraHeaders) {
            return "HTTP/1.1 " + status + " X\r\nX-Carawaytrack-Attempt-Id: " + request.id()
                + "\r\nX-Carawaytrack-Response-Seal: " + Integer.toHexString(request.id().hashCode()) + "." + id
                + "\r\nX-Carawaytrack-Server-Load: " + running.get() + ",0," + slots + "\r\n" + extraHeaders;
        }

        private void write(String text, byte[] content) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.write(content);
            out.flush();
        }
    }

    final Lab lab;
    final String id;
    final String service;
    final String version;
    final String zone;
    final int slots;
    final String extraFields;
    final long bornMillis = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final ServerSocket server;
    private final Work work;
    private final Random random = new Random();
    volatile String state = "ready";
    volatile boolean registering = true;
    private volatile boolean open = true;

    Replica(Lab lab, String id, String service, String version, String zone, int slots, String extraFields, Work work)
        throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.version = version;
        this.zone = zone;
        this.slots = slots;
        this.extraFields = extraFields;
        this.work = work;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a heartbeat about every 1,200 ms, each to a host that serves control, and to the next one if it fails. */
    void register(List<String> controlHosts) {
        daemon(() -> {
            while (open) {
                if (registering) beat(controlHosts);
                Lab.sleep(1_200);
            }
        });
    }

    /** Returns the host that acknowledged the heartbeat, or null. */
    String beat(List<String> controlHosts) {
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
            + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0," + extraFields + "\"born\":" + bornMillis
            + ",\"sequence\":" + sequence.incrementAndGet() + "}";
        return post("/-/Instances.Heartbeat/" + id, body, controlHosts);
    }

    String deregister(List<String> controlHosts) {
        registering = false;
        return post("/-/Instances.Deregister/" + id, "{\"born\":" + bornMillis + "}", controlHosts);
    }

    private String post(String path, String body, List<String> controlHosts) {
        int first = random.nextInt(controlHosts.size());
        for (int i = 0; i < controlHosts.size(); i++) {
            String ip = controlHosts.get((first + i) % controlHosts.size());
            try {
                if (Lab.call(ip, lab.controlPort, "POST", path, body, 1_000).status / 100 == 2) return ip;
            } catch (IOException next) {
                // The next host is called.
            }
        }
        return null;
    }

    void close() throws IOException {
        open = false;
        registering = false;
        server.close();
    }

    private void acceptAll() {
        while (open) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (open) {
                Request request = read(socket.getInputStream());
                if (request == null) return;
                answer(request, new Reply(request, socket.getOutputStream(), socket));
            }
        } catch (IOException closed) {
            // The caller has closed the connection.
        }
    }

    private void answer(Request request, Reply reply) throws IOException {
        String expected = request.header("X-Carawaytrack-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            reply.whole(421, "X-Carawaytrack-Not-Executed: instance\r\n", new byte[0]);
            return;
        }
        if (request.path.equals("/healthz")) {
            reply.whole("ready".equals(state) ? 200 : 503, "X-Carawaytrack-Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            reply.whole(503, "X-Carawaytrack-Not-Executed: full\r\n", new byte[0]);
            return;
        }
        try {
            work.run(request, reply);
        } finally {
            running.decrementAndGet();
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) return null;
        String[] words = line.split(" ");
        Request request = new Request();
        request.method = words[0];
        request.path = words[1];
        while (!(line = readLine(in)).isEmpty()) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        String length = request.header("Content-Length");
        if (!length.isEmpty()) request.body = in.readNBytes(Integer.parseInt(length));
        return request;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
    }
}

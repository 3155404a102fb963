import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound replica: it checks that it is the one meant, runs a request once it has read it, and echoes its id. */
final class Replica {
    /** Writes the response to a request that the replica runs. */
    interface Work {
        void run(Request request, Socket socket) throws IOException;
    }

    static final class Request {
        final String method;
        final String path;
        final Map<String, String> headers;
        final byte[] body;

        Request(String method, String path, Map<String, String> headers, byte[] body) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
        }

        String id() {
            return headers.getOrDefault("x-carawaytrack-attempt-id", "");
        }
    }

    /** Identifier of the present start. */
    volatile String id;

    /** Times at which it crashed, in the fleet's milliseconds. */
    final List<Long> crashes = new ArrayList<>();

    /** Times in the fleet's milliseconds at which requests began to run, by their id. */
    final Map<String, List<Long>> runs = new LinkedHashMap<>();
    private final Fleet fleet;
    private final String service;
    private final String zone;
    private final Work work;
    private final String name;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    private int port;
    private long bornMillis;
    private long sequence;

    Replica(Fleet fleet, String id, String service, String zone, Work work) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.name = id;
        this.service = service;
        this.zone = zone;
        this.work = work;
        listen();
    }

    private synchronized void listen() throws IOException {
        ServerSocket next = new ServerSocket();
        next.setReuseAddress(true);
        next.bind(new InetSocketAddress("127.0.0.1", port), 512);
        port = next.getLocalPort();
        bornMillis = System.currentTimeMillis();
        sequence = 0;
        server = next;
        Thread thread = new Thread(() -> accept(next));
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends at once, as a process that dies: its connections are reset and its port is closed. */
    void crash(long downMillis) throws IOException {
        synchronized (this) {
            if (server.isClosed()) return;
            crashes.add(fleet.now());
            fleet.note("replica " + id + " crashes");
            server.close();
        }
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        Thread thread = new Thread(() -> restart(downMillis));
        thread.setDaemon(true);
        thread.start();
    }

    private void restart(long downMillis) {
        Fleet.sleep(downMillis);
        id = name + "-start-" + (crashes.size() + 1);
        try {
            listen();
        } catch (IOException failure) {
            fleet.note("replica " + id + " does not start: " + failure);
            return;
        }
        fleet.note("replica " + id + " has started");
        fleet.announce(this);
    }

    synchronized boolean isDown() {
        return server.isClosed();
    }

    synchronized String heartbeat() {
        sequence++;
        return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":64,"
            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":%d,\"sequence\":%d}")
            .formatted(service, port, zone, bornMillis, sequence);
    }

    synchronized List<Long> runsOf(String requestId) {
        return List.copyOf(runs.getOrDefault(requestId, List.of()));
    }

    private void accept(ServerSocket listening) {
        while (true) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String line;
            while ((line = Http.readLine(input)) != null) {
                String[] parts = line.split(" ");
                Map<String, String> headers = Http.readHeaders(input);
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                if (!Http.readBody(input, headers, body)) return;
                answer(new Request(parts[0], parts[1], headers, body.toByteArray()), socket);
            }
        } catch (IOException ended) {
            // The connection was closed or this replica has crashed.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Request request, Socket socket) throws IOException {
        if (request.path.equals("/healthz")) {
            reply(socket, 200, "X-Carawaytrack-Instance-Id: " + id + "\r\n", "");
        } else if (!id.equals(request.headers.getOrDefault("x-carawaytrack-expect-instance", id))) {
            reply(socket, 421, "X-Carawaytrack-Not-Executed: 1\r\n" + echo(request), "");
        } else {
            synchronized (this) {
                runs.computeIfAbsent(request.id(), key -> new ArrayList<>()).add(fleet.now());
            }
            fleet.note("replica " + id + " runs " + request.id());
            work.run(request, socket);
        }
    }

    static String echo(Request request) {
        return "X-Carawaytrack-Attempt-Id: " + request.id() + "\r\n";
    }

    static void reply(Socket socket, int status, String headers, String body) throws IOException {
        String text = "HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Answers a call after {@code workMillis}. */
    static Work call(long workMillis) {
        return (request, socket) -> {
            Fleet.sleep(workMillis);
            String seal = "X-Carawaytrack-Response-Seal: " + request.id() + "\r\n";
            reply(socket, 200, echo(request) + seal, "done " + request.id());
        };
    }

    /** Answers with a stream of {@code events} events, one each {@code pauseMillis}. */
    static Work stream(int events, long pauseMillis) {
        return (request, socket) -> {
            String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + echo(request) + "X-Carawaytrack-Response-Seal: " + request.id() + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            int resumed = Integer.parseInt(request.headers.getOrDefault("last-event-id", "0"));
            for (int event = resumed + 1; event <= events; event++) {
                String text = "id: " + event + "\ndata: piece\n\n";
                String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                socket.getOutputStream().write(chunk.getBytes(StandardCharsets.ISO_8859_1));
                Fleet.sleep(pauseMillis);
            }
            socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        };
    }
}

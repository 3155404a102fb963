import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound client: one request at a time on a connection, each attempt with its own identifier. */
final class Client implements AutoCloseable {
    private static final AtomicInteger ATTEMPTS = new AtomicInteger();

    /** How an attempt ended; the status is 0 if the connection ended or the time was over before a head had come. */
    static final class Result {
        int status;
        String head = "";
        byte[] body = new byte[0];
        boolean complete;
        boolean closes;
        long sentAtMillis;
        long headAtMillis = -1;
        long endAtMillis;
        String failure = "";

        String header(String name) {
            for (String line : head.split("\n")) {
                if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) return line.substring(name.length() + 1).trim();
            }
            return "";
        }
    }

    private final Socket socket = new Socket();

    Client(String ip, int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
    }

    static String newId(String prefix) {
        return prefix + "-" + ATTEMPTS.incrementAndGet();
    }

    /** Sends a request, its body in chunks or with a length; closes the connection if the answer isn't complete in time. */
    Result send(String method, String host, String path, String id, String headers, byte[] body, boolean chunked, int waitMillis) {
        Result result = new Result();
        result.sentAtMillis = Lab.millis();
        Thread deadline = closeAfter(waitMillis);
        try {
            OutputStream out = socket.getOutputStream();
            String framing = body == null ? "" : chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + body.length + "\r\n";
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Carawaytrack-Attempt-Id: " + id + "\r\n"
                + headers + framing + "\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            if (body != null && chunked) {
                for (int from = 0; from < body.length; from += 8_192) {
                    int bytes = Math.min(8_192, body.length - from);
                    out.write((Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(body, from, bytes);
                    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } else if (body != null) {
                out.write(body);
            }
            out.flush();
            receive(socket.getInputStream(), result);
        } catch (IOException failure) {
            result.failure = failure.toString();
        }
        deadline.interrupt();
        result.endAtMillis = Lab.millis();
        return result;
    }

    private Thread closeAfter(int waitMillis) {
        Thread timer = new Thread(() -> {
            try {
                Thread.sleep(waitMillis);
                socket.close();
            } catch (InterruptedException | IOException over) {
                // The answer is complete, or the connection is closed already.
            }
        });
        timer.setDaemon(true);
        timer.start();
        return timer;
    }

    private static void receive(InputStream in, Result result) throws IOException {
        String line = Replica.readLine(in);
        if (line == null) {
            result.failure = "closed without an answer";
            return;
        }
        result.status = Integer.parseInt(line.substring(9, 12));
        result.headAtMillis = Lab.millis();
        StringBuilder head = new StringBuilder();
        while (!(line = Replica.readLine(in)).isEmpty()) head.append(line).append('\n');
        result.head = head.toString();
        result.closes = result.header("Connection").equalsIgnoreCase("close");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (result.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = Replica.readLine(in);
                if (size == null) throw new IOException("closed within the answer");
                int bytes = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(bytes);
                if (chunk.length < bytes) throw new IOException("closed within the answer");
                body.write(chunk);
                Replica.readLine(in);
                if (bytes == 0) break;
                result.body = body.toByteArray();
            }
        } else {
            int bytes = Integer.parseInt(result.header("Content-Length").isEmpty() ? "0" : result.header("Content-Length"));
            byte[] content = in.readNBytes(bytes);
            if (content.length < bytes) throw new IOException("closed within the answer");
            body.write(content);
        }
        result.body = body.toByteArray();
        result.complete = true;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException closed) {
            // Nothing more can be done with it.
        }
    }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins speak. */
final class Http {
    /** A response; status 0 stands for none. */
    static final class Answer {
        static final Answer NONE = new Answer(0, Map.of(), new byte[0], false);

        final int status;
        final Map<String, String> headers;
        final byte[] body;
        final boolean complete;

        Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
            this.status = status;
            this.headers = headers;
            this.body = body;
            this.complete = complete;
        }

        @Override
        public String toString() {
            if (status == 0) return "no answer";
            return status + (complete ? "" : ", cut") + (headers.containsKey("x-carawaytrack-response-seal") ? ", sealed" : "");
        }
    }

    private Http() {
    }

    static Answer call(String ip, int port, String method, String path, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\n"
                + "Connection: close\r\nContent-Length: " + content.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(content);
            return readAnswer(socket.getInputStream());
        } catch (IOException failure) {
            return Answer.NONE;
        }
    }

    /** Reads a response; one that ends early is not complete. */
    static Answer readAnswer(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) return Answer.NONE;
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = readHeaders(input);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            complete = readBody(input, headers, body);
        } catch (IOException cut) {
            complete = false;
        }
        return new Answer(status, headers, body.toByteArray(), complete);
    }

    static Map<String, String> readHeaders(InputStream input) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line;
        while ((line = readLine(input)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** Reads a body with a length or in chunks; returns whether it is whole. */
    static boolean readBody(InputStream input, Map<String, String> headers, ByteArrayOutputStream body)
        throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            body.write(input.readNBytes(length));
            return body.size() == length;
        }
        while (true) {
            String size = readLine(input);
            if (size == null) return false;
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = input.readNBytes(length);
            body.write(chunk);
            if (chunk.length < length || readLine(input) == null) return false;
            if (length == 0) return true;
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = input.read()) >= 0) {
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
        return null;
    }
}

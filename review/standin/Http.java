import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 server and client on blocking sockets. */
final class Http {
    private Http() {}

    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return target().split("\\?")[0];
        }

        Map<String, String> query() {
            Map<String, String> query = new LinkedHashMap<>();
            String[] parts = target().split("\\?", 2);
            if (parts.length > 1) {
                for (String pair : parts[1].split("&")) {
                    String[] both = pair.split("=", 2);
                    query.put(both[0], URLDecoder.decode(both.length > 1 ? both[1] : "", StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    record Answer(int status, Map<String, String> headers, byte[] body) {
        static Answer json(int status, Object body) {
            return new Answer(
                    status,
                    Map.of("Content-Type", "application/json"),
                    Json.write(body).getBytes(StandardCharsets.UTF_8));
        }

        static Answer empty(int status) {
            return new Answer(status, Map.of(), new byte[0]);
        }
    }

    /** Returns the answer, or null to close the connection without one. */
    interface Handler {
        Answer handle(Message request) throws Exception;
    }

    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        message.first = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String length = message.headers.get("Content-Length");
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in).trim(), 16); size > 0; ) {
                body.write(in.readNBytes(size));
                line(in);
                size = Integer.parseInt(line(in).trim(), 16);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (length != null) {
            int bytes = Integer.parseInt(length);
            message.body = in.readNBytes(bytes);
            if (message.body.length < bytes) {
                throw new EOFException("body ended early");
            }
        } else if (response && message.status() != 204) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed");
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    static final class Server {
        private final ServerSocket socket;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(String host, int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
            Main.thread("server-" + host + ":" + port, () -> {
                while (!closed) {
                    Socket client = socket.accept();
                    client.setTcpNoDelay(true);
                    open.add(client);
                    Main.thread("connection", () -> serve(client, handler));
                }
            });
        }

        private void serve(Socket client, Handler handler) {
            try (client) {
                InputStream in = new BufferedInputStream(client.getInputStream(), 65_536);
                OutputStream out = new BufferedOutputStream(client.getOutputStream(), 65_536);
                while (true) {
                    Message request = read(in, false);
                    Answer answer = handler.handle(request);
                    if (answer == null) {
                        return;
                    }
                    StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status() + " X\r\n");
                    answer.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
                    head.append("Content-Length: " + answer.body().length + "\r\n\r\n");
                    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                    out.write(answer.body());
                    out.flush();
                }
            } catch (Exception e) {
                // The other side has closed the connection.
            } finally {
                open.remove(client);
            }
        }

        /** Closes the port and all connections, like the end of the process. */
        void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
            for (Socket client : open) {
                try {
                    client.setSoLinger(true, 0);
                    client.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
        }
    }

    /** One client connection, kept open for many requests. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Connection(String host, int port, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), Math.min(1_000, timeoutMillis));
            in = new BufferedInputStream(socket.getInputStream());
            out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
        }

        Message send(String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            socket.setSoTimeout(Math.max(1, timeoutMillis));
            return read(in, true);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** Sends single requests on new connections. */
final class Client {
    int status;
    String stamp;
    String text = "";
    String failure = "";
    String id;

    private Client() {}

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Sends a request of a client to the daemon of a machine; status 0 is a connection that ended without an answer. */
    static Client request(Machine machine, String method, String host, String path, int deadlineMs, String more, byte[] body) {
        String id = newId();
        Client client = call(machine.ip, machine.outboundPort, method, path,
                "Host: " + host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs + "\r\n" + more, body,
                deadlineMs);
        client.id = id;
        return client;
    }

    static Client call(String ip, int port, String method, String path, String fields, byte[] body, int timeoutMs) {
        Client client = new Client();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            String host = fields.contains("Host:") ? "" : "Host: x\r\n";
            String length = method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
            out.write((method + " " + path + " HTTP/1.1\r\n" + host + fields + length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Wire answer = Wire.readHead(in);
            if (answer != null) {
                answer.readBody(in, true);
                client.status = answer.status();
                client.stamp = answer.field("Response-Stamp");
                client.text = answer.text();
            } else {
                client.failure = "closed";
            }
        } catch (IOException e) {
            client.failure = e.toString();
        }
        return client;
    }
}

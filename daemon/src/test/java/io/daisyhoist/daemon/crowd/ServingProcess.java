package io.daisyhoist.daemon.crowd;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** A daemon in a process of its own, as its clients and the machine see it. Implementations are thread-safe. */
public interface ServingProcess {
    /** Request field by which the simulated backend server is told how long its response is. */
    String RESPONSE_BYTES_FIELD = "X-Test-Response-Bytes";

    /** Time in which an ordinary request is answered or given up. */
    Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);

    /** Returns the address of the client port. */
    InetSocketAddress clientAddress();

    /** Returns the addresses of the ports for operators, the platform and the backend server. */
    List<InetSocketAddress> internalAddresses();

    /** Returns the address of the port for other daemons. */
    InetSocketAddress peerAddress();

    /** Returns the beginning of a request that is routed to the backend server, and what follows it. */
    String requestHead(String end);

    /** Returns whether the process lives. */
    boolean isAlive();

    /** Returns the id of the process. */
    long pid();

    /** Returns the file to which the process writes its output. */
    Path logFile();

    /** Opens a connection to the client port from a loopback address. */
    default Socket connect(InetAddress from) throws IOException {
        return connect(from, clientAddress());
    }

    /** Opens a connection from a loopback address. */
    default Socket connect(InetAddress from, InetSocketAddress to) throws IOException {
        Socket socket = new Socket();
        try {
            socket.bind(new InetSocketAddress(from, 0));
            socket.connect(to, (int) REQUEST_TIMEOUT.toMillis());
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends one ordinary request on a connection of its own; returns whether the backend server has answered it. */
    default boolean isServing() {
        return isServed(requestHead("Content-Length: 5\r\n\r\norder"));
    }

    /** Sends one request on a connection of its own; returns whether the backend server has answered it. */
    default boolean isServed(String request) {
        try (Socket socket = connect(InetAddress.getLoopbackAddress())) {
            socket.setSoTimeout((int) REQUEST_TIMEOUT.toMillis());
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String statusLine = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
            return statusLine != null && statusLine.startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the memory of the process that is in the machine's memory. */
    default long residentKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the number of open descriptors of the process. */
    default int openDescriptors() {
        String[] names = Path.of("/proc", Long.toString(pid()), "fd").toFile().list();
        return names == null ? 0 : names.length;
    }

    /** Returns the end of the log. */
    default String logEnd() throws IOException {
        List<String> lines = Files.readAllLines(logFile());
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
    }
}

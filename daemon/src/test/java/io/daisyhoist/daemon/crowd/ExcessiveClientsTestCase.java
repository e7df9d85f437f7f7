package io.daisyhoist.daemon.crowd;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against clients that end a daemon or take all of its memory, descriptors or attention.
 *
 * <p>Unless a test says otherwise, all clients, also the ordinary one, have the same address. The excessive ones keep their
 * connections open.
 */
public abstract class ExcessiveClientsTestCase {
    private static final int CROWD = 160;

    /** Limits that the daemon under test is configured with. */
    protected static final int MAX_HEADER_BYTES = 16_384;

    protected static final int MAX_BODY_BYTES = 1 << 20;

    /** Length of a response that fits into the limits of both modes. */
    private static final int LARGE_RESPONSE_BYTES = 1_000_000;

    /** Limit of the heads at ports for operators, the platform and the backend server. */
    private static final int MAX_INTERNAL_HEADER_BYTES = 8 << 10;

    /** Ends what a client sends without end. */
    private static final int MAX_BYTES_PER_CLIENT = 2 << 20;

    /** A client that does not read advertises no more than this. */
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    /** What the daemon may write to its log because of one crowd. */
    private static final long MAX_LOG_BYTES = 16L << 20;

    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(30);

    private final Bounds bounds;
    private final List<Socket> crowd = new ArrayList<>();
    private volatile boolean ended;
    private long maxResidentKilobytes;
    private int maxDescriptors;

    /**
     * What the daemon under test has to bear and may use. Immutable.
     *
     * @param maxResidentMegabytes memory that it may use, with the heap that it was started with
     * @param maxDescriptors descriptors that it may use
     * @param crowdDuration time for which the crowd is left alone with it
     */
    public record Bounds(int maxResidentMegabytes, int maxDescriptors, Duration crowdDuration) {}

    protected ExcessiveClientsTestCase(Bounds bounds) {
        this.bounds = bounds;
    }

    /** What one client does. */
    private interface Client {
        void run(int number) throws IOException;
    }

    /** What a client sends on a connection that stays open. */
    private interface Pattern {
        void send(Socket socket) throws IOException;
    }

    /** Returns the daemon under test. */
    protected abstract ServingProcess daemon();

    @AfterEach
    void disconnect() throws IOException {
        ended = true;
        synchronized (crowd) {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    @Test
    void headsOfOneLetterFields() throws Exception {
        String begin = daemon().requestHead("");
        byte[] head = bytes(begin + "a:\r\n".repeat((MAX_HEADER_BYTES - begin.length()) / 4) + "\r\n");
        assertServesAfter(socket -> repeat(socket, head));
    }

    @Test
    void headsOfOneLetterFieldsWithoutEnd() throws Exception {
        byte[] head = bytes(daemon().requestHead("a:\r\n".repeat(MAX_HEADER_BYTES / 2 / 4)));
        assertServesAfter(socket -> socket.getOutputStream().write(head));
    }

    @Test
    void headsOverTheLimit() throws Exception {
        byte[] head = bytes(daemon().requestHead("Filler: " + "x".repeat(3 * MAX_HEADER_BYTES) + "\r\n\r\n"));
        assertServesAfter(socket -> repeat(socket, head));
    }

    @Test
    void headsWithoutEnd() throws Exception {
        assertServesAfter(socket -> {
            socket.getOutputStream().write(bytes(daemon().requestHead("")));
            repeat(socket, bytes("b: c\r\n".repeat(100)));
        });
    }

    @Test
    void emptyLinesWithoutEnd() throws Exception {
        assertServesAfter(socket -> repeat(socket, bytes("\r\n".repeat(1_000))));
    }

    @Test
    void largeBodiesWithoutTheirLastByte() throws Exception {
        assertServesAfter(socket -> {
            socket.getOutputStream()
                    .write(bytes(daemon().requestHead("Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n")));
            socket.getOutputStream().write(new byte[MAX_BODY_BYTES - 1]);
        });
    }

    @Test
    void bodiesPieceByPiece() throws Exception {
        assertServesAfter(socket -> {
            socket.getOutputStream().write(bytes(daemon().requestHead("Transfer-Encoding: chunked\r\n\r\n")));
            byte[] pieces = bytes(("10\r\n" + "x".repeat(16) + "\r\n").repeat(64));
            for (int sent = 0; sent < MAX_BODY_BYTES - 1024; sent += 1024) {
                socket.getOutputStream().write(pieces);
            }
        });
    }

    @Test
    void chunkExtensionsWithoutEnd() throws Exception {
        assertServesAfter(socket -> {
            socket.getOutputStream().write(bytes(daemon().requestHead("Transfer-Encoding: chunked\r\n\r\n1;")));
            repeat(socket, bytes("x".repeat(1_000)));
        });
    }

    @Test
    void trailersWithoutEnd() throws Exception {
        assertServesAfter(socket -> {
            socket.getOutputStream().write(bytes(daemon().requestHead("Transfer-Encoding: chunked\r\n\r\n0\r\n")));
            repeat(socket, bytes("a:\r\n".repeat(250)));
        });
    }

    @Test
    void pipelinedRequestsWithoutReading() throws Exception {
        byte[] request = bytes(daemon().requestHead("Content-Length: 5\r\n\r\norder"));
        assertServesAfter(socket -> repeat(socket, request));
    }

    @Test
    void largeResponsesWithoutReading() throws Exception {
        byte[] request = bytes(daemon().requestHead(ServingProcess.RESPONSE_BYTES_FIELD + ": " + LARGE_RESPONSE_BYTES
                + "\r\nContent-Length: 0\r\n\r\n"));
        assertServesAfter(socket -> {
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            repeat(socket, request);
        });
    }

    @Test
    void headsWithoutEnd_atInternalPorts() throws Exception {
        byte[] head =
                bytes("GET /metrics HTTP/1.1\r\nHost: a\r\n" + "a:\r\n".repeat(MAX_INTERNAL_HEADER_BYTES / 4 - 20));
        assertServesAfterClients(
                number -> openInternal(number).getOutputStream().write(head));
    }

    @Test
    void responsesUnread_atInternalPorts() throws Exception {
        byte[] request = bytes("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        assertServesAfterClients(number -> {
            Socket socket = openInternal(number);
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            repeat(socket, request);
        });
    }

    @Test
    void idleConnections_atPeerPort() throws Exception {
        assertServesAfterClients(
                number -> keep(daemon().connect(InetAddress.getLoopbackAddress(), daemon().peerAddress())));
    }

    /** The clients connect from as many addresses and stop in their heads. */
    @Test
    void headsWithoutEnd_fromManyAddresses() throws Exception {
        byte[] begin = bytes(daemon().requestHead("b: c\r\n".repeat(1_000)));
        assertServesAfterClients(number -> {
            Socket socket = open(InetAddress.getByName("127.0.1." + (1 + number)));
            socket.getOutputStream().write(begin);
        });
    }

    @Test
    void connectionsOpenedAndClosedAtOnce() throws Exception {
        assertServesAfterClients(number -> {
            while (!ended) {
                daemon().connect(InetAddress.getLoopbackAddress()).close();
            }
        });
    }

    /** The clients send a whole request, then the end of their stream, and don't read. */
    @Test
    void halfClosedConnections() throws Exception {
        byte[] request = bytes(daemon().requestHead(ServingProcess.RESPONSE_BYTES_FIELD + ": " + LARGE_RESPONSE_BYTES
                + "\r\nContent-Length: 0\r\n\r\n"));
        assertServesAfter(socket -> {
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            socket.getOutputStream().write(request);
            socket.shutdownOutput();
        });
    }

    /** Guards against a log that grows with each client that is refused or disconnects in the middle of a request. */
    @Test
    void refusedAndInterruptedRequests() throws Exception {
        byte[] invalid = bytes("GET / HTTP/1.1\r\nA\0b: c\r\n\r\n");
        byte[] interrupted = bytes(daemon().requestHead("Content-Length: 1000\r\n\r\nx"));
        assertServesAfterClients(number -> {
            while (!ended) {
                try (Socket socket = daemon().connect(InetAddress.getLoopbackAddress())) {
                    socket.getOutputStream().write(number % 2 == 0 ? invalid : interrupted);
                }
            }
        });
    }

    /** Guards against limits that refuse a legal request although nothing else is going on. */
    @Test
    void singleRequestsAtTheLimits_areServed() {
        String begin = daemon().requestHead("");
        String body = "x".repeat(MAX_BODY_BYTES);
        String end = "\r\n";
        int fields = (MAX_HEADER_BYTES - begin.length() - end.length()) / 4;
        assertTrue(daemon().isServed(begin + "a:\r\n".repeat(fields) + end));
        assertTrue(daemon().isServed(daemon().requestHead("Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n") + body));
        assertTrue(daemon().isServed(daemon().requestHead("Transfer-Encoding: chunked\r\n\r\n")
                + Integer.toHexString(MAX_BODY_BYTES) + "\r\n" + body + "\r\n0\r\n\r\n"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void repeat(Socket socket, byte[] bytes) throws IOException {
        for (int sent = 0; sent < MAX_BYTES_PER_CLIENT; sent += bytes.length) {
            socket.getOutputStream().write(bytes);
        }
    }

    private Socket open(InetAddress from) throws IOException {
        return keep(daemon().connect(from));
    }

    private Socket openInternal(int number) throws IOException {
        List<InetSocketAddress> addresses = daemon().internalAddresses();
        return keep(daemon().connect(InetAddress.getLoopbackAddress(), addresses.get(number % addresses.size())));
    }

    private Socket keep(Socket socket) {
        synchronized (crowd) {
            crowd.add(socket);
        }
        return socket;
    }

    private void assertServesAfter(Pattern pattern) throws Exception {
        assertServesAfterClients(number -> pattern.send(open(InetAddress.getLoopbackAddress())));
    }

    /** Lets a crowd send large bodies to other daemons, which forward them all to the daemon under test. */
    protected void assertServesAfterLargeBodiesFrom(List<? extends ServingProcess> others) throws Exception {
        byte[] request = bytes(
                daemon().requestHead("Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n") + "x".repeat(MAX_BODY_BYTES));
        assertServesAfterClients(number -> {
            ServingProcess other = others.get(number % others.size());
            while (!ended) {
                try (Socket socket = other.connect(InetAddress.getLoopbackAddress())) {
                    socket.getOutputStream().write(request);
                    socket.getInputStream().read();
                } catch (IOException e) {
                    // Refused or closed, which is allowed.
                }
            }
        });
        others.forEach(other -> assertTrue(other.isAlive()));
    }

    /** Runs a crowd and checks that the daemon lives, stays within its bounds, and answers an ordinary request afterwards. */
    private void assertServesAfterClients(Client client) throws Exception {
        long logBytesBefore = Files.size(daemon().logFile());
        CountDownLatch running = new CountDownLatch(CROWD);
        for (int i = 0; i < CROWD; i++) {
            start(client, i, running);
        }
        long endNanos = System.nanoTime() + bounds.crowdDuration().toNanos();
        while (System.nanoTime() < endNanos) {
            sample();
            running.await(50, TimeUnit.MILLISECONDS);
        }
        boolean serves = daemon().isAlive() && isServingWithin(RECOVERY_TIMEOUT);
        sample();
        long logBytes = Files.size(daemon().logFile()) - logBytesBefore;
        String seen = String.format(
                "alive=%s serves=%s resident_mb=%d descriptors=%d log_kb=%d log:%n%s",
                daemon().isAlive(),
                serves,
                maxResidentKilobytes >> 10,
                maxDescriptors,
                logBytes >> 10,
                daemon().logEnd());
        System.out.println(getClass().getSimpleName() + " " + seen);
        assertTrue(daemon().isAlive(), seen);
        assertTrue(maxResidentKilobytes >> 10 <= bounds.maxResidentMegabytes(), seen);
        assertTrue(maxDescriptors <= bounds.maxDescriptors(), seen);
        assertTrue(logBytes <= MAX_LOG_BYTES, seen);
        assertTrue(serves, seen);
    }

    private static void start(Client client, int number, CountDownLatch running) {
        Thread thread = new Thread(() -> {
            try {
                client.run(number);
            } catch (IOException e) {
                // Refused or closed, which is allowed.
            }
            running.countDown();
        });
        thread.setDaemon(true);
        thread.start();
    }

    private boolean isServingWithin(Duration timeout) {
        long endNanos = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() < endNanos) {
            if (daemon().isServing()) {
                return true;
            }
        }
        return false;
    }

    private void sample() {
        maxResidentKilobytes = Math.max(maxResidentKilobytes, daemon().residentKilobytes());
        maxDescriptors = Math.max(maxDescriptors, daemon().openDescriptors());
    }
}

package io.daisyhoist.daemon.limits;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.time.SystemTimeSource;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClientConnectionHandlerTest {
    private static final String GET = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String POST = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    private static final String CHUNKED = "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private static final long MAX_READ_BYTES = 16_384;
    private static final int MAX_HELD_BYTES = 64 << 10;

    private final MemoryBudget budget = new MemoryBudget(1 << 20);
    private final AtomicInteger requests = new AtomicInteger();
    private ClientLimits limits = new ClientLimits(1_000, 1 << 20, Duration.ofSeconds(60), Duration.ofSeconds(60));
    private final Set<CloseReason> refusals = ConcurrentHashMap.newKeySet();
    private final ClientConnectionLimiter limiter = new ClientConnectionLimiter(
            vertx,
            new SystemTimeSource(),
            () -> limits,
            new ConnectionBounds(50, 200, 256, 8, 8),
            budget,
            new ClientConnectionLimiter.Refusals(RefusalFormat.WITHOUT_BODY, refusals::add));
    private final HttpServer server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
            .connectionHandler(limiter::onConnection)
            .requestHandler(this::answer);
    private final int port = listen();

    private int listen() {
        limiter.start();
        return server.listen(0, "127.0.0.1").await().actualPort();
    }

    @AfterEach
    void close() {
        vertx.close().await();
    }

    /** Answers with the path and the body, a moment later. */
    private void answer(HttpServerRequest http) {
        requests.incrementAndGet();
        HeldBody reader = limiter.readBody(http, new BodyBounds(limits.maxBodyBytes(), MAX_HELD_BYTES, 0));
        reader.held()
                .compose(body -> vertx.timer(2).map(fired -> body))
                .onSuccess(body -> http.response().end(Buffer.buffer(http.path() + " " + body + "\n")))
                .onFailure(failure -> {
                    CloseReason reason = ((RequestRefusedException) failure).reason();
                    http.response()
                            .setStatusCode(reason.status())
                            .putHeader("Connection", "close")
                            .end();
                })
                .onComplete(done -> reader.close());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static String readBodies(InputStream input, int count) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.ISO_8859_1));
        StringBuilder bodies = new StringBuilder();
        for (int i = 0; i < count; ) {
            String line = reader.readLine();
            if (line.startsWith("/")) {
                bodies.append(line).append(';');
                i++;
            }
        }
        return bodies.toString();
    }

    private String statusOf(String request) throws IOException {
        try (Socket socket = connect()) {
            write(socket, request);
            return new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
        }
    }

    /** Guards against bytes that are lost, repeated or confused where requests are cut or joined. */
    @Test
    void requestsInAnyPieces_sameAnswers() throws Exception {
        String all = GET + "\r\n" + POST + CHUNKED + GET + CHUNKED + POST;
        for (int cut = 1; cut < all.length(); cut++) {
            try (Socket socket = connect()) {
                write(socket, all.substring(0, cut));
                if (cut % 3 == 0) {
                    Thread.sleep(1);
                }
                write(socket, all.substring(cut));
                assertEquals(
                        "/1 ;/2 hello;/3 hello;/1 ;/3 hello;/2 hello;",
                        readBodies(socket.getInputStream(), 6),
                        "" + cut);
            }
        }
        await().until(() -> limiter.connections() == 0);
        assertEquals(0, budget.heldBytes());
    }

    /** Guards against requests that are decoded and kept while another one runs. */
    @Test
    void pipelinedRequests_waitOutsideTheDecoder() throws Exception {
        try (Socket socket = connect()) {
            write(socket, GET.repeat(100));
            readBodies(socket.getInputStream(), 100);
            assertEquals(100, requests.get());
        }
    }

    @Test
    void headOverTheLimit_refused() throws Exception {
        assertTrue(statusOf("GET / HTTP/1.1\r\nHost: h\r\nA: " + "x".repeat(2_000) + "\r\n\r\n")
                .startsWith("HTTP/1.1 431 "));
        assertTrue(statusOf("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(60) + "\r\n").startsWith("HTTP/1.1 431 "));
        assertEquals(0, requests.get());
    }

    /** Guards against empty lines without end, which the decoder skips without counting them. */
    @Test
    void emptyLinesOverTheLimit_refused() throws Exception {
        assertTrue(statusOf("\r\n".repeat(600)).startsWith("HTTP/1.1 431 "));
    }

    @Test
    void chunkLinesOverTheLimit_refused() throws Exception {
        String begin = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertTrue(statusOf(begin + "1;" + "x".repeat(5_000)).startsWith("HTTP/1.1 431 "));
        assertTrue(statusOf(begin + "0\r\n" + "a:\r\n".repeat(60)).startsWith("HTTP/1.1 431 "));
    }

    @Test
    void headInvalid_refused() throws Exception {
        String status = statusOf("GET / HTTP/1.1\r\nHost: h\r\nA\0b: c\r\n\r\n");
        assertTrue(status.startsWith("HTTP/1.1 400 "), status);
    }

    /** The same limit applies from the next request on. */
    @Test
    void changedLimit_appliesToNextRequest() throws Exception {
        String request = "GET /1 HTTP/1.1\r\nHost: h\r\nA: " + "x".repeat(500) + "\r\n\r\n";
        try (Socket socket = connect()) {
            write(socket, request);
            assertEquals("/1 ;", readBodies(socket.getInputStream(), 1));
            limits = new ClientLimits(100, 1 << 20, Duration.ofSeconds(60), Duration.ofSeconds(60));
            write(socket, request);
            assertTrue(new BufferedReader(new InputStreamReader(socket.getInputStream()))
                    .readLine()
                    .startsWith("HTTP/1.1 431 "));
        }
    }

    @Test
    void lateHead_refused() throws Exception {
        limits = new ClientLimits(1_000, 1 << 20, Duration.ofMillis(50), Duration.ofSeconds(60));
        assertTrue(statusOf("GET / HTTP/1.1\r\nHost").startsWith("HTTP/1.1 408 "));
    }

    @Test
    void bodyThatStops_refused() throws Exception {
        limits = new ClientLimits(1_000, 1 << 20, Duration.ofSeconds(60), Duration.ofMillis(200));
        assertTrue(statusOf(POST.substring(0, POST.length() - 1)).startsWith("HTTP/1.1 408 "));
    }

    @Test
    void idleConnection_closed() throws Exception {
        limits = new ClientLimits(1_000, 1 << 20, Duration.ofSeconds(60), Duration.ofMillis(50));
        try (Socket socket = connect()) {
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Guards against a body that is kept although memory does not suffice; a small request is served beside it. */
    @Test
    void bodiesBeyondTheMemory_refusedWhileSmallRequestIsServed() throws Exception {
        // Bodies of this size are held whole; as many as exceed the memory that is left stop short of their end.
        int bodyBytes = 60_000;
        int crowdSize = 5;
        MemoryBudget.Reservation taken = budget.open(MemoryUse.RESPONSE);
        taken.growAlways(budget.maxBytes() - crowdSize * bodyBytes);
        List<Socket> crowd = new ArrayList<>();
        try (Socket ordinary = connect()) {
            String head = "POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
            for (int i = 0; i < crowdSize; i++) {
                crowd.add(connect());
                write(crowd.get(i), head + "x".repeat(bodyBytes - 1));
            }
            write(ordinary, POST);
            assertEquals("/2 hello;", readBodies(ordinary.getInputStream(), 1));
            // Beyond the budget, each connection holds at most the one read with which it has paused.
            long pausedBytes = (crowdSize + 1) * MAX_READ_BYTES;
            assertTrue(budget.heldBytes() <= budget.maxBytes() + pausedBytes, "held " + budget.heldBytes());
            await().until(() -> refusals.contains(CloseReason.MEMORY));
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
        taken.release();
        await().until(() -> limiter.connections() == 0);
        assertEquals(0, budget.heldBytes());
    }

    @Test
    void bodyOverTheLimit_refusedBeforeItIsRead() throws Exception {
        assertTrue(statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n")
                .startsWith("HTTP/1.1 413 "));
    }
}

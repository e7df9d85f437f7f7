package io.daisyhoist.mesh.connection;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.model.Endpoint;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * Backend server that answers some requests a second time, whole or cut off, at once, later, or before its next answer on the
 * same connection. Random, but for its seed. Thread-safe.
 */
final class DuplicatingBackend {
    private static final int MAX_SERVICE_MILLIS = 3;
    private static final int MAX_DUPLICATE_DELAY_MILLIS = 4;
    private static final int[] STATUSES = {200, 200, 200, 500, 500, 503};
    private static final int NOT_RUN = 503;

    /** Time at which a second answer is sent. */
    enum When {
        AT_ONCE,
        LATER,
        BEFORE_NEXT_ANSWER
    }

    /** Part of a second answer that is sent. */
    enum Part {
        WHOLE,
        CUT_OFF
    }

    /**
     * Kind of fault. Immutable.
     *
     * @param when when the second answer is sent
     * @param part how much of it is sent
     * @param share share of the answers that are followed by a second one
     */
    record Fault(When when, Part part, double share) {}

    /**
     * Answer to a request. Immutable.
     *
     * @param status status
     * @param body body
     */
    record Answer(int status, String body) {}

    private final Vertx vertx;
    private final Fault fault;
    private final Random random;
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();

    DuplicatingBackend(Vertx vertx, Fault fault, long seed) {
        this.vertx = vertx;
        this.fault = fault;
        this.random = new Random(seed);
    }

    /** Starts listening. */
    Endpoint start() throws Exception {
        NetServer server = vertx.createNetServer().connectHandler(socket -> new Connection(socket));
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        return new Endpoint("127.0.0.1", server.actualPort());
    }

    /** Returns the answer that was given to a request; empty if it has none yet. */
    Optional<Answer> answerTo(String id) {
        return Optional.ofNullable(answers.get(id));
    }

    private static byte[] bytes(String id, Answer answer) {
        String mark = answer.status() == NOT_RUN ? "Not-Run: 1\r\n" : "Signature: " + id + "\r\n";
        return ("HTTP/1.1 " + answer.status() + " Reason\r\n" + mark + "Id: " + id + "\r\nContent-Length: "
                        + answer.body().length() + "\r\n\r\n" + answer.body())
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** One connection of a client. Confined to its event loop. */
    private final class Connection {
        private final NetSocket socket;
        private Buffer received = Buffer.buffer();
        private Optional<byte[]> beforeNextAnswer = Optional.empty();

        private Connection(NetSocket socket) {
            this.socket = socket;
            socket.exceptionHandler(failure -> {}).handler(this::onBytes);
        }

        private void onBytes(Buffer bytes) {
            received.appendBuffer(bytes);
            String text = received.toString(StandardCharsets.US_ASCII);
            if (!text.endsWith("\r\n\r\n")) {
                return;
            }
            received = Buffer.buffer();
            int start = text.indexOf("\r\nId: ") + "\r\nId: ".length();
            String id = text.substring(start, text.indexOf("\r\n", start));
            vertx.setTimer(1 + random.nextInt(MAX_SERVICE_MILLIS), fired -> answer(id));
        }

        private void answer(String id) {
            Answer answer = new Answer(STATUSES[random.nextInt(STATUSES.length)], "answer to " + id);
            answers.put(id, answer);
            beforeNextAnswer.ifPresent(bytes -> socket.write(Buffer.buffer(bytes)));
            beforeNextAnswer = Optional.empty();
            socket.write(Buffer.buffer(bytes(id, answer)));
            if (random.nextDouble() < fault.share()) {
                writeAgain(secondAnswer(id));
            }
        }

        private byte[] secondAnswer(String id) {
            byte[] whole = bytes(id, new Answer(200, "ok"));
            int length = fault.part() == Part.WHOLE ? whole.length : 1 + random.nextInt(whole.length);
            return Arrays.copyOf(whole, length);
        }

        private void writeAgain(byte[] bytes) {
            if (fault.when() == When.BEFORE_NEXT_ANSWER) {
                beforeNextAnswer = Optional.of(bytes);
                return;
            }
            if (fault.when() == When.AT_ONCE) {
                socket.write(Buffer.buffer(bytes));
                return;
            }
            vertx.setTimer(1 + random.nextInt(MAX_DUPLICATE_DELAY_MILLIS), fired -> socket.write(Buffer.buffer(bytes)));
        }
    }
}

package io.daisyhoist.mesh.connection;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fuzz.InputMutator;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Sends damaged, doubled and foreign responses: each exchange has to end, and only a response with the id of the request may
 * answer or refuse it. {@code -Ddaisyhoist.fuzz.seed=N} runs another seed.
 */
class BackendResponseFuzzTest {
    private static final int REQUESTS = 1_500;
    private static final Duration DEADLINE = Duration.ofMillis(150);
    private static final BackendProcessId PROCESS = new BackendProcessId("b", 1);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final TimeSource time = new SystemTimeSource();
    private final BackendHttpClient client = new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, 4, time);
    private final InputMutator mutator = new InputMutator(Long.getLong("daisyhoist.fuzz.seed", 20261205));

    private static final class PermissiveObserver implements BackendHttpClient.Observer {
        @Override
        public boolean mayBeWritten() {
            return true;
        }

        @Override
        public void onWrite() {
            // Nothing is recorded.
        }

        @Override
        public void onConnectionRefused() {}

        @Override
        public void onSlowdown(double slowdown) {
            // Nothing is recorded.
        }
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private static byte[] answer(String id) {
        return ("HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: 6\r\n\r\nbody-" + id.charAt(0))
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] refusal(String id) {
        return ("HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Responds to request {@code number} with its own response, an earlier one, both, or damaged bytes. */
    private Buffer response(int number) {
        String own = "r" + number;
        String earlier = "r" + (number - 1);
        return switch (number % 6) {
            case 0 -> Buffer.buffer(answer(own));
            case 1 -> Buffer.buffer(refusal(earlier)).appendBytes(answer(own));
            case 2 -> Buffer.buffer(answer(earlier)).appendBytes(answer(own));
            case 3 -> Buffer.buffer(answer(own)).appendBytes(refusal(own));
            case 4 -> Buffer.buffer(mutator.mutate(refusal(earlier)));
            default -> Buffer.buffer(mutator.mutate(answer(own)));
        };
    }

    private BackendOutcome send(Endpoint backend, String id) throws Exception {
        BackendRequestData request = new BackendRequestData(
                id,
                new ServiceName("s"),
                OptionalInt.empty(),
                "GET",
                "/x",
                List.of(),
                Buffer.buffer(),
                1,
                Deadline.after(time, DEADLINE),
                "caller",
                PROCESS,
                false);
        Promise<BackendOutcome> outcome = Promise.promise();
        Future<Void> neverCancelled = Promise.<Void>promise().future();
        context.runOnContext(run -> client.send(backend, request, neverCancelled, new PermissiveObserver())
                .onComplete(outcome));
        return await(outcome.future());
    }

    @Test
    void send_damagedResponses_neverTakenForTheResponseToAnotherRequest() throws Exception {
        int[] number = {0};
        NetServer server = vertx.createNetServer()
                .connectHandler(socket ->
                        socket.exceptionHandler(failure -> {}).handler(head -> socket.write(response(number[0]))));
        await(server.listen(0, "127.0.0.1"));
        Endpoint backend = new Endpoint("127.0.0.1", server.actualPort());
        int answered = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            number[0] = i;
            BackendOutcome outcome = send(backend, "r" + i);
            boolean refusedTruly = !(outcome instanceof NotRun);
            assertTrue(refusedTruly, "request " + i + " was reported as not run: " + outcome);
            answered += outcome instanceof Answered ? 1 : 0;
        }
        assertTrue(answered >= REQUESTS / 6, answered + " answers");
        assertEquals(Answered.class, lastOutcome(backend, number).getClass());
    }

    /** Sound responses are accepted again afterwards. */
    private BackendOutcome lastOutcome(Endpoint backend, int[] number) throws Exception {
        number[0] = 6 * REQUESTS;
        return send(backend, "r" + number[0]);
    }
}

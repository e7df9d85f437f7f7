package io.daisyhoist.mesh.connection;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.daisyhoist.core.fuzz.InputMutator;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
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

    private final BackendClientFixture client = new BackendClientFixture(4);
    private final InputMutator mutator = new InputMutator(Long.getLong("daisyhoist.fuzz.seed", 20261205));

    @AfterEach
    void close() {
        client.close();
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

    private BackendOutcome send(Endpoint backend, String id) {
        return BackendClientFixture.await(client.send("GET", id, backend, DEADLINE));
    }

    @Test
    void send_damagedResponses_neverTakenForTheResponseToAnotherRequest() {
        int[] number = {0};
        NetServer server = client.vertx()
                .createNetServer()
                .connectHandler(socket ->
                        socket.exceptionHandler(failure -> {}).handler(head -> socket.write(response(number[0]))));
        BackendClientFixture.await(server.listen(0, "127.0.0.1"));
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
    private BackendOutcome lastOutcome(Endpoint backend, int[] number) {
        number[0] = 6 * REQUESTS;
        return send(backend, "r" + number[0]);
    }
}

package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against delivering a status, a body or a rejection that the backend server did not give to this request, because it
 * writes answers a second time. {@code -Ddaisyhoist.duplicates.seed=N} and {@code -Ddaisyhoist.duplicates.requests=N} change the run.
 */
class DuplicateResponsesTest {
    private static final int REQUESTS = Integer.getInteger("daisyhoist.duplicates.requests", 1_500);
    private static final long SEED = Long.getLong("daisyhoist.duplicates.seed", 20261206);
    private static final int CONCURRENT_REQUESTS = 6;
    private static final int CONNECTIONS = 4;
    private static final double FAULT_SHARE = 0.3;
    private static final Duration DEADLINE = Duration.ofMillis(200);

    private final BackendClientFixture client = new BackendClientFixture(CONNECTIONS);
    private final Semaphore free = new Semaphore(CONCURRENT_REQUESTS);
    private final List<String> mismatches = new CopyOnWriteArrayList<>();
    private final List<String> delivered = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        client.close();
    }

    /** Guards against taking the second answer to one request for the answer to the next one on the connection. */
    @ParameterizedTest
    @EnumSource(DuplicatingBackend.When.class)
    void send_secondAnswersWhole_eachRequestGetsItsOwn(DuplicatingBackend.When when) throws Exception {
        assertOwnAnswers(when, DuplicatingBackend.Part.WHOLE);
    }

    /** Guards against a success in place of a failure, because the beginning of a second answer precedes the next one. */
    @ParameterizedTest
    @EnumSource(DuplicatingBackend.When.class)
    void send_secondAnswersCutOff_eachRequestGetsItsOwn(DuplicatingBackend.When when) throws Exception {
        assertOwnAnswers(when, DuplicatingBackend.Part.CUT_OFF);
    }

    private void assertOwnAnswers(DuplicatingBackend.When when, DuplicatingBackend.Part part) throws Exception {
        DuplicatingBackend backend =
                new DuplicatingBackend(client.vertx(), new DuplicatingBackend.Fault(when, part, FAULT_SHARE), SEED);
        Endpoint address = backend.start();
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "request-" + i;
            assertTrue(free.tryAcquire(5, TimeUnit.SECONDS), "requests do not end");
            client.send("GET", id, address, DEADLINE).onComplete(done -> {
                check(backend, id, done.result());
                free.release();
            });
        }
        assertTrue(free.tryAcquire(CONCURRENT_REQUESTS, 5, TimeUnit.SECONDS), "requests do not end");
        assertEquals(List.of(), mismatches, "seed " + SEED);
        assertTrue(delivered.size() > REQUESTS / 3, delivered.size() + " answers delivered");
    }

    private void check(DuplicatingBackend backend, String id, BackendOutcome outcome) {
        int status;
        if (outcome instanceof Answered answered) {
            status = answered.status();
            delivered.add(id);
        } else if (outcome instanceof NotRun notRun && notRun.reachedBackend()) {
            status = 503;
        } else {
            return;
        }
        DuplicatingBackend.Answer given = backend.answerTo(id).orElse(new DuplicatingBackend.Answer(0, "none"));
        boolean whole = !(outcome instanceof Answered answered)
                || answered.body().toString().equals(given.body());
        if (status != given.status() || !whole) {
            mismatches.add(id + " got " + outcome + ", the backend server answered " + given);
        }
    }
}

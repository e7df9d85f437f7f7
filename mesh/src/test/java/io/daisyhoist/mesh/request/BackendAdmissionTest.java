package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests against a backend server that reads requests and never responds. */
class BackendAdmissionTest {
    private final AtomicInteger arrivals = new AtomicInteger();
    private final AdmissionFixture fixture =
            new AdmissionFixture(2, socket -> socket.handler(request -> arrivals.incrementAndGet()));

    @AfterEach
    void close() {
        fixture.close();
    }

    private Future<BackendOutcome> run(String id, Duration queueWait) {
        Promise<BackendOutcome> outcome = Promise.promise();
        Future<Void> cancelled = Promise.<Void>promise().future();
        fixture.context.runOnContext(run ->
                fixture.admission.run(fixture.request(id), queueWait, cancelled).onComplete(outcome));
        return outcome.future();
    }

    /**
     * Guards against refusing all requests of a route with slots free: the sender's latency estimate from a slow start
     * left no time to queue, and no request ran that could correct the estimate.
     */
    @Test
    void run_noTimeToQueueAndSlotFree_isSent() {
        run("1", Duration.ZERO);
        await().untilAsserted(() -> assertEquals(1, arrivals.get()));
    }

    @Test
    void run_noTimeToQueueAndSlotsBusy_isRefusedAsNotRun() {
        run("1", Duration.ZERO);
        run("2", Duration.ZERO);
        await().until(() -> arrivals.get() == 2);
        NotRun refused = assertInstanceOf(NotRun.class, AdmissionFixture.result(run("3", Duration.ZERO)));
        assertEquals(NotRunReason.OVERLOADED, refused.reason());
        assertEquals(2, arrivals.get());
    }

    /** Guards against requests to an evacuated availability zone by a daemon that has restarted and not read that yet. */
    @Test
    void run_operatorItemsNotRead_isRefusedAsNotRun() {
        fixture.fleet = FleetSnapshot.EMPTY;
        NotRun refused = assertInstanceOf(NotRun.class, AdmissionFixture.result(run("1", Duration.ZERO)));
        assertEquals(NotRunReason.NO_CONFIGURATION, refused.reason());
        assertEquals(0, arrivals.get());
    }

    /** Guards against a request that reaches the backend server again and again although it crashes each process of it. */
    @Test
    void run_requestThatCrashesItsBackend_isRefusedAfterThreeLosses() {
        AtomicInteger crashes = new AtomicInteger();
        AdmissionFixture crashing = new AdmissionFixture(
                2,
                socket -> socket.handler(request -> {
                    crashes.incrementAndGet();
                    socket.close();
                }));
        try {
            for (int i = 0; i < 10; i++) {
                Promise<BackendOutcome> outcome = Promise.promise();
                String id = Integer.toString(i);
                crashing.context.runOnContext(run -> crashing.admission
                        .run(
                                crashing.request(id, "/crash"),
                                Duration.ZERO,
                                Promise.<Void>promise().future())
                        .onComplete(outcome));
                AdmissionFixture.result(outcome.future());
                crashing.restartBackend();
            }
            assertTrue(crashes.get() <= 3, "crashes: " + crashes);
        } finally {
            crashing.close();
        }
    }

    /** Guards against running a request during a planned stop whose answer the exit would cut off, and that is not repeated. */
    @Test
    void run_unrepeatableThatMayOutliveStop_isRefusedAsNotRun() {
        Deadline exit = Deadline.after(fixture.time, Duration.ofSeconds(5));
        fixture.context.runOnContext(run -> fixture.admission.prepareStop(exit, request -> false));
        NotRun refused = assertInstanceOf(NotRun.class, AdmissionFixture.result(run("1", Duration.ZERO)));
        assertEquals(NotRunReason.LEAVING, refused.reason());
        assertEquals(0, arrivals.get());
    }

    /** Guards against refusing requests during a planned stop that their clients repeat. */
    @Test
    void run_repeatableDuringStop_isSent() {
        Deadline exit = Deadline.after(fixture.time, Duration.ofSeconds(5));
        fixture.context.runOnContext(run -> fixture.admission.prepareStop(exit, request -> true));
        run("1", Duration.ZERO);
        await().untilAsserted(() -> assertEquals(1, arrivals.get()));
    }

    /** Guards against a call of a running request that waits behind new requests, so that both hold slots for nothing. */
    @Test
    void run_nestedCallArrivesLast_isSentFirst() {
        List<String> received = new CopyOnWriteArrayList<>();
        AdmissionFixture single =
                new AdmissionFixture(1, socket -> socket.handler(head -> received.add(firstLine(head))));
        try {
            Promise<Void> cancelled = Promise.promise();
            Future<Void> never = Promise.<Void>promise().future();
            Duration wait = Duration.ofSeconds(10);
            single.context.runOnContext(run -> {
                single.admission.run(single.request("1", "/running"), wait, cancelled.future());
                single.admission.run(single.request("2", "/new"), wait, never);
                single.admission.run(single.request("3", "/nested", true), wait, never);
            });
            await().until(() -> received.size() == 1);
            cancelled.complete();
            await().until(() -> received.size() == 2);
            assertEquals(List.of("GET /running HTTP/1.1", "GET /nested HTTP/1.1"), received);
        } finally {
            single.close();
        }
    }

    private static String firstLine(Buffer head) {
        return head.toString().lines().findFirst().orElse("");
    }
}

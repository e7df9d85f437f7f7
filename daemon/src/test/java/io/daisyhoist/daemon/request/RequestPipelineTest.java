package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.daemon.request.TestGroup.ReceivedRequest;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards request handling from the edge to the owner's backend server and back. */
class RequestPipelineTest {
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private volatile Handler<ReceivedRequest> backend = this::respond;
    private final TestGroup group = new TestGroup(received -> {
        receivedRequests.add(received);
        backend.handle(received);
    });

    @AfterEach
    void close() throws Exception {
        group.close();
    }

    private void respond(ReceivedRequest received) {
        received.http().response().end("node " + received.node() + " run " + receivedRequests.size());
    }

    private OutboundResponse send(int node, String method, String path, Optional<String> token) throws Exception {
        return TestGroup.join(group.send(node, method, path, token));
    }

    private static void assertRefused(RefusalCode code, RunState run, OutboundResponse response) {
        assertEquals(
                Optional.of(code),
                response.refusal().map(refusal -> refusal.code()),
                response.body().toString());
        assertEquals(run, response.run());
    }

    @Nested
    class Routing {
        @Test
        void get_atEveryEdge_runsAtTheOwnerWithItsFence() throws Exception {
            group.move(1);
            for (int edge = 0; edge < TestGroup.SIZE; edge++) {
                OutboundResponse response = send(edge, "GET", "level", Optional.empty());
                assertEquals(RunState.RAN, response.run(), response.body().toString());
            }
            assertTrue(receivedRequests.stream().allMatch(received -> received.node() == 1));
            assertEquals("pickup/0:2", receivedRequests.get(0).http().getHeader("Daisyhoist-Fence"));
        }

        /** Guards against a second run if the edge routes with an outdated group record. */
        @Test
        void post_ownerMoved_retriesAtTheNewOwner() throws Exception {
            String token = group.token(2);
            group.nodes.get(0).handingOver = true;
            group.publish();
            Future<OutboundResponse> waiting = group.send(2, "POST", "confirm", Optional.of(token));
            TimeUnit.MILLISECONDS.sleep(50);
            assertEquals(0, receivedRequests.size(), "a request ran while its partition was handed over");
            assertEquals(
                    PartitionTransfer.Result.DONE,
                    group.nodes
                            .get(0)
                            .pipeline
                            .transfer()
                            .handOver(
                                    group.nodes
                                            .get(0)
                                            .snapshot
                                            .record()
                                            .grants()
                                            .get(0),
                                    group.nodes.get(1).member())
                            .toCompletableFuture()
                            .get(5, TimeUnit.SECONDS));
            group.nodes.get(0).handingOver = false;
            group.move(1);
            OutboundResponse response = TestGroup.join(waiting);
            assertEquals(RunState.RAN, response.run(), response.body().toString());
            assertEquals(
                    List.of(1),
                    receivedRequests.stream().map(ReceivedRequest::node).toList());
        }

        /** Guards against many daemons that forward more than their owner's memory. */
        @Test
        void get_ownerHasNoMemory_isNotRun() throws Exception {
            MemoryBudget memory = group.nodes.get(0).memory;
            memory.open(MemoryUse.RESPONSE).growAlways(memory.maxBytes());
            OutboundResponse response = send(1, "GET", "level", Optional.empty());
            assertRefused(RefusalCode.OVERLOADED, RunState.NOT_RUN, response);
            assertEquals(0, receivedRequests.size());
        }

        @Test
        void get_ownerProcessStopped_isServedByTheNextOwner() throws Exception {
            group.move(1);
            group.nodes.get(1).server.close();
            Future<OutboundResponse> waiting = group.send(0, "GET", "level", Optional.empty());
            group.move(2);
            OutboundResponse response = TestGroup.join(waiting);
            assertEquals(RunState.RAN, response.run(), response.body().toString());
            assertEquals(2, receivedRequests.get(receivedRequests.size() - 1).node());
        }
    }

    @Nested
    class AtMostOnce {
        @Test
        void post_sentTenTimesAtOnce_runsOnceAndAllGetItsResponse() throws Exception {
            backend = received -> group.vertx.setTimer(100, fired -> respond(received));
            String token = group.token(1);
            List<Future<OutboundResponse>> sends = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                sends.add(group.send(i % TestGroup.SIZE, "POST", "confirm", Optional.of(token)));
            }
            for (Future<OutboundResponse> each : sends) {
                assertEquals("node 0 run 1", TestGroup.join(each).body().toString());
            }
            assertEquals(
                    "node 0 run 1",
                    send(1, "POST", "confirm", Optional.of(token)).body().toString());
            assertEquals(1, receivedRequests.size());
        }

        /** The backend server may have run the request, so neither a "not run" refusal nor a second run is allowed. */
        @Test
        void post_connectionLostAfterTheWrite_staysUnknownAndNeverRunsAgain() throws Exception {
            String token = group.token(1);
            backend = received -> received.http().connection().close();
            assertRefused(RefusalCode.BACKEND_LOST, RunState.UNKNOWN, send(1, "POST", "confirm", Optional.of(token)));
            backend = RequestPipelineTest.this::respond;
            for (int i = 0; i < 5; i++) {
                assertRefused(
                        RefusalCode.ATTEMPT_OUTCOME_UNKNOWN,
                        RunState.UNKNOWN,
                        send(i % 3, "POST", "confirm", Optional.of(token)));
            }
            assertEquals(1, receivedRequests.size());
        }

        /** A request refused as "not run" must not have run, and its token must still be usable. */
        @Test
        void post_shedByTheBackendServer_isNotRunAndMayRunLater() throws Exception {
            String token = group.token(1);
            backend = received -> received.http()
                    .response()
                    .setStatusCode(503)
                    .putHeader("Retry-After", "60")
                    .end();
            assertRefused(RefusalCode.OVERLOADED, RunState.NOT_RUN, send(1, "POST", "confirm", Optional.of(token)));
            backend = RequestPipelineTest.this::respond;
            assertEquals(
                    RunState.RAN, send(1, "POST", "confirm", Optional.of(token)).run());
        }

        @Test
        void post_movedAfterItsRun_isReplayedByTheNewOwner() throws Exception {
            String token = group.token(2);
            send(2, "POST", "confirm", Optional.of(token));
            group.nodes.get(0).handingOver = true;
            group.publish();
            group.nodes
                    .get(0)
                    .pipeline
                    .transfer()
                    .handOver(
                            group.nodes.get(0).snapshot.record().grants().get(0),
                            group.nodes.get(1).member())
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
            group.nodes.get(0).handingOver = false;
            group.move(1);
            assertEquals(
                    "node 0 run 1",
                    send(2, "POST", "confirm", Optional.of(token)).body().toString());
            assertEquals(1, receivedRequests.size());
        }

        /**
         * Another change of the record before the move is committed changes the epoch that the attempt records must
         * carry.
         */
        @Test
        void post_recordChangesBeforeTheMove_isStillReplayed() throws Exception {
            String token = group.token(2);
            send(2, "POST", "confirm", Optional.of(token));
            TestGroup.Node from = group.nodes.get(0);
            from.handingOver = true;
            group.publish();
            from.pipeline
                    .transfer()
                    .handOver(
                            from.snapshot.record().grants().get(0),
                            group.nodes.get(1).member())
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
            group.changeRecordOnly();
            TimeUnit.MILLISECONDS.sleep(300);
            from.handingOver = false;
            group.move(1);
            assertEquals(
                    "node 0 run 1",
                    send(2, "POST", "confirm", Optional.of(token)).body().toString());
            assertEquals(1, receivedRequests.size());
        }

        /** After an unplanned loss the new owner does not know whether the attempt ran. */
        @Test
        void post_ownerLostWithoutHandOver_isUnknown() throws Exception {
            String token = group.token(2);
            send(2, "POST", "confirm", Optional.of(token));
            group.move(1);
            assertRefused(
                    RefusalCode.ATTEMPT_OUTCOME_UNKNOWN,
                    RunState.UNKNOWN,
                    send(2, "POST", "confirm", Optional.of(token)));
            assertEquals(1, receivedRequests.size());
        }

        /** A client that disconnects during the run must get its recorded response when it sends the attempt again. */
        @Test
        void post_clientDisconnectedDuringTheRun_isRecorded() throws Exception {
            backend = received -> group.vertx.setTimer(150, fired -> respond(received));
            String token = group.token(1);
            Promise<Void> clientDisconnected = Promise.promise();
            group.nodes
                    .get(1)
                    .pipeline
                    .router()
                    .handle(group.request("POST", "confirm", Optional.of(token)), clientDisconnected.future());
            await().until(() -> receivedRequests.size() == 1);
            clientDisconnected.complete();
            assertEquals(
                    "node 0 run 1",
                    send(1, "POST", "confirm", Optional.of(token)).body().toString());
            assertEquals(1, receivedRequests.size());
        }
    }

    @Nested
    class Leases {
        @Test
        void any_leaseLapsed_isNotRun() throws Exception {
            group.nodes.get(0).leaseValid = false;
            group.publish();
            assertRefused(RefusalCode.LEASE_LAPSED, RunState.NOT_RUN, send(0, "POST", "c", Optional.empty()));
            assertEquals(0, receivedRequests.size());
        }

        /** Requests that are queued for admission when the lease lapses must not be written. */
        @Test
        void get_leaseLapsesWhileQueued_isNeverWritten() throws Exception {
            List<ReceivedRequest> slow = new CopyOnWriteArrayList<>();
            backend = slow::add;
            List<Future<OutboundResponse>> running = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                running.add(group.send(0, "POST", "c" + i, Optional.of(group.token(0))));
            }
            await().until(() -> slow.size() == 8);
            group.nodes.get(0).leaseValid = false;
            group.publish();
            slow.forEach(RequestPipelineTest.this::respond);
            int late = 0;
            int notRun = 0;
            for (Future<OutboundResponse> each : running) {
                OutboundResponse response = TestGroup.join(each);
                late += response.run() == RunState.UNKNOWN ? 1 : 0;
                notRun += response.run() == RunState.NOT_RUN ? 1 : 0;
            }
            assertEquals(8, receivedRequests.size(), "a queued request was written without a lease");
            assertEquals(8, late, "a run that ended outside its lease was not reported as unknown");
            assertEquals(4, notRun);
            assertEquals(
                    8.0,
                    group.nodes
                            .get(0)
                            .registry
                            .get("daisyhoist.late_run")
                            .counter()
                            .count());
        }

        @Test
        void any_zoneOut_isNotRun() throws Exception {
            group.zoneOut(0);
            assertRefused(RefusalCode.ZONE_OUT, RunState.NOT_RUN, send(0, "GET", "level", Optional.empty()));
            assertEquals(0, receivedRequests.size());
        }
    }

    @Nested
    class Crashes {
        private final AtomicInteger crashes = new AtomicInteger();

        /**
         * Retries of a request that crashes its backend server must not crash one server after another; others must
         * still run.
         */
        @Test
        void get_crashesItsServer_isRefusedEverywhereAfterTwoLossesAndOthersRun() throws Exception {
            backend = received -> {
                if (!received.http().path().endsWith("poison")) {
                    respond(received);
                    return;
                }
                crashes.incrementAndGet();
                group.nodes.get(received.node()).crashBackend(Duration.ofMillis(150));
            };
            group.nodes.forEach(TestGroup.Node::announce);
            assertTrue(send(0, "GET", "poison", Optional.empty()).refusal().isPresent());
            await().until(() -> send(0, "GET", "poison", Optional.empty())
                    .refusal()
                    .filter(refusal -> refusal.code() == RefusalCode.CRASH_SUSPECT)
                    .isPresent());
            assertEquals(2, crashes.get());
            assertEquals(RunState.RAN, send(0, "GET", "level", Optional.empty()).run());
            group.move(1);
            assertRefused(RefusalCode.CRASH_SUSPECT, RunState.NOT_RUN, send(2, "GET", "poison", Optional.empty()));
            assertEquals(2, crashes.get());
        }
    }
}

package io.daisyhoist.mesh.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.zip.CRC32;

import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.RouteKind;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.mesh.body.BodyLimits;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.Hello;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of large bodies from the client port to the backend server, beside the daemon or behind another one. */
class UploadPathTest {
    private static final int LARGE = 20 << 20;

    private final UploadFixture fixture = new UploadFixture(RouteKind.IDEMPOTENT);
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger closedConnections = new AtomicInteger();
    private final AtomicInteger incompleteBodies = new AtomicInteger();
    private final List<HttpServerRequest> held = new CopyOnWriteArrayList<>();
    private long maxHeldBytes;

    @AfterEach
    void close() {
        fixture.close();
    }

    private static HttpServerResponse response(HttpServerRequest request) {
        return request.response().putHeader("Id", request.getHeader("Id")).putHeader("Signature", "s");
    }

    /** Reads the body and responds with its checksum. */
    private void respondWithChecksum(HttpServerRequest request) {
        requests.incrementAndGet();
        CRC32 checksum = new CRC32();
        request.handler(part -> checksum.update(part.getBytes()));
        request.endHandler(ended -> response(request)
                .putHeader("Framing", request.getHeader("content-length") == null ? "chunked" : "length")
                .end(Long.toString(checksum.getValue())));
    }

    /** Reads nothing until the test says so. */
    private void hold(HttpServerRequest request) {
        if (request.method() == HttpMethod.GET) {
            response(request).end("small");
            return;
        }
        request.connection().closeHandler(closed -> closedConnections.incrementAndGet());
        request.exceptionHandler(closed -> {});
        request.pause();
        incompleteBodies.incrementAndGet();
        held.add(request);
    }

    private void resumeHeld() {
        fixture.context.runOnContext(run -> held.forEach(request -> {
            respondWithChecksum(request);
            request.resume();
        }));
    }

    /** The end of a connection is seen only after the bytes before it have been read. */
    private void awaitClosedBackendConnection() {
        fixture.context.runOnContext(run -> held.forEach(request -> {
            request.handler(part -> {});
            request.endHandler(ended -> incompleteBodies.decrementAndGet());
            request.resume();
        }));
        await().untilAsserted(() -> assertEquals(1, closedConnections.get()));
        assertEquals(1, incompleteBodies.get());
    }

    private static String expected(int bytes) {
        return "200 " + UploadClient.checksum(bytes);
    }

    private void awaitRest(UploadFixture.Daemon... daemons) {
        for (UploadFixture.Daemon daemon : daemons) {
            await().untilAsserted(() -> assertTrue(
                    fixture.onTrafficLoop(daemon::isAtRest),
                    () -> "held " + daemon.memory.heldBytes() + " busy " + daemon.admission.busy()));
        }
    }

    private static String get(CompletableFuture<String> response) throws Exception {
        return response.get(20, TimeUnit.SECONDS);
    }

    private HttpServerRequest awaitHeld() {
        await().until(() -> !held.isEmpty());
        return held.get(0);
    }

    @Nested
    class WholePath {
        private void upload(boolean chunked, boolean local) throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::respondWithChecksum);
            fixture.publish(local ? near.member() : far.member());
            long sampler = fixture.vertx.setPeriodic(
                    1,
                    fired -> fixture.context.runOnContext(run ->
                            maxHeldBytes = Math.max(maxHeldBytes, near.memory.heldBytes() + far.memory.heldBytes())));
            try (UploadClient client = new UploadClient(near.clientPort, LARGE, chunked)) {
                assertEquals(expected(LARGE), get(client.upload()));
            }
            fixture.vertx.cancelTimer(sampler);
            assertEquals(1, requests.get());
            awaitRest(near, far);
            long bound = 2 * BodyLimits.streamedBytes(BodyLimits.FIRST_PART_BYTES + BodyLimits.CHUNK_BYTES);
            assertTrue(maxHeldBytes > 0 && maxHeldBytes <= bound, () -> "held " + maxHeldBytes);
        }

        /** Guards against a body that is lost, repeated or reordered in part, and against one that is held whole. */
        @Test
        void upload_withLengthToLocalBackend_arrivesIdentical() throws Exception {
            upload(false, true);
        }

        @Test
        void upload_chunkedToLocalBackend_arrivesIdentical() throws Exception {
            upload(true, true);
        }

        @Test
        void upload_withLengthOverPeer_arrivesIdentical() throws Exception {
            upload(false, false);
        }

        @Test
        void upload_chunkedOverPeer_arrivesIdentical() throws Exception {
            upload(true, false);
        }

        /**
         * Guards against errors at the sizes at which a body is held whole, or ends with its first part or a chunk, and against
         * connections of clients that are closed although their body has been read.
         */
        @Test
        void upload_ofBoundarySizes_arrivesIdentical() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::respondWithChecksum);
            int first = BodyLimits.FIRST_PART_BYTES;
            for (UploadFixture.Daemon target : List.of(near, far)) {
                fixture.publish(target.member());
                for (int bytes : List.of(0, 1, first - 1, first, first + 1, first + BodyLimits.CHUNK_BYTES, 200_000)) {
                    for (boolean chunked : List.of(false, true)) {
                        try (UploadClient client = new UploadClient(near.clientPort, bytes, chunked)) {
                            assertEquals(expected(bytes), get(client.upload()), () -> bytes + " bytes");
                            assertFalse(client.isClosing(), () -> bytes + " bytes");
                        }
                    }
                }
            }
            awaitRest(near, far);
        }

        /** Guards against a daemon that reads a body faster than the backend server, and has to hold the difference. */
        @Test
        void upload_toSlowBackend_isNotReadFromClient() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::hold);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::hold);
            fixture.publish(far.member());
            // More than the socket buffers of all hops take.
            int bytes = 60 << 20;
            try (UploadClient client = new UploadClient(near.clientPort, bytes, false)) {
                CompletableFuture<String> response = client.upload();
                awaitHeld();
                long[] sent = {-1};
                await().pollInterval(300, TimeUnit.MILLISECONDS).until(() -> {
                    long before = sent[0];
                    sent[0] = client.sentBytes();
                    return before == sent[0];
                });
                assertTrue(sent[0] < bytes, () -> "sent " + sent[0]);
                resumeHeld();
                assertEquals(expected(bytes), get(response));
            }
            awaitRest(near, far);
        }

        /** Guards against small requests that wait behind the bytes of an upload. */
        @Test
        void smallRequest_besideUploadThatWaits_isServed() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::hold);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::hold);
            fixture.publish(far.member());
            try (UploadClient client = new UploadClient(near.clientPort, 60 << 20, true)) {
                CompletableFuture<String> response = client.upload();
                awaitHeld();
                for (int i = 0; i < 20; i++) {
                    String id = "small-" + i;
                    Buffer body = UploadFixture.result(fixture.vertx
                            .createHttpClient()
                            .request(HttpMethod.GET, near.clientPort, "127.0.0.1", "/x")
                            .compose(request -> request.putHeader("Host", "h")
                                    .putHeader("Id", id)
                                    .send())
                            .compose(small -> small.body()));
                    assertEquals("small", body.toString());
                }
                resumeHeld();
                assertEquals(expected(60 << 20), get(response));
            }
        }
    }

    @Nested
    class Failures {
        /** Guards against a body that lacks its first part, or is repeated, at the second backend server. */
        @Test
        void upload_refusedByFirstBackend_arrivesIdenticalAtSecond() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon full = fixture.new Daemon("full", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::respondWithChecksum);
            full.admission.close();
            fixture.onTrafficLoop(() -> {
                near.loadBalancer.onReport(far.id, new LoadBalancer.Report(5, 6, 1));
                return true;
            });
            fixture.publish(full.member(), far.member());
            try (UploadClient client = new UploadClient(near.clientPort, LARGE, false)) {
                assertEquals(expected(LARGE), get(client.upload()));
            }
            assertEquals(1, requests.get());
            awaitRest(near, full, far);
        }

        /** Guards against giving up, or running twice, a request whose peer is lost before it has asked for the body. */
        @Test
        void upload_peerLostBeforeItAskedForTheBody_goesToSecondBackend() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::respondWithChecksum);
            AtomicInteger received = new AtomicInteger();
            fixture.onTrafficLoop(() -> {
                near.loadBalancer.onReport(far.id, new LoadBalancer.Report(5, 6, 1));
                return true;
            });
            // A message without a body is a violation of the protocol, for which the sender closes the connection.
            fixture.publish(
                    fixture.memberWith("lost", (from, message, reply) -> {
                        received.incrementAndGet();
                        reply.sendBeforeReply(Envelope.newBuilder()
                                .setHello(Hello.getDefaultInstance())
                                .build());
                    }),
                    far.member());
            try (UploadClient client = new UploadClient(near.clientPort, LARGE, false)) {
                assertEquals(expected(LARGE), get(client.upload()));
            }
            assertEquals(1, received.get());
            awaitRest(near, far);
        }

        /** Guards against requests, memory and connections that remain when their client has gone. */
        @Test
        void upload_clientDisconnectsInTheMiddle_releasesEverything() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::hold);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::hold);
            for (UploadFixture.Daemon target : List.of(near, far)) {
                fixture.publish(target.member());
                held.clear();
                closedConnections.set(0);
                incompleteBodies.set(0);
                UploadClient client = new UploadClient(near.clientPort, LARGE, false);
                client.send(200_000);
                awaitHeld();
                client.close();
                awaitClosedBackendConnection();
                awaitRest(near, far);
            }
        }

        /** Guards against other bytes in place of the rest of a body, and against a lost response. */
        @Test
        void upload_backendAnswersEarly_deliversResponseAndClosesConnection() throws Exception {
            List<HttpConnection> connections = new ArrayList<>();
            UploadFixture.Daemon near = fixture.new Daemon("near", request -> {
                connections.add(request.connection());
                request.pause();
                response(request).setStatusCode(409).end("early");
            });
            UploadFixture.Daemon far = fixture.new Daemon("far", request -> {
                connections.add(request.connection());
                request.pause();
                response(request).setStatusCode(409).end("early");
            });
            for (UploadFixture.Daemon target : List.of(near, far)) {
                fixture.publish(target.member());
                for (int i = 0; i < 2; i++) {
                    try (UploadClient client = new UploadClient(near.clientPort, LARGE, false)) {
                        assertEquals("409 early", get(client.upload()));
                        assertTrue(client.isClosing());
                    }
                }
            }
            assertEquals(4, connections.stream().distinct().count());
            awaitRest(near, far);
        }

        /** Guards against a request that is sent again although the backend server may have run it. */
        @Test
        void upload_peerLostInTheMiddle_isUnknownAndNotRepeated() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::hold);
            fixture.onTrafficLoop(() -> {
                near.loadBalancer.onReport(near.id, new LoadBalancer.Report(5, 6, 1));
                near.loadBalancer.onReport(far.id, new LoadBalancer.Report(0, 6, 1));
                return true;
            });
            fixture.publish(near.member(), far.member());
            try (UploadClient client = new UploadClient(near.clientPort, LARGE, false)) {
                CompletableFuture<String> response = client.upload();
                awaitHeld();
                far.peerServer.close();
                assertEquals("502 ", get(response));
            }
            assertEquals(0, requests.get());
            awaitClosedBackendConnection();
            awaitRest(near, far);
        }

        /** Guards against bodies without an announced length that grow without a limit. */
        @Test
        void upload_chunkedBeyondLimit_isNotPassedOnAsComplete() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            UploadFixture.Daemon far = fixture.new Daemon("far", UploadPathTest.this::respondWithChecksum);
            int bytes = (int) ClientLimits.DEFAULT.maxBodyBytes() + 1;
            for (UploadFixture.Daemon target : List.of(near, far)) {
                fixture.publish(target.member());
                try (UploadClient client = new UploadClient(near.clientPort, bytes, true)) {
                    assertEquals("502 ", get(client.upload()));
                }
            }
            awaitRest(near, far);
        }

        private void takeMemory(UploadFixture.Daemon daemon, long bytes) {
            fixture.onTrafficLoop(() -> {
                daemon.memory.open(MemoryUse.RESPONSE).growAlways(bytes);
                return true;
            });
        }

        /** Guards against a client that is asked for a body for which there is no memory. */
        @Test
        void upload_expectsContinue_isAskedForBodyOnlyIfItIsAccepted() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            fixture.publish(near.member());
            try (UploadClient client = new UploadClient(near.clientPort, LARGE, false)) {
                client.expectContinue();
                assertEquals("100 ", client.readResponse());
            }
            awaitRest(near);
            takeMemory(near, UploadFixture.MEMORY_BYTES);
            try (UploadClient client = new UploadClient(near.clientPort, LARGE, false)) {
                client.expectContinue();
                assertEquals("503 ", client.readResponse());
            }
        }

        /** Guards against memory that bodies take beyond the budget, and against refusals that are not known as such. */
        @Test
        void upload_memoryExhausted_isRefusedAsNotRun() throws Exception {
            UploadFixture.Daemon near = fixture.new Daemon("near", UploadPathTest.this::respondWithChecksum);
            fixture.publish(near.member());
            takeMemory(near, UploadFixture.MEMORY_BYTES - 100_000);
            for (boolean chunked : List.of(false, true)) {
                try (UploadClient client = new UploadClient(near.clientPort, LARGE, chunked)) {
                    assertEquals("503 ", get(client.upload()));
                }
            }
            assertEquals(0, requests.get());
            try (UploadClient client = new UploadClient(near.clientPort, 1_000, false)) {
                assertEquals(expected(1_000), get(client.upload()));
            }
        }
    }
}

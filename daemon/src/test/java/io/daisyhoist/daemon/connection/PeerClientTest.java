package io.daisyhoist.daemon.connection;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.BodyChunk;
import io.daisyhoist.wire.proto.BodyCredit;
import io.daisyhoist.wire.proto.Envelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the matching of replies to calls and the certainty of failed calls. */
class PeerClientTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    private record Received(Envelope message, Consumer<Envelope> reply) {}

    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    private PeerNode node(String name, String cluster, PeerHandler handler) {
        PeerNode node = new PeerNode(name, cluster, handler);
        closeables.add(node);
        return node;
    }

    private PeerNode caller() {
        return node("caller", "test", (from, message, reply) -> {});
    }

    private PeerNode recordingPeer() {
        return node("peer", "test", (from, message, reply) -> received.add(new Received(message, reply)));
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
    }

    private static PeerException failureOf(CompletableFuture<Envelope> call) {
        return (PeerException) assertThrows(Exception.class, () -> call.get(10, TimeUnit.SECONDS))
                .getCause();
    }

    private static void assertFailure(
            PeerException.Reason reason, DeliveryCertainty certainty, CompletableFuture<Envelope> call) {
        PeerException failure = failureOf(call);
        assertEquals(reason, failure.reason(), failure.getMessage());
        assertEquals(certainty, failure.certainty(), failure.getMessage());
    }

    @Nested
    class Replies {
        /** A reply matched to the wrong call would deliver the response to another request. */
        @Test
        void call_repliesInRandomOrder_eachGetsItsOwn() throws Exception {
            PeerNode recordingPeer = recordingPeer();
            PeerNode caller = caller();
            for (int round = 0; round < 20; round++) {
                received.clear();
                List<CompletableFuture<Envelope>> calls = new ArrayList<>();
                for (int i = 0; i < PeerNode.LIMITS.maxPendingCalls(); i++) {
                    calls.add(caller.client.call(
                            recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("r" + i), LONG_TIMEOUT));
                }
                await().atMost(LONG_TIMEOUT).until(() -> received.size() == calls.size());
                List<Received> shuffled = new ArrayList<>(received);
                Collections.shuffle(shuffled, new Random(round));
                shuffled.forEach(each -> each.reply()
                        .accept(PeerNode.response(
                                each.message().getForwardRequest().getPath())));
                for (int i = 0; i < calls.size(); i++) {
                    Envelope reply = calls.get(i).get(10, TimeUnit.SECONDS);
                    assertEquals("r" + i, reply.getForwardResponse().getBackend());
                }
            }
        }

        /** A late reply must be dropped, and the peer must receive a cancel request. */
        @Test
        void call_cancelledThenLateReply_isNotDeliveredToTheNextCall() throws Exception {
            PeerNode recordingPeer = recordingPeer();
            PeerNode caller = caller();
            CompletableFuture<Envelope> first = caller.client.call(
                    recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("first"), LONG_TIMEOUT);
            await().until(() -> received.size() == 1);
            first.cancel(true);
            await().until(() -> received.size() == 2);
            Envelope cancel = received.get(1).message();
            assertEquals(
                    received.get(0).message().getRequestId(),
                    cancel.getCancelRequest().getCancelledRequestId());
            CompletableFuture<Envelope> second = caller.client.call(
                    recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("second"), LONG_TIMEOUT);
            await().until(() -> received.size() == 3);
            received.get(0).reply().accept(PeerNode.response("first"));
            received.get(2).reply().accept(PeerNode.response("second"));
            assertEquals(
                    "second",
                    second.get(5, TimeUnit.SECONDS).getForwardResponse().getBackend());
        }

        @Test
        void send_oneWay_arrivesWithoutRequestId() {
            PeerNode recordingPeer = recordingPeer();
            caller().client.send(recordingPeer.endpoint, PeerChannel.CONTROL, PeerNode.request("one-way"));
            await().until(() -> received.size() == 1);
            assertEquals(0, received.get(0).message().getRequestId());
        }

        /** Bulk data on the traffic connection must not delay a heartbeat. */
        @Test
        void call_bothChannels_useSeparateConnections() {
            PeerNode recordingPeer = recordingPeer();
            PeerNode caller = caller();
            caller.client.send(recordingPeer.endpoint, PeerChannel.CONTROL, PeerNode.request("c"));
            caller.client.send(recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("t"));
            await().until(() -> received.size() == 2);
            assertEquals(2, recordingPeer.server.connectionCount());
        }
    }

    @Nested
    class Failures {
        @Test
        void call_connectionRefused_isNotSentAndLaterReconnects() throws Exception {
            Endpoint free = freeEndpoint();
            PeerNode caller = caller();
            assertFailure(
                    PeerException.Reason.CONNECT_FAILED,
                    DeliveryCertainty.NOT_SENT,
                    caller.client.call(free, PeerChannel.TRAFFIC, PeerNode.request("r"), LONG_TIMEOUT));
            PeerNode late = new PeerNode(
                    "late", "test", (from, message, reply) -> reply.accept(PeerNode.response("ok")), free.port());
            closeables.add(late);
            await().atMost(LONG_TIMEOUT)
                    .ignoreExceptions()
                    .until(() -> caller.callAndWait(free, PeerNode.request("r"), LONG_TIMEOUT)
                            .hasForwardResponse());
        }

        /** Reporting a possibly received request as "not run" would allow it to run twice. */
        @Test
        void call_connectionLostWhilePending_failsAllAsMayHaveBeenSent() {
            PeerNode recordingPeer = recordingPeer();
            PeerNode caller = caller();
            List<CompletableFuture<Envelope>> calls = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                calls.add(caller.client.call(
                        recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("r" + i), LONG_TIMEOUT));
            }
            await().until(() -> received.size() == calls.size());
            recordingPeer.server.close();
            calls.forEach(call ->
                    assertFailure(PeerException.Reason.CONNECTION_LOST, DeliveryCertainty.MAY_HAVE_BEEN_SENT, call));
        }

        @Test
        void call_noReply_timesOutAsMayHaveBeenSent() {
            PeerNode recordingPeer = recordingPeer();
            CompletableFuture<Envelope> call = caller().client
                    .call(recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("r"), Duration.ofMillis(150));
            assertFailure(PeerException.Reason.TIMEOUT, DeliveryCertainty.MAY_HAVE_BEEN_SENT, call);
            await().until(() ->
                    received.stream().anyMatch(each -> each.message().hasCancelRequest()));
        }

        @Test
        void call_otherCluster_isNotSent() {
            PeerNode other =
                    node("other", "other", (from, message, reply) -> received.add(new Received(message, reply)));
            PeerException failure = failureOf(
                    caller().client.call(other.endpoint, PeerChannel.TRAFFIC, PeerNode.request("r"), LONG_TIMEOUT));
            assertEquals(DeliveryCertainty.NOT_SENT, failure.certainty());
            assertTrue(received.isEmpty(), "the request reached a daemon of another cluster");
        }

        @Test
        void call_tooManyPending_isNotSent() {
            PeerNode recordingPeer = recordingPeer();
            PeerNode caller = caller();
            for (int i = 0; i < PeerNode.LIMITS.maxPendingCalls(); i++) {
                caller.client.call(recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("r"), LONG_TIMEOUT);
            }
            assertFailure(
                    PeerException.Reason.TOO_MANY_PENDING,
                    DeliveryCertainty.NOT_SENT,
                    caller.client.call(
                            recordingPeer.endpoint, PeerChannel.TRAFFIC, PeerNode.request("r"), LONG_TIMEOUT));
        }

        @Test
        void call_messageBeyondFrameLimit_isNotSent() {
            assertFailure(
                    PeerException.Reason.TOO_LARGE,
                    DeliveryCertainty.NOT_SENT,
                    caller().client
                            .call(
                                    recordingPeer().endpoint,
                                    PeerChannel.TRAFFIC,
                                    PeerNode.request("x".repeat(PeerNode.LIMITS.maxFrameBytes())),
                                    LONG_TIMEOUT));
        }

        /** A frozen peer keeps its connection open; without a probe, heartbeats would wait on the dead connection. */
        @Test
        void call_peerStopsResponding_connectionIsClosed() throws Exception {
            try (ServerSocket frozen = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                Endpoint endpoint = new Endpoint("127.0.0.1", frozen.getLocalPort());
                CompletableFuture<Envelope> call =
                        caller().client.call(endpoint, PeerChannel.CONTROL, PeerNode.request("r"), LONG_TIMEOUT);
                try (Socket accepted = frozen.accept()) {
                    replyToHello(accepted);
                    long start = System.nanoTime();
                    assertFailure(PeerException.Reason.CONNECTION_LOST, DeliveryCertainty.MAY_HAVE_BEEN_SENT, call);
                    assertTrue(System.nanoTime() - start < Duration.ofSeconds(2).toNanos());
                }
            }
        }

        /** Guards against giving up a request that may not be repeated, and runs, because its peer was only paused. */
        @Test
        void call_peerPausedAndPolicyIsWait_getsItsReply() throws Exception {
            try (ServerSocket paused = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                Endpoint endpoint = new Endpoint("127.0.0.1", paused.getLocalPort());
                PeerNode caller = caller();
                CompletableFuture<Envelope> waiting = caller.client.call(
                        endpoint, PeerChannel.TRAFFIC, PeerNode.request("w"), LONG_TIMEOUT, SilencePolicy.WAIT);
                CompletableFuture<Envelope> failing =
                        caller.client.call(endpoint, PeerChannel.TRAFFIC, PeerNode.request("f"), LONG_TIMEOUT);
                try (Socket first = paused.accept()) {
                    replyToHello(first);
                    assertFailure(PeerException.Reason.CONNECTION_LOST, DeliveryCertainty.MAY_HAVE_BEEN_SENT, failing);
                    assertFalse(waiting.isDone(), "the request was given up");
                    try (Socket second = paused.accept()) {
                        replyToHello(second);
                        assertLaterCallUses(second, endpoint, caller);
                    }
                    Envelope request = readForwardRequest(first);
                    replyTo(request, "late").writeDelimitedTo(first.getOutputStream());
                    assertEquals(
                            "late",
                            waiting.get(5, TimeUnit.SECONDS)
                                    .getForwardResponse()
                                    .getBackend());
                    assertEquals(-1, readToEnd(first), "the replaced connection stayed open");
                }
            }
        }

        /** Guards against a call that waits forever, or a connection that stays open, when the peer never responds. */
        @Test
        void call_peerStaysSilentAndPolicyIsWait_endsAtItsTimeout() throws Exception {
            try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                Endpoint endpoint = new Endpoint("127.0.0.1", silent.getLocalPort());
                CompletableFuture<Envelope> call = caller().client
                        .call(
                                endpoint,
                                PeerChannel.TRAFFIC,
                                PeerNode.request("w"),
                                Duration.ofSeconds(1),
                                SilencePolicy.WAIT);
                try (Socket accepted = silent.accept()) {
                    replyToHello(accepted);
                    assertFailure(PeerException.Reason.TIMEOUT, DeliveryCertainty.MAY_HAVE_BEEN_SENT, call);
                    assertEquals(-1, readToEnd(accepted), "the replaced connection stayed open");
                }
            }
        }

        /** Guards against processing frames that were decoded together with a rejected one. */
        @Test
        void call_undecodableFrameBeforeReply_isNotAnswered() throws Exception {
            try (ServerSocket damaged = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                Endpoint endpoint = new Endpoint("127.0.0.1", damaged.getLocalPort());
                CompletableFuture<Envelope> call =
                        caller().client.call(endpoint, PeerChannel.TRAFFIC, PeerNode.request("r"), LONG_TIMEOUT);
                try (Socket accepted = damaged.accept()) {
                    replyToHello(accepted);
                    ByteArrayOutputStream frames = new ByteArrayOutputStream();
                    frames.write(new byte[] {3, -1, -1, -1});
                    replyTo(readForwardRequest(accepted), "reply").writeDelimitedTo(frames);
                    accepted.getOutputStream().write(frames.toByteArray());
                    assertFailure(PeerException.Reason.CONNECTION_LOST, DeliveryCertainty.MAY_HAVE_BEEN_SENT, call);
                }
            }
        }

        /** Guards against a reply of another process than the one that received the request. */
        @Test
        void call_helloOfAnotherProcess_connectionIsClosed() throws Exception {
            try (ServerSocket mixed = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                Endpoint endpoint = new Endpoint("127.0.0.1", mixed.getLocalPort());
                CompletableFuture<Envelope> call =
                        caller().client.call(endpoint, PeerChannel.TRAFFIC, PeerNode.request("r"), LONG_TIMEOUT);
                try (Socket accepted = mixed.accept()) {
                    replyToHello(accepted);
                    Envelope request = readForwardRequest(accepted);
                    PeerIdentity other = new PeerIdentity("test", new ProcessId(new DaemonId("other"), 1));
                    other.hello().writeDelimitedTo(accepted.getOutputStream());
                    replyTo(request, "reply").writeDelimitedTo(accepted.getOutputStream());
                    assertFailure(PeerException.Reason.CONNECTION_LOST, DeliveryCertainty.MAY_HAVE_BEEN_SENT, call);
                    assertEquals(-1, readToEnd(accepted), "the connection stayed open");
                }
            }
        }

        private Envelope replyTo(Envelope request, String text) {
            return PeerNode.response(text).toBuilder()
                    .setRequestId(request.getRequestId())
                    .build();
        }

        private void assertLaterCallUses(Socket connection, Endpoint endpoint, PeerNode caller) throws Exception {
            caller.client.send(endpoint, PeerChannel.TRAFFIC, PeerNode.request("later"));
            Envelope later = readForwardRequest(connection);
            assertEquals("later", later.getForwardRequest().getPath());
        }

        private Envelope readForwardRequest(Socket connection) throws Exception {
            Envelope message = Envelope.parseDelimitedFrom(connection.getInputStream());
            return message.hasForwardRequest() ? message : readForwardRequest(connection);
        }

        private int readToEnd(Socket connection) throws Exception {
            connection.setSoTimeout((int) LONG_TIMEOUT.toMillis());
            byte[] buffer = new byte[4096];
            int read;
            do {
                read = connection.getInputStream().read(buffer);
            } while (read >= 0);
            return read;
        }

        private void replyToHello(Socket accepted) throws Exception {
            InputStream in = accepted.getInputStream();
            Envelope hello = Envelope.parseDelimitedFrom(in);
            hello.writeDelimitedTo(accepted.getOutputStream());
        }

        private Endpoint freeEndpoint() throws Exception {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                return new Endpoint("127.0.0.1", socket.getLocalPort());
            }
        }
    }

    @Nested
    class Uploads {
        private final List<Long> credits = new CopyOnWriteArrayList<>();
        private final List<BodyChunkWriter> writers = new CopyOnWriteArrayList<>();

        private CompletableFuture<Envelope> upload(PeerNode caller, PeerNode peer) {
            return caller.client.upload(
                    peer.endpoint, PeerNode.request("u"), LONG_TIMEOUT, SilencePolicy.FAIL, (bytes, writer) -> {
                        credits.add(bytes);
                        writers.add(writer);
                    });
        }

        private PeerNode peerThatGrantsCredit() {
            return node("peer", "test", (from, message, reply) -> {
                received.add(new Received(message, reply));
                if (message.hasForwardRequest()) {
                    reply.sendBeforeReply(Envelope.newBuilder()
                            .setBodyCredit(BodyCredit.newBuilder().setBytes(7))
                            .build());
                }
            });
        }

        /** Guards against credit that is taken for the reply, and chunks that cannot be matched to their request. */
        @Test
        void upload_creditBeforeReply_doesNotEndTheCall() throws Exception {
            PeerNode peer = peerThatGrantsCredit();
            CompletableFuture<Envelope> call = upload(caller(), peer);
            await().until(() -> credits.equals(List.of(7L)));
            writers.get(0)
                    .write(BodyChunk.newBuilder().setLast(true).build())
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
            await().until(() -> received.size() == 2);
            assertTrue(received.get(1).message().getBodyChunk().getLast());
            assertEquals(
                    received.get(0).message().getRequestId(),
                    received.get(1).message().getRequestId());
            received.get(0).reply().accept(PeerNode.response("u"));
            assertEquals("u", call.get(5, TimeUnit.SECONDS).getForwardResponse().getBackend());
        }

        /** Guards against chunks that are sent, or writes that never end, when the request is over. */
        @Test
        void write_afterReply_failsAndSendsNothing() throws Exception {
            PeerNode peer = peerThatGrantsCredit();
            CompletableFuture<Envelope> call = upload(caller(), peer);
            await().until(() -> !writers.isEmpty());
            received.get(0).reply().accept(PeerNode.response("u"));
            call.get(5, TimeUnit.SECONDS);
            assertThrows(
                    Exception.class,
                    () -> writers.get(0)
                            .write(BodyChunk.getDefaultInstance())
                            .toCompletableFuture()
                            .get(5, TimeUnit.SECONDS));
            assertEquals(1, received.size());
        }
    }
}

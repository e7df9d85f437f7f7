package io.daisyhoist.mesh.body;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.daemon.connection.BodyChunkWriter;
import io.daisyhoist.wire.proto.BodyChunk;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of both ends of a body that is streamed between daemons, without a network between them. */
class PeerBodyTest {
    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();

    @AfterEach
    void close() {
        vertx.close();
    }

    private void onLoop(Runnable action) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(run -> {
            action.run();
            done.complete();
        });
        try {
            done.future().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    @Nested
    class Receiver {
        private final List<Integer> credits = new ArrayList<>();
        private final ReceivedBodyRest rest = new ReceivedBodyRest(credits::add);

        private Buffer bytes(int length) {
            return Buffer.buffer(new byte[length]);
        }

        /** Guards against a request that is written although its sender has gone and can tell that it did not run. */
        @Test
        void open_beforeFirstChunk_isNotComplete() {
            Future<Void> opened = rest.open();
            assertEquals(List.of(BodyLimits.WINDOW_BYTES), credits);
            assertFalse(opened.isComplete());
            assertTrue(rest.onChunk(bytes(1), false));
            assertTrue(opened.succeeded());
        }

        /** Guards against a second window when the request needs another connection to the backend server. */
        @Test
        void open_again_grantsNothingMore() {
            rest.open();
            rest.open();
            assertEquals(List.of(BodyLimits.WINDOW_BYTES), credits);
        }

        /** Guards against a sender that fills the memory of the receiver. */
        @Test
        void onChunk_beyondCredit_isRejected() {
            rest.open();
            assertTrue(rest.onChunk(bytes(BodyLimits.WINDOW_BYTES), false));
            assertFalse(rest.onChunk(bytes(1), false));
            assertTrue(rest.read().failed());
        }

        /** Guards against credit for bytes that have not been written yet. */
        @Test
        void read_grantsCreditOnlyForPartsReadBefore() {
            rest.open();
            rest.onChunk(bytes(BodyLimits.CHUNK_BYTES), false);
            rest.read();
            assertEquals(1, credits.size());
            rest.read();
            assertEquals(List.of(BodyLimits.WINDOW_BYTES, BodyLimits.CHUNK_BYTES), credits);
        }

        /** Guards against a reader that waits for ever when the sender is lost. */
        @Test
        void fail_whileReading_failsTheRead() {
            rest.open();
            rest.onChunk(bytes(0), false);
            Future<?> read = rest.read();
            rest.fail("lost");
            assertTrue(read.failed());
        }
    }

    @Nested
    class Sender {
        private final List<BodyChunk> chunks = new ArrayList<>();
        private final List<CompletableFuture<Void>> writes = new ArrayList<>();
        private final ReceivedBodyRest source = new ReceivedBodyRest(credit -> {});
        private final PeerBodySender sender = new PeerBodySender(
                context, RequestBody.streamed(Buffer.buffer(), OptionalLong.empty(), source), source);

        private final BodyChunkWriter writer = chunk -> {
            chunks.add(chunk);
            CompletableFuture<Void> written = new CompletableFuture<>();
            writes.add(written);
            return written;
        };

        private void grant(int bytes) {
            sender.onCredit(bytes, writer);
            onLoop(() -> {});
        }

        private void completeWrite(int index) {
            writes.get(index).complete(null);
            onLoop(() -> {});
        }

        private List<Integer> sizes() {
            return chunks.stream().map(chunk -> chunk.getData().size()).toList();
        }

        /** Guards against an upload that sends more than its receiver can hold, or queues more than one chunk. */
        @Test
        void send_staysWithinCreditAndOneChunk() {
            onLoop(() -> {
                source.open();
                source.onChunk(Buffer.buffer(new byte[2 * BodyLimits.CHUNK_BYTES]), true);
            });
            assertTrue(chunks.isEmpty());
            grant(BodyLimits.CHUNK_BYTES + 5);
            assertEquals(List.of(BodyLimits.CHUNK_BYTES), sizes());
            completeWrite(0);
            assertEquals(List.of(BodyLimits.CHUNK_BYTES, 5), sizes());
            completeWrite(1);
            assertEquals(2, chunks.size());
            grant(BodyLimits.WINDOW_BYTES);
            completeWrite(2);
            assertEquals(List.of(BodyLimits.CHUNK_BYTES, 5, BodyLimits.CHUNK_BYTES - 5, 0), sizes());
            assertTrue(chunks.get(3).getLast());
        }

        /** Guards against a receiver that takes a body that was cut off for a complete one. */
        @Test
        void send_sourceFails_isAborted() {
            grant(BodyLimits.WINDOW_BYTES);
            onLoop(() -> source.fail("client has disconnected"));
            assertEquals(1, chunks.size());
            assertTrue(chunks.get(0).getAborted());
            assertFalse(chunks.get(0).getLast());
        }

        /** Guards against a body that is read after its request was given up, and cannot be sent to another daemon. */
        @Test
        void stop_beforeCredit_readsNothing() {
            onLoop(sender::stop);
            grant(BodyLimits.WINDOW_BYTES);
            assertFalse(source.isStarted());
            assertFalse(sender.isStarted());
        }
    }
}

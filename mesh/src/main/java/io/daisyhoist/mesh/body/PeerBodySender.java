package io.daisyhoist.mesh.body;

import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.UnsafeByteOperations;
import io.daisyhoist.daemon.connection.BodyChunkWriter;
import io.daisyhoist.wire.proto.BodyChunk;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Sends the rest of a body to another daemon within the credit that it grants.
 *
 * <p>Invariants: nothing is read before the first credit; at most one chunk of the body waits for the network; nothing is read
 * after {@link #stop}. Confined to the traffic event loop, except {@link #onCredit}.
 */
public final class PeerBodySender {
    private final Context context;
    private final BodyPump pump;
    private Optional<BodyChunkWriter> writer = Optional.empty();
    private Optional<PendingPart> pendingPart = Optional.empty();
    private long creditBytes;
    private boolean writing;
    private boolean stopped;

    /** Part of a body of which a chunk is not written yet. */
    private record PendingPart(Buffer part, Promise<Void> written) {}

    private final class Chunks implements BodyPump.Destination {
        @Override
        public Future<Void> write(Buffer part) {
            Promise<Void> written = Promise.promise();
            pendingPart = Optional.of(new PendingPart(part, written));
            writeNext();
            return written.future();
        }

        @Override
        public Future<Void> end() {
            return writeChunk(BodyChunk.newBuilder().setLast(true).build());
        }
    }

    /**
     * Creates a sender that waits for credit.
     *
     * @param body body whose first part is sent with the request
     * @param rest the part that follows
     */
    public PeerBodySender(Context context, RequestBody body, BodyRest rest) {
        this.context = context;
        OptionalLong missingBytes = body.length().isPresent()
                ? OptionalLong.of(body.length().getAsLong() - body.first().length())
                : OptionalLong.empty();
        this.pump = new BodyPump(rest, missingBytes, new Chunks());
    }

    /** Handles credit; called on the event loop of the connection. */
    public void onCredit(long bytes, BodyChunkWriter chunkWriter) {
        context.runOnContext(run -> grant(bytes, chunkWriter));
    }

    /** Sends nothing more. */
    public void stop() {
        stopped = true;
        pump.stop();
        pendingPart = Optional.empty();
    }

    /** Returns whether the receiver may have received a byte of the rest, and may have written to the backend server. */
    public boolean isStarted() {
        return writer.isPresent();
    }

    private void grant(long bytes, BodyChunkWriter chunkWriter) {
        if (stopped) {
            return;
        }
        creditBytes += bytes;
        boolean first = writer.isEmpty();
        writer = Optional.of(chunkWriter);
        if (first) {
            pump.run().onFailure(this::abort);
        } else {
            writeNext();
        }
    }

    private void abort(Throwable reason) {
        if (!stopped && reason instanceof BodyAbortedException) {
            writeChunk(BodyChunk.newBuilder().setAborted(true).build());
        }
    }

    private void writeNext() {
        if (pendingPart.isEmpty() || writing || creditBytes <= 0 || stopped) {
            return;
        }
        PendingPart pending = pendingPart.get();
        int bytes = (int) Math.min(Math.min(pending.part().length(), BodyLimits.CHUNK_BYTES), creditBytes);
        creditBytes -= bytes;
        pendingPart = bytes == pending.part().length()
                ? Optional.empty()
                : Optional.of(new PendingPart(
                        pending.part().slice(bytes, pending.part().length()), pending.written()));
        BodyChunk chunk = BodyChunk.newBuilder()
                .setData(UnsafeByteOperations.unsafeWrap(pending.part().getBytes(0, bytes)))
                .build();
        writing = true;
        writeChunk(chunk).onComplete(done -> {
            writing = false;
            if (done.failed()) {
                pending.written().tryFail(done.cause());
            } else if (pendingPart.isEmpty()) {
                pending.written().tryComplete();
            } else {
                writeNext();
            }
        });
    }

    private Future<Void> writeChunk(BodyChunk chunk) {
        Promise<Void> written = Promise.promise();
        writer.orElseThrow()
                .write(chunk)
                .whenComplete((done, failure) -> context.runOnContext(run -> {
                    if (failure == null) {
                        written.complete();
                    } else {
                        written.fail(failure);
                    }
                }));
        return written.future();
    }
}

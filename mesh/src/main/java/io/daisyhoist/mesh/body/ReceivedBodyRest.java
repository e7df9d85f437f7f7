package io.daisyhoist.mesh.body;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.IntConsumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Rest of a body that another daemon sends in chunks, as far as it was granted credit.
 *
 * <p>Invariant: the bytes that are held and those that the sender may still send are at most one window together. Confined to the
 * traffic event loop.
 */
public final class ReceivedBodyRest implements BodyRest {
    private final IntConsumer creditSender;
    private final Deque<Buffer> parts = new ArrayDeque<>();
    private final Promise<Void> opened = Promise.promise();
    private Optional<Promise<Optional<Buffer>>> reader = Optional.empty();
    private Optional<BodyAbortedException> failure = Optional.empty();
    private int creditBytes;
    private int ungrantedBytes;
    private boolean granted;
    private boolean ended;
    private boolean started;

    /**
     * Creates a rest of which nothing has been granted.
     *
     * @param creditSender sends the number of further bytes that the sender may send
     */
    public ReceivedBodyRest(IntConsumer creditSender) {
        this.creditSender = creditSender;
    }

    /**
     * Grants the first credit, once, and waits for the first chunk. Until it has arrived, the sender knows that nothing was written
     * to the backend server.
     */
    @Override
    public Future<Void> open() {
        if (failure.isPresent()) {
            return Future.failedFuture(failure.get());
        }
        if (!granted) {
            granted = true;
            grant(BodyLimits.WINDOW_BYTES);
        }
        return opened.future();
    }

    @Override
    public Future<Optional<Buffer>> read() {
        started = true;
        // What was returned before has been written by now.
        if (ungrantedBytes >= BodyLimits.CHUNK_BYTES && !ended) {
            int bytes = ungrantedBytes;
            ungrantedBytes = 0;
            grant(bytes);
        }
        Promise<Optional<Buffer>> promise = Promise.promise();
        reader = Optional.of(promise);
        deliver();
        return promise.future();
    }

    @Override
    public boolean isStarted() {
        return started;
    }

    /** Returns whether the last chunk has arrived. */
    public boolean isComplete() {
        return ended;
    }

    /**
     * Accepts a chunk.
     *
     * @return false if the sender had no credit for it
     */
    public boolean onChunk(Buffer chunk, boolean last) {
        if (ended || chunk.length() > creditBytes) {
            fail("sender exceeded its credit");
            return false;
        }
        creditBytes -= chunk.length();
        if (chunk.length() > 0 && failure.isEmpty()) {
            parts.addLast(chunk);
        }
        ended = last;
        opened.tryComplete();
        deliver();
        return true;
    }

    /** Ends a read that waits, and fails all further ones. */
    public void fail(String reason) {
        if (failure.isEmpty()) {
            failure = Optional.of(new BodyAbortedException(reason));
            parts.clear();
        }
        opened.tryFail(failure.get());
        deliver();
    }

    private void grant(int bytes) {
        creditBytes += bytes;
        creditSender.accept(bytes);
    }

    private void deliver() {
        if (reader.isEmpty() || failure.isEmpty() && parts.isEmpty() && !ended) {
            return;
        }
        Promise<Optional<Buffer>> promise = reader.get();
        reader = Optional.empty();
        if (failure.isPresent()) {
            promise.fail(failure.get());
            return;
        }
        Optional<Buffer> part = Optional.ofNullable(parts.pollFirst());
        ungrantedBytes += part.map(Buffer::length).orElse(0);
        promise.complete(part);
    }
}

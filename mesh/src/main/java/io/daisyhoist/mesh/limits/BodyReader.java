package io.daisyhoist.mesh.limits;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads the body of one request within its maximum size and the memory of the daemon.
 *
 * <p>Invariant: memory is reserved before a byte is kept, until {@link #release}. Confined to the traffic event loop.
 */
public final class BodyReader {
    /** A buffer that grows by doubling is up to twice as large as what it contains. */
    static final int HELD_PER_BYTE = 2;

    private final long maxBytes;
    private final MemoryBudget.Reservation memory;
    private final LongConsumer onHeldBytes;
    private final Consumer<CloseReason> onRefused;
    private final Promise<Buffer> result = Promise.promise();
    private Buffer body = Buffer.buffer();

    BodyReader(MemoryBudget budget, long maxBytes, LongConsumer onHeldBytes, Consumer<CloseReason> onRefused) {
        this.maxBytes = maxBytes;
        this.memory = budget.open(MemoryUse.REQUEST_BODY);
        this.onHeldBytes = onHeldBytes;
        this.onRefused = onRefused;
    }

    void start(HttpServerRequest http) {
        http.handler(this::onChunk);
        http.exceptionHandler(failure -> {
            result.tryFail(failure);
            release();
        });
        http.endHandler(ended -> result.tryComplete(body));
        String length = http.getHeader("content-length");
        // The decoder has accepted the length as a number.
        if (length != null && Long.parseLong(length.trim()) > maxBytes) {
            refuse(CloseReason.BODY_TOO_LARGE);
        }
    }

    private void onChunk(Buffer chunk) {
        if (result.future().isComplete()) {
            return;
        }
        if (body.length() + (long) chunk.length() > maxBytes) {
            refuse(CloseReason.BODY_TOO_LARGE);
            return;
        }
        long bytes = (long) chunk.length() * HELD_PER_BYTE;
        if (!memory.tryGrow(bytes)) {
            refuse(CloseReason.MEMORY);
            return;
        }
        onHeldBytes.accept(bytes);
        body.appendBuffer(chunk);
    }

    /** Returns whether memory suffices for more of the body. */
    boolean hasRoomFor(long bytes) {
        return result.future().isComplete() || memory.canGrow(bytes * HELD_PER_BYTE);
    }

    /** Ends the read; has no effect after the body is complete. */
    void refuse(CloseReason reason) {
        if (!result.future().isComplete()) {
            onRefused.accept(reason);
            release();
            result.tryFail(new RequestRefusedException(reason));
        }
    }

    /** Returns the body; fails with {@link RequestRefusedException}, or if the client disconnects. */
    public Future<Buffer> body() {
        return result.future();
    }

    /** Returns the memory, when the body is no longer used. */
    public void release() {
        onHeldBytes.accept(-memory.bytes());
        memory.release();
        body = Buffer.buffer();
    }
}

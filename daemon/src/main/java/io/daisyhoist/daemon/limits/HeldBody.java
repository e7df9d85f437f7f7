package io.daisyhoist.daemon.limits;

import java.util.OptionalLong;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Body of the request of a client, or its first part, which is held until the request has ended.
 *
 * <p>Invariant: memory is reserved before bytes are kept, and returned when the body is closed. Confined to the event loop of the
 * connection.
 */
public final class HeldBody {
    private static final String EXPECTS_CONTINUE = "100-continue";

    private final HttpServerRequest http;
    private final BodyBounds bounds;
    private final MemoryBudget.Reservation memory;
    private final Listener listener;
    private final Promise<Buffer> result = Promise.promise();
    private final Buffer held = Buffer.buffer();
    private boolean whole = true;

    /** Receives what a body does. */
    interface Listener {
        /** Called when memory was reserved for the body, or returned if negative. */
        void onHeldBytes(long bytes);

        /** Called when the body is refused. */
        void onRefused(CloseReason reason);

        /** Called when the request may reach a backend server before its body is complete. */
        void onStreaming();
    }

    HeldBody(HttpServerRequest http, BodyBounds bounds, MemoryBudget budget, Listener listener) {
        this.http = http;
        this.bounds = bounds;
        this.memory = budget.open(MemoryUse.REQUEST_BODY);
        this.listener = listener;
    }

    /**
     * Returns the body, or its first part if it is long; the request is paused then, and its caller reads the rest. Fails with
     * {@link RequestRefusedException} if the body is not accepted.
     */
    public Future<Buffer> held() {
        return result.future();
    }

    /** Returns whether {@link #held} is the whole body. */
    public boolean isWhole() {
        return whole;
    }

    /** Returns the length that the head of the request states; empty if it states none. */
    public OptionalLong statedLength() {
        String value = http.getHeader("content-length");
        if (value == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            // The HTTP decoder rejects the request.
            return OptionalLong.empty();
        }
    }

    void read() {
        OptionalLong length = statedLength();
        if (length.isPresent() && length.getAsLong() > bounds.maxBytes()) {
            refuse(CloseReason.BODY_TOO_LARGE);
            return;
        }
        // Reading a body that is held whole pauses until there is memory for it; one that is streamed would keep it for
        // long.
        boolean streamed = length.isPresent() && length.getAsLong() > bounds.maxHeldBytes();
        if (streamed && !reserve(bounds.reservedFor(bounds.maxHeldBytes() + 1))) {
            refuse(CloseReason.MEMORY);
            return;
        }
        if (EXPECTS_CONTINUE.equalsIgnoreCase(http.getHeader("expect"))) {
            http.response().writeContinue();
        }
        http.handler(part -> onPart(part, length));
        http.endHandler(ended -> result.tryComplete(held));
        http.exceptionHandler(lost -> result.tryFail(new RequestRefusedException(CloseReason.DISCONNECTED)));
    }

    /** Returns whether memory suffices for more of the body. */
    boolean hasRoomFor(long bytes) {
        return result.future().isComplete()
                || memory.canGrow(bounds.reservedFor(held.length() + bytes) - memory.bytes());
    }

    /** Refuses the request unless it has been accepted. */
    public void refuse(CloseReason reason) {
        if (result.tryFail(new RequestRefusedException(reason))) {
            listener.onRefused(reason);
        }
    }

    private boolean reserve(long bytes) {
        long additionalBytes = bytes - memory.bytes();
        if (additionalBytes <= 0) {
            return true;
        }
        boolean reserved = memory.tryGrow(additionalBytes);
        if (reserved) {
            listener.onHeldBytes(additionalBytes);
        }
        return reserved;
    }

    private void onPart(Buffer part, OptionalLong length) {
        if (result.future().isComplete()) {
            return;
        }
        int heldBytes = held.length() + part.length();
        if (heldBytes > bounds.maxBytes()) {
            refuse(CloseReason.BODY_TOO_LARGE);
        } else if (!reserve(bounds.reservedFor(heldBytes))) {
            refuse(CloseReason.MEMORY);
        } else {
            held.appendBuffer(part);
            // A body that has arrived completely needs no streaming, although its end has not been reported yet.
            boolean complete = length.isPresent() && length.getAsLong() == heldBytes;
            if (heldBytes > bounds.maxHeldBytes() && !complete) {
                listener.onStreaming();
                http.pause();
                whole = false;
                result.complete(held);
            }
        }
    }

    /** Returns the reserved memory. */
    public void close() {
        listener.onHeldBytes(-memory.bytes());
        memory.release();
    }
}

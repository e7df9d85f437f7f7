package io.daisyhoist.mesh.body;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Body of the request of a client.
 *
 * <p>Invariant: memory is reserved before bytes are kept, and returned when the body is closed. Confined to the traffic event loop.
 */
public final class ClientBody {
    private static final String EXPECTS_CONTINUE = "100-continue";

    /** Time in which a client can read a response before its connection is closed although it still sends its body. */
    private static final Duration MAX_DISCARD_TIME = Duration.ofSeconds(1);

    private final HttpServerRequest http;
    private final long maxBytes;
    private final MemoryBudget.Reservation memory;
    private final Listener listener;
    private final Promise<RequestBody> result = Promise.promise();
    private final Buffer held = Buffer.buffer();
    private Optional<ClientBodyRest> rest = Optional.empty();

    /** Receives what a body does. */
    public interface Listener {
        /** Called when memory was reserved for the body, or returned if negative. */
        void onHeldBytes(long bytes);

        /** Called when the body is refused. */
        void onRefused(CloseReason reason);

        /** Called when the request may reach a backend server before its body is complete. */
        void onStreaming();
    }

    /**
     * Creates a body that is not being read.
     *
     * @param maxBytes maximum length of the body
     */
    public ClientBody(HttpServerRequest http, long maxBytes, MemoryBudget budget, Listener listener) {
        this.http = http;
        this.maxBytes = maxBytes;
        this.memory = budget.open(MemoryUse.REQUEST_BODY);
        this.listener = listener;
    }

    /** Returns the body; fails with {@link RequestRefusedException} if it is not accepted. */
    public Future<RequestBody> body() {
        return result.future();
    }

    /** Reads the body, or its first part if it is large. */
    public void read() {
        OptionalLong length = contentLength();
        if (length.isPresent() && length.getAsLong() > maxBytes) {
            refuse(CloseReason.BODY_TOO_LARGE);
            return;
        }
        // Reading a small body pauses until there is memory for it; a large one would keep it for long.
        boolean large = length.isPresent() && length.getAsLong() > BodyLimits.FIRST_PART_BYTES;
        if (large && !reserve(reservedBytesFor(BodyLimits.FIRST_PART_BYTES + 1))) {
            refuse(CloseReason.MEMORY);
            return;
        }
        if (EXPECTS_CONTINUE.equalsIgnoreCase(http.getHeader("expect"))) {
            http.response().writeContinue();
        }
        http.handler(part -> onPart(part, length));
        http.endHandler(ended -> result.tryComplete(RequestBody.of(held)));
        http.exceptionHandler(lost -> result.tryFail(new RequestRefusedException(CloseReason.DISCONNECTED)));
    }

    /** Returns whether memory suffices for more of the body. */
    public boolean hasRoomFor(long bytes) {
        return result.future().isComplete() || memory.canGrow(reservedBytesFor(held.length() + bytes) - memory.bytes());
    }

    /** Refuses the request unless it has been accepted. */
    public void refuse(CloseReason reason) {
        if (result.tryFail(new RequestRefusedException(reason))) {
            listener.onRefused(reason);
        }
    }

    private OptionalLong contentLength() {
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

    private static long reservedBytesFor(long heldBytes) {
        return heldBytes > BodyLimits.FIRST_PART_BYTES
                ? BodyLimits.streamedBytes(heldBytes)
                : BodyLimits.reservedBytes(heldBytes);
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
        boolean large = heldBytes > BodyLimits.FIRST_PART_BYTES;
        if (heldBytes > maxBytes) {
            refuse(CloseReason.BODY_TOO_LARGE);
        } else if (!reserve(reservedBytesFor(heldBytes))) {
            refuse(CloseReason.MEMORY);
        } else {
            held.appendBuffer(part);
            // A body that has arrived completely needs no streaming, although its end has not been reported yet.
            boolean complete = length.isPresent() && length.getAsLong() == heldBytes;
            if (large && !complete) {
                streamRest(length);
            }
        }
    }

    private void streamRest(OptionalLong length) {
        listener.onStreaming();
        http.pause();
        ClientBodyRest remaining = new ClientBodyRest(http, maxBytes - held.length());
        rest = Optional.of(remaining);
        result.complete(RequestBody.streamed(held, length, remaining));
    }

    /** Returns the bytes after the first part that were passed on; empty if the body is not streamed. */
    public OptionalLong streamedBytes() {
        return rest.map(streamed -> OptionalLong.of(streamed.readBytes())).orElseGet(OptionalLong::empty);
    }

    /** Returns whether a streamed body was passed on to its end. */
    public boolean isPassedOn() {
        return rest.filter(ClientBodyRest::isEnded).isPresent();
    }

    /** Returns the reserved memory, and ends all reads. */
    public void close() {
        rest.ifPresent(ClientBodyRest::close);
        listener.onHeldBytes(-memory.bytes());
        memory.release();
    }

    /**
     * Reads and discards what the client still sends, so that its connection can be closed without a reset, which could destroy the
     * response on its way; completes when the body has ended, or after a time that allows the client to read the response.
     */
    public Future<Void> discardRest(Vertx vertx) {
        Promise<Void> ended = Promise.promise();
        long timer = vertx.setTimer(MAX_DISCARD_TIME.toMillis(), fired -> ended.tryComplete());
        http.handler(part -> {});
        http.endHandler(end -> ended.tryComplete());
        http.exceptionHandler(lost -> ended.tryComplete());
        http.resume();
        return ended.future().onComplete(done -> vertx.cancelTimer(timer));
    }
}

package io.daisyhoist.mesh.body;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

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
    private final MemoryBudget memory;
    private final Promise<RequestBody> result = Promise.promise();
    private final Buffer held = Buffer.buffer();
    private Optional<MemoryBudget.Reservation> reservation = Optional.empty();
    private Optional<ClientBodyRest> rest = Optional.empty();
    private long reservedBytes;

    /**
     * Creates a body that is not being read.
     *
     * @param maxBytes maximum length of the body
     */
    public ClientBody(HttpServerRequest http, long maxBytes, MemoryBudget memory) {
        this.http = http;
        this.maxBytes = maxBytes;
        this.memory = memory;
    }

    /** Reads the body, or its first part if it is large; fails with {@link BodyRefusedException} if it cannot be accepted. */
    public Future<RequestBody> read() {
        OptionalLong length = contentLength();
        if (length.isPresent() && length.getAsLong() > maxBytes) {
            return Future.failedFuture(new BodyRefusedException(BodyRefusedException.Reason.TOO_LARGE));
        }
        if (length.isPresent() && !reserve(bytesToReserve(length.getAsLong()))) {
            return Future.failedFuture(new BodyRefusedException(BodyRefusedException.Reason.NO_MEMORY));
        }
        if (EXPECTS_CONTINUE.equalsIgnoreCase(http.getHeader("expect"))) {
            http.response().writeContinue();
        }
        http.handler(part -> onPart(part, length));
        http.endHandler(ended -> result.tryComplete(RequestBody.of(held)));
        http.exceptionHandler(
                lost -> result.tryFail(new BodyRefusedException(BodyRefusedException.Reason.CLIENT_DISCONNECTED)));
        return result.future();
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

    private static long bytesToReserve(long length) {
        return length > BodyLimits.FIRST_PART_BYTES
                ? BodyLimits.streamedBytes(BodyLimits.FIRST_PART_BYTES)
                : BodyLimits.reservedBytes(length);
    }

    private boolean reserve(long bytes) {
        if (bytes <= reservedBytes) {
            return true;
        }
        boolean reserved;
        if (reservation.isEmpty()) {
            reservation = memory.tryReserve(MemoryUse.REQUEST_BODY, bytes);
            reserved = reservation.isPresent();
        } else {
            reserved = reservation.get().tryGrow(bytes - reservedBytes);
        }
        reservedBytes = reserved ? bytes : reservedBytes;
        return reserved;
    }

    private void onPart(Buffer part, OptionalLong length) {
        if (result.future().isComplete()) {
            return;
        }
        int heldBytes = held.length() + part.length();
        boolean large = heldBytes > BodyLimits.FIRST_PART_BYTES;
        if (heldBytes > maxBytes) {
            result.fail(new BodyRefusedException(BodyRefusedException.Reason.TOO_LARGE));
        } else if (!reserve(large ? BodyLimits.streamedBytes(heldBytes) : BodyLimits.reservedBytes(heldBytes))) {
            result.fail(new BodyRefusedException(BodyRefusedException.Reason.NO_MEMORY));
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
        reservation.ifPresent(MemoryBudget.Reservation::release);
        reservation = Optional.empty();
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

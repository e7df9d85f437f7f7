package io.daisyhoist.mesh.body;

import java.util.Optional;
import java.util.OptionalLong;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Moves the rest of a body to its destination, one part after the other.
 *
 * <p>Invariants: at most one part is in memory; the next one is read only when it has been written; nothing is written after
 * {@link #stop}. Confined to the traffic event loop.
 */
public final class BodyPump {
    private final BodyRest rest;
    private final Destination destination;
    private final Promise<Void> result = Promise.promise();
    private OptionalLong missingBytes;
    private boolean ended;
    private boolean stopped;

    /** Receives the rest of a body. */
    public interface Destination {
        /** Writes a part; completes when the next one may be written. */
        Future<Void> write(Buffer part);

        /** Writes the end of the body. */
        Future<Void> end();
    }

    /**
     * Creates a pump that is not running.
     *
     * @param missingBytes length of the rest; empty if it is not known in advance
     */
    public BodyPump(BodyRest rest, OptionalLong missingBytes, Destination destination) {
        this.rest = rest;
        this.missingBytes = missingBytes;
        this.destination = destination;
    }

    /**
     * Starts to move the rest; fails with {@link BodyAbortedException} if it cannot be read, and with the failure of the
     * destination if it cannot be written.
     */
    public Future<Void> run() {
        readNext();
        return result.future();
    }

    /** Writes nothing more; the pump fails unless the body has ended. */
    public void stop() {
        stopped = true;
        result.tryFail(new BodyAbortedException("stopped"));
    }

    /** Returns whether the end of the body was written. */
    public boolean isEnded() {
        return ended;
    }

    private void readNext() {
        // The end of a body of known length is written without waiting for the message that announces it.
        if (missingBytes.isPresent() && missingBytes.getAsLong() == 0) {
            end();
            // Reads the end, without which the connection of the client would have to be closed.
            rest.read();
            return;
        }
        rest.read().onSuccess(this::onPart).onFailure(result::tryFail);
    }

    private void onPart(Optional<Buffer> part) {
        if (stopped) {
            return;
        }
        if (part.isEmpty()) {
            if (missingBytes.isPresent()) {
                result.tryFail(new BodyAbortedException("body is shorter than announced"));
            } else {
                end();
            }
            return;
        }
        if (missingBytes.isPresent()) {
            long missing = missingBytes.getAsLong() - part.get().length();
            if (missing < 0) {
                result.tryFail(new BodyAbortedException("body is longer than announced"));
                return;
            }
            missingBytes = OptionalLong.of(missing);
        }
        destination.write(part.get()).onFailure(result::tryFail).onSuccess(written -> {
            if (!stopped) {
                readNext();
            }
        });
    }

    private void end() {
        ended = true;
        destination.end().onComplete(result::tryComplete, result::tryFail);
    }
}

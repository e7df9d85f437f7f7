package io.daisyhoist.daemon.connection;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;

/** Reads the body of a request or response up to a maximum size. Stateless. */
public final class BoundedBody {
    private BoundedBody() {}

    /** The body exceeds the maximum size. */
    public static final class TooLargeException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        TooLargeException(long maxBytes) {
            super("body exceeds " + maxBytes + " bytes", null, false, false);
        }
    }

    /**
     * Reads a body; fails with {@link TooLargeException} as soon as it exceeds the maximum size.
     *
     * <p>The rest of a body that is too large is read and discarded, until the caller closes the connection.
     */
    public static Future<Buffer> read(ReadStream<Buffer> stream, long maxBytes) {
        return new BodyBudget(maxBytes).read(stream, maxBytes);
    }
}

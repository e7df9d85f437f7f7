package io.daisyhoist.daemon.connection;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;

/**
 * Bounds the memory of bodies that are read at the same time.
 *
 * <p>Invariant: the bodies that are being read hold at most the budget together. A body that would exceed it ends the read
 * of the largest one, so that a few very large bodies do not end the reads of small ones. Confined to one event loop.
 */
public final class BodyBudget {
    private final long maxBytes;
    private final Set<BodyRead> reads = new HashSet<>();
    private long heldBytes;

    /** A body that is being read. */
    private static final class BodyRead {
        private final Promise<Buffer> result = Promise.promise();
        private Buffer body = Buffer.buffer();

        private long size() {
            return body.length();
        }
    }

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes bytes that all bodies together may hold while they are read
     */
    public BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reads a body; fails with {@link BoundedBody.TooLargeException} as soon as it exceeds its maximum size, or the budget as
     * the largest body.
     *
     * <p>The rest of a body that is too large is read and discarded, until the caller closes the connection.
     */
    public Future<Buffer> read(ReadStream<Buffer> stream, long maxBodyBytes) {
        BodyRead read = new BodyRead();
        reads.add(read);
        stream.handler(chunk -> onChunk(read, chunk, maxBodyBytes));
        stream.exceptionHandler(failure -> {
            end(read);
            read.result.tryFail(failure);
        });
        stream.endHandler(ended -> {
            Buffer body = read.body;
            end(read);
            read.result.tryComplete(body);
        });
        return read.result.future();
    }

    /** Returns the number of bytes that bodies hold while they are read. */
    public long heldBytes() {
        return heldBytes;
    }

    private void onChunk(BodyRead read, Buffer chunk, long maxBodyBytes) {
        if (!reads.contains(read)) {
            return;
        }
        if (read.size() + chunk.length() > maxBodyBytes) {
            fail(read, maxBodyBytes);
            return;
        }
        read.body.appendBuffer(chunk);
        heldBytes += chunk.length();
        while (heldBytes > maxBytes) {
            fail(reads.stream().max(Comparator.comparingLong(BodyRead::size)).orElseThrow(), maxBytes);
        }
    }

    private void fail(BodyRead read, long exceededBytes) {
        end(read);
        read.result.tryFail(new BoundedBody.TooLargeException(exceededBytes));
    }

    private void end(BodyRead read) {
        if (reads.remove(read)) {
            heldBytes -= read.size();
            read.body = Buffer.buffer();
        }
    }
}

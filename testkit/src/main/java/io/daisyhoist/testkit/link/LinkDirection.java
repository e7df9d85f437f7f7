package io.daisyhoist.testkit.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

/**
 * Mode of one direction of a proxy. Confined to the event loop of the proxy.
 *
 * <p>Preserves the byte order of each connection: later bytes never overtake earlier ones when the delay is reduced.
 */
final class LinkDirection {
    private final Vertx vertx;
    private LinkMode mode = LinkMode.PASS;
    private long delayMillis;

    LinkDirection(Vertx vertx) {
        this.vertx = vertx;
    }

    LinkMode mode() {
        return mode;
    }

    void setMode(LinkMode newMode, long newDelayMillis) {
        mode = newMode;
        delayMillis = newMode == LinkMode.DELAY ? newDelayMillis : 0;
    }

    Stream openStream(Consumer<Buffer> sink) {
        return new Stream(sink);
    }

    /** Bytes of one connection in this direction. */
    final class Stream {
        private final Consumer<Buffer> sink;
        private final Deque<Chunk> chunks = new ArrayDeque<>();

        private Stream(Consumer<Buffer> sink) {
            this.sink = sink;
        }

        void write(Buffer bytes) {
            chunks.add(new Chunk(bytes, System.nanoTime() + delayMillis * 1_000_000));
            flush();
        }

        /** Forwards all bytes that are due; called again when the mode changes. */
        void flush() {
            while (!chunks.isEmpty() && mode != LinkMode.STALL) {
                long waitNanos = chunks.peek().dueNanos() - System.nanoTime();
                if (waitNanos > 0) {
                    vertx.setTimer(waitNanos / 1_000_000 + 1, timerId -> flush());
                    return;
                }
                sink.accept(chunks.poll().bytes());
            }
        }
    }

    private record Chunk(Buffer bytes, long dueNanos) {}
}

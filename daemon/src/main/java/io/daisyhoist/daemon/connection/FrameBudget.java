package io.daisyhoist.daemon.connection;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of large frames that all connections of one server or client receive at the same time, and that nobody
 * else accounts for yet.
 *
 * <p>Invariant: the frames hold at most the budget together, unless one alone exceeds it. Thread-safe.
 */
final class FrameBudget {
    /** Share of the heap; requests and responses that were taken over are accounted for elsewhere. */
    private static final double HEAP_SHARE = 0.125;

    private final long maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    FrameBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    static FrameBudget ofHeap() {
        return new FrameBudget((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    /** Reserves the bytes of a frame; false if they have to wait for those of others. */
    boolean tryAcquire(long bytes) {
        while (true) {
            long held = heldBytes.get();
            if (held > 0 && held + bytes > maxBytes) {
                return false;
            }
            if (heldBytes.compareAndSet(held, held + bytes)) {
                return true;
            }
        }
    }

    void release(long bytes) {
        heldBytes.addAndGet(-bytes);
    }

    long heldBytes() {
        return heldBytes.get();
    }
}

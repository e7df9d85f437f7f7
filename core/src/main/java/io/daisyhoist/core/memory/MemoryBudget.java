package io.daisyhoist.core.memory;

import java.util.Optional;

/**
 * Bounds the bytes that a daemon holds for requests and responses.
 *
 * <p>Invariants: reservations that can be refused never bring the total above the budget; large ones leave
 * a quarter of it to small ones, so that a few clients with large requests don't take what many with small requests
 * need. Confined to one event loop.
 */
public final class MemoryBudget {
    /** Reservations up to this size are small: an ordinary request with its head and a body that is read whole. */
    public static final long SMALL_BYTES = 192 << 10;

    /** Share of the heap that requests and responses may take; the rest is for the daemon's state, its calls and copies. */
    private static final double HEAP_SHARE = 0.4;

    private static final double SMALL_SHARE = 0.25;

    private final long maxBytes;
    private final long maxBytesForLarge;
    private final long[] heldBytes = new long[MemoryUse.values().length];
    private long totalBytes;

    /** Creates a budget of which nothing is held. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxBytesForLarge = maxBytes <= SMALL_BYTES ? maxBytes : (long) (maxBytes * (1 - SMALL_SHARE));
    }

    /** Creates the budget of a process with the given maximum heap. */
    public static MemoryBudget ofHeap(long maxHeapBytes) {
        return new MemoryBudget((long) (maxHeapBytes * HEAP_SHARE));
    }

    /** Reserves memory before it is used; empty if the budget does not suffice. */
    public Optional<Reservation> tryReserve(MemoryUse use, long bytes) {
        Reservation reservation = new Reservation(use);
        return reservation.tryGrow(bytes) ? Optional.of(reservation) : Optional.empty();
    }

    /** Returns a reservation of nothing. */
    public Reservation open(MemoryUse use) {
        return new Reservation(use);
    }

    /** Returns the bytes that are held for one use. */
    public long heldBytes(MemoryUse use) {
        return heldBytes[use.ordinal()];
    }

    /** Returns the bytes that are held for all uses together. */
    public long heldBytes() {
        return totalBytes;
    }

    /** Returns the size of the budget. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Part of the budget. Confined to the event loop of the budget. */
    public final class Reservation {
        private final MemoryUse use;
        private long bytes;

        private Reservation(MemoryUse use) {
            this.use = use;
        }

        /** Reserves more; false, without effect, if the budget does not suffice or the reservation has been released. */
        public boolean tryGrow(long additionalBytes) {
            if (!canGrow(additionalBytes)) {
                return false;
            }
            add(additionalBytes);
            return true;
        }

        /** Returns whether {@link #tryGrow} would succeed. */
        public boolean canGrow(long additionalBytes) {
            long limit = bytes + additionalBytes <= SMALL_BYTES ? maxBytes : maxBytesForLarge;
            return bytes >= 0 && totalBytes + additionalBytes <= limit;
        }

        /** Counts memory that is in use already, even beyond the budget; no effect on a released reservation. */
        public void growAlways(long additionalBytes) {
            if (bytes >= 0) {
                add(additionalBytes);
            }
        }

        /** Returns a part of the reservation. */
        public void shrink(long unusedBytes) {
            add(-Math.min(unusedBytes, Math.max(0, bytes)));
        }

        /** Returns all of the reservation; has no effect when called again. */
        public void release() {
            shrink(bytes());
            bytes = -1;
        }

        /** Returns the reserved bytes. */
        public long bytes() {
            return Math.max(0, bytes);
        }

        private void add(long change) {
            bytes += change;
            totalBytes += change;
            heldBytes[use.ordinal()] += change;
        }
    }
}

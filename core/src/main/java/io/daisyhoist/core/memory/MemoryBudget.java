package io.daisyhoist.core.memory;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes that a daemon holds for requests and responses.
 *
 * <p>Invariant: the reservations together never exceed the budget. Confined to one event loop.
 */
public final class MemoryBudget {
    private final long maxBytes;
    private final Map<MemoryUse, Long> heldBytes = new EnumMap<>(MemoryUse.class);
    private long totalBytes;

    /** Creates a budget of which nothing is held. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        for (MemoryUse use : MemoryUse.values()) {
            heldBytes.put(use, 0L);
        }
    }

    /** Reserves memory before it is used; empty if the budget does not suffice. */
    public Optional<Reservation> tryReserve(MemoryUse use, long bytes) {
        Reservation reservation = new Reservation(use);
        return reservation.tryGrow(bytes) ? Optional.of(reservation) : Optional.empty();
    }

    /** Returns the bytes that are held for one use. */
    public long heldBytes(MemoryUse use) {
        return heldBytes.get(use);
    }

    /** Returns the bytes that are held for all uses together. */
    public long heldBytes() {
        return totalBytes;
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
            if (bytes < 0 || totalBytes + additionalBytes > maxBytes) {
                return false;
            }
            add(additionalBytes);
            return true;
        }

        /** Returns a part of the reservation. */
        public void shrink(long unusedBytes) {
            add(-Math.min(unusedBytes, Math.max(0, bytes)));
        }

        /** Returns all of the reservation; has no effect when called again. */
        public void release() {
            shrink(bytes);
            bytes = -1;
        }

        private void add(long change) {
            bytes += change;
            totalBytes += change;
            heldBytes.merge(use, change, Long::sum);
        }
    }
}

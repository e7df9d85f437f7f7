package io.daisyhoist.daemon.limits;

import io.daisyhoist.core.client.ConnectionState;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;

/**
 * Memory of the head of a connection's current request, and of the fields after its body.
 *
 * <p>Invariant: the connection's state counts what is reserved here. Confined to the connection's event loop.
 */
final class HeadMemory {
    /** Memory of a parsed field and its copies on the way to a backend server, without its characters. */
    private static final int FIELD_BYTES = 512;

    /** Memory for each byte of a head: its characters and one copy. */
    private static final int BYTES_PER_HEAD_BYTE = 2;

    private final ConnectionState state;
    private final MemoryBudget.Reservation reservation;
    private long headEstimate;
    private long trailerEstimate;

    HeadMemory(ConnectionState state, MemoryBudget budget) {
        this.state = state;
        this.reservation = budget.open(MemoryUse.REQUEST_HEAD);
    }

    private static long estimate(int fields, int bytes) {
        return (long) fields * FIELD_BYTES + (long) bytes * BYTES_PER_HEAD_BYTE;
    }

    /** Reserves memory for a head of which this much has arrived; false, without effect, if memory does not suffice. */
    boolean tryReserveHead(int fields, int bytes) {
        long additionalBytes = estimate(fields, bytes) - headEstimate;
        if (!reservation.tryGrow(additionalBytes)) {
            return false;
        }
        state.addHeldBytes(additionalBytes);
        headEstimate += additionalBytes;
        return true;
    }

    /** Counts fields after a body, which are rare and at most as large as a head, so that they may go beyond the budget. */
    void countTrailer(int fields, int bytes) {
        long additionalBytes = estimate(fields, bytes) - trailerEstimate;
        reservation.growAlways(additionalBytes);
        state.addHeldBytes(additionalBytes);
        trailerEstimate += additionalBytes;
    }

    /** Returns the memory of a request that has ended. */
    void releaseRequest() {
        long heldBytes = headEstimate + trailerEstimate;
        state.addHeldBytes(-heldBytes);
        reservation.shrink(heldBytes);
        headEstimate = 0;
        trailerEstimate = 0;
    }

    /** Returns all memory, because the connection is closed. */
    void release() {
        reservation.release();
    }
}

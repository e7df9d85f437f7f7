package io.daisyhoist.core.memory;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MemoryBudgetTest {
    private final MemoryBudget budget = new MemoryBudget(4 << 20);

    /** Guards against a budget that shrinks by a byte each time a reservation is released twice. */
    @Test
    void release_twice_countsOnce() {
        MemoryBudget.Reservation reservation =
                budget.tryReserve(MemoryUse.REQUEST_BODY, 100).orElseThrow();
        reservation.release();
        reservation.release();
        assertEquals(0, budget.heldBytes());
        assertFalse(reservation.tryGrow(1));
    }

    /** Guards against a few large requests that leave nothing for many small ones. */
    @Test
    void largeReservations_leaveAQuarterToSmallOnes() {
        assertTrue(budget.tryReserve(MemoryUse.REQUEST_BODY, 3 << 20).isPresent());
        assertTrue(budget.tryReserve(MemoryUse.REQUEST_BODY, 1 << 18).isEmpty());
        assertTrue(budget.tryReserve(MemoryUse.REQUEST_HEAD, 8 << 10).isPresent());
    }

    @Test
    void growAlways_beyondTheBudget_refusesFurtherReservations() {
        budget.open(MemoryUse.RESPONSE).growAlways(5 << 20);
        assertTrue(budget.tryReserve(MemoryUse.REQUEST_HEAD, 1).isEmpty());
        assertEquals(5 << 20, budget.heldBytes(MemoryUse.RESPONSE));
    }
}

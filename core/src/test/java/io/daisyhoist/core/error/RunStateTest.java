package io.daisyhoist.core.error;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a false "not run": it was reported for a GET whose last copy had not run although its first copy may
 * have.
 */
class RunStateTest {
    @Test
    void combineWithEarlierCopies_lastCopyNotRun_returnsEarlierState() {
        for (RunState earlier : RunState.values()) {
            assertEquals(earlier, RunState.NOT_RUN.combineWithEarlierCopies(earlier));
            assertEquals(RunState.RAN, RunState.RAN.combineWithEarlierCopies(earlier));
            assertEquals(RunState.UNKNOWN, RunState.UNKNOWN.combineWithEarlierCopies(earlier));
        }
    }
}

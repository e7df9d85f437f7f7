package io.daisyhoist.core.error;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards "not run": it was reported for a GET whose first copy may have run, because the last copy had not. */
class RunStateTest {
    @Test
    void afterEarlierCopies_lastDidNotRun_earlierStateCounts() {
        for (RunState earlier : RunState.values()) {
            assertEquals(earlier, RunState.NOT_RUN.afterEarlierCopies(earlier));
            assertEquals(RunState.RAN, RunState.RAN.afterEarlierCopies(earlier));
            assertEquals(RunState.UNKNOWN, RunState.UNKNOWN.afterEarlierCopies(earlier));
        }
    }
}

package io.daisyhoist.testkit.check;

import java.util.List;

import io.daisyhoist.testkit.backend.Execution;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a check that overlooks a violation or reports a correct run. */
class ExecutionCheckTest {
    @Nested
    class Ownership {
        @Test
        void handOver_withRisingEpochs_isClean() {
            Findings found = examine(
                    log("a", run(3, 10, 100, 200, "GET", "", "r1.0"), run(3, 30, 500, 600, "GET", "", "r3.0")),
                    log("b", run(3, 20, 300, 400, "GET", "", "r2.0"), run(4, 10, 150, 350, "GET", "", "r4.0")));
            assertTrue(found.isClean(), found.describe());
        }

        @Test
        void start_underOldEpoch_isDoubleOwner() {
            Findings found = examine(
                    log("a", run(3, 10, 100, 110, "GET", "", "r1.0"), run(3, 10, 400, 410, "GET", "", "r2.0")),
                    log("b", run(3, 20, 300, 310, "GET", "", "r3.0")));
            assertEquals(1, found.doubleOwners().size(), found.describe());
            assertEquals(0, found.overlappingRuns().size());
        }

        @Test
        void epoch_heldByTwoBackends_isDoubleOwner() {
            Findings found = examine(
                    log("a", run(3, 10, 100, 110, "GET", "", "r1.0")),
                    log("b", run(3, 10, 300, 310, "GET", "", "r2.0")));
            assertEquals(1, found.doubleOwners().size(), found.describe());
        }

        @Test
        void runs_ofTwoBackendsAtOnce_overlap() {
            Findings found = examine(
                    log("a", run(3, 10, 100, 500, "GET", "", "r1.0"), run(3, 10, 150, 160, "GET", "", "r2.0")),
                    log("b", run(3, 20, 300, 310, "GET", "", "r3.0")));
            assertEquals(1, found.overlappingRuns().size(), found.describe());
            assertEquals(0, found.doubleOwners().size());
        }
    }

    @Nested
    class Runs {
        @Test
        void token_runTwice_isDoubleRun() {
            Findings found = examine(
                    log("a", run(3, 10, 100, 110, "POST", "t", "r1.1")),
                    log("b", run(3, 20, 300, 310, "POST", "t", "r1.2")));
            assertEquals(2, found.doubleRuns().size(), "once by token and once by request: " + found.describe());
        }

        @Test
        void post_answeredWithoutToken_isDoubleRun() {
            List<RunLog> logs = List.of(log("a", run(3, 10, 100, 110, "POST", "", "r1.0")));
            Outcome.Send answered = new Outcome.Send("r1.0", 0, "ANSWERED", "", "ran");
            Outcome unguarded = new Outcome("r1", "POST", "archive", "key", "", 0, 1, List.of(answered));
            assertEquals(
                    1,
                    ExecutionCheck.examine(logs, List.of(unguarded))
                            .doubleRuns()
                            .size());
        }

        @Test
        void refusal_ofSendThatRan_isFalseNotRun() {
            List<RunLog> logs = List.of(log("a", run(3, 10, 100, 110, "POST", "t", "r1.1")));
            Outcome.Send first = new Outcome.Send("r1.0", 0, "REFUSED", "attempt-token-required", "not-run");
            Outcome.Send second = new Outcome.Send("r1.1", 0, "REFUSED", "overloaded", "not-run");
            Findings found = ExecutionCheck.examine(logs, List.of(outcome("r1", first, second)));
            assertEquals(List.of("send=r1.1 code=overloaded"), found.falseNotRun());
        }

        @Test
        void answer_withoutFinishedRun_isUnfounded() {
            Outcome.Send answered = new Outcome.Send("r9.0", 0, "ANSWERED", "", "ran");
            Findings found = ExecutionCheck.examine(List.of(), List.of(outcome("r9", answered)));
            assertEquals(List.of("r9"), found.unfoundedAnswers());
        }
    }

    private static Findings examine(RunLog... logs) {
        return ExecutionCheck.examine(List.of(logs), List.of());
    }

    private static RunLog log(String source, Execution... executions) {
        return new RunLog(source, List.of(executions));
    }

    private static Execution run(
            int partition, long epoch, long start, long end, String method, String token, String requestId) {
        return new Execution(
                1, "archive", "key", partition, epoch, method, token, requestId, 7, start, end, Execution.End.FINISHED);
    }

    private static Outcome outcome(String id, Outcome.Send... sends) {
        return new Outcome(id, "POST", "archive", "key", "t", 0, 1, List.of(sends));
    }
}

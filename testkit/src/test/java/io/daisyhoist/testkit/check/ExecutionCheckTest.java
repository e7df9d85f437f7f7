package io.daisyhoist.testkit.check;

import java.util.List;

import io.daisyhoist.testkit.backend.Execution;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a check that misses a violation or reports a correct execution. */
class ExecutionCheckTest {
    @Nested
    class Ownership {
        @Test
        void handover_withIncreasingEpochs_isClean() {
            CheckReport report = check(
                    backendExecutions(
                            "a",
                            execution(3, 10, 100, 200, "GET", "", "r1.0"),
                            execution(3, 30, 500, 600, "GET", "", "r3.0")),
                    backendExecutions(
                            "b",
                            execution(3, 20, 300, 400, "GET", "", "r2.0"),
                            execution(4, 10, 150, 350, "GET", "", "r4.0")));
            assertTrue(report.isClean(), report.describe());
        }

        @Test
        void execution_underOldEpoch_isOwnershipViolation() {
            CheckReport report = check(
                    backendExecutions(
                            "a",
                            execution(3, 10, 100, 110, "GET", "", "r1.0"),
                            execution(3, 10, 400, 410, "GET", "", "r2.0")),
                    backendExecutions("b", execution(3, 20, 300, 310, "GET", "", "r3.0")));
            assertEquals(1, report.ownershipViolations().size(), report.describe());
            assertEquals(0, report.overlappingExecutions().size());
        }

        @Test
        void epoch_usedByTwoBackends_isOwnershipViolation() {
            CheckReport report = check(
                    backendExecutions("a", execution(3, 10, 100, 110, "GET", "", "r1.0")),
                    backendExecutions("b", execution(3, 10, 300, 310, "GET", "", "r2.0")));
            assertEquals(1, report.ownershipViolations().size(), report.describe());
        }

        @Test
        void executions_ofTwoBackendsAtOnce_overlap() {
            CheckReport report = check(
                    backendExecutions(
                            "a",
                            execution(3, 10, 100, 500, "GET", "", "r1.0"),
                            execution(3, 10, 150, 160, "GET", "", "r2.0")),
                    backendExecutions("b", execution(3, 20, 300, 310, "GET", "", "r3.0")));
            assertEquals(1, report.overlappingExecutions().size(), report.describe());
            assertEquals(0, report.ownershipViolations().size());
        }
    }

    @Nested
    class Executions {
        @Test
        void token_executedTwice_isDuplicateExecution() {
            CheckReport report = check(
                    backendExecutions("a", execution(3, 10, 100, 110, "POST", "t", "r1.1")),
                    backendExecutions("b", execution(3, 20, 300, 310, "POST", "t", "r1.2")));
            assertEquals(
                    2, report.duplicateExecutions().size(), "once by token and once by request: " + report.describe());
        }

        @Test
        void post_responseWithoutToken_isDuplicateExecution() {
            List<BackendExecutions> logs =
                    List.of(backendExecutions("a", execution(3, 10, 100, 110, "POST", "", "r1.0")));
            RequestOutcome.Send answered = new RequestOutcome.Send("r1.0", 0, "ANSWERED", "", "ran");
            RequestOutcome withoutToken =
                    new RequestOutcome("r1", "POST", "archive", "key", "", 0, 1, List.of(answered));
            assertEquals(
                    1,
                    ExecutionCheck.check(logs, List.of(withoutToken))
                            .duplicateExecutions()
                            .size());
        }

        @Test
        void refusal_ofExecutedSend_isFalseNotRunClaim() {
            List<BackendExecutions> logs =
                    List.of(backendExecutions("a", execution(3, 10, 100, 110, "POST", "t", "r1.1")));
            RequestOutcome.Send first =
                    new RequestOutcome.Send("r1.0", 0, "REFUSED", "attempt-token-required", "not-run");
            RequestOutcome.Send second = new RequestOutcome.Send("r1.1", 0, "REFUSED", "overloaded", "not-run");
            CheckReport report = ExecutionCheck.check(logs, List.of(outcome("r1", first, second)));
            assertEquals(List.of("send=r1.1 code=overloaded"), report.falseNotRunClaims());
        }

        @Test
        void response_withoutFinishedExecution_isReported() {
            RequestOutcome.Send answered = new RequestOutcome.Send("r9.0", 0, "ANSWERED", "", "ran");
            CheckReport report = ExecutionCheck.check(List.of(), List.of(outcome("r9", answered)));
            assertEquals(List.of("r9"), report.responsesWithoutExecution());
        }
    }

    private static CheckReport check(BackendExecutions... logs) {
        return ExecutionCheck.check(List.of(logs), List.of());
    }

    private static BackendExecutions backendExecutions(String backendName, Execution... executions) {
        return new BackendExecutions(backendName, List.of(executions));
    }

    private static Execution execution(
            int partition, long epoch, long start, long end, String method, String token, String requestId) {
        return new Execution(
                1, "archive", "key", partition, epoch, method, token, requestId, 7, start, end, Execution.End.FINISHED);
    }

    private static RequestOutcome outcome(String id, RequestOutcome.Send... sends) {
        return new RequestOutcome(id, "POST", "archive", "key", "t", 0, 1, List.of(sends));
    }
}
